#!/bin/sh
# Run the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 -S review/7/scenario.py
