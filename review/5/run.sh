#!/bin/sh
# All workers of a service leave at the same moment without having said so. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/release/leave "$PWD/review/5/record.txt"
