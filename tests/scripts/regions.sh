#!/bin/sh
# Two regions that part; see regions.py.
exec python3 "$(dirname "$0")/regions.py" "$1"
