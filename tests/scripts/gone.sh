#!/bin/sh
# Executors that end for good; see gone.py.
exec python3 "$(dirname "$0")/gone.py" "$1"
