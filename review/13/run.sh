#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/third ] && [ -x target/pistachioford ] || { echo "build first: the line of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec target/third -record review/13/record.txt relays-lost
