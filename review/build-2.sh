#!/bin/sh
# Builds the stand-ins of the second independent review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/tmp
CARGO_TARGET_TMPDIR="$PWD/target/tmp" cargo build --release --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target
