#!/bin/sh
# The configuration through real processes; see config.py.
exec python3 "$(dirname "$0")/config.py" "$1"
