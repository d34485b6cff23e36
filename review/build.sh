#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/, without a network. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target
