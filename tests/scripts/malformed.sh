#!/bin/sh
# Malformed input is refused without effect on others; see malformed.py.
exec python3 "$(dirname "$0")/malformed.py" "$1"
