#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/foreign_entry
if [ ! -x "$program" ] || [ ! -x target/release/cornelpass-router ]; then
    echo "build the router as in deploy/system.toml, and the stand-ins with review/build.sh"
    exit 2
fi
exec "$program" review/2
