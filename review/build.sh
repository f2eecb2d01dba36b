#!/bin/sh
# Build the stand-ins of the cases: plain Python 3.11, without libraries.
cd "$(dirname "$0")" && exec python3 -m compileall -q standin_*.py
