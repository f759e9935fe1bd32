#!/bin/sh
# A partition between two regions; see regions.py.
exec python3 "$(dirname "$0")/regions.py" "$1"
