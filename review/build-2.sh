#!/bin/sh
# Prepare the stand-ins of the second review. They need Python's standard
# library only; this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
for source in review/standins_2.py review/*/scenario.py; do
    [ -f "$source" ] || continue
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source" || exit 1
done
