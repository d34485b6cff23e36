#!/bin/sh
# Two of three instances of a zone are stopped as planned under load. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/release/stop "$PWD/review/6/record.txt"
