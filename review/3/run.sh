#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
for program in flaxtide hang; do
    if [ ! -x "$root/target/release/$program" ]; then
        echo "target/release/$program is missing: run the build of the deploy file and review/build.sh"
        exit 2
    fi
done
export FLAXTIDE_ROOT=$root
timeout -k 2 115 "$root/target/release/hang" "$folder"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
