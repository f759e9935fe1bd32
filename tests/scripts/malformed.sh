#!/bin/sh
# What is not as agreed is refused and disturbs nothing; see malformed.py.
exec python3 "$(dirname "$0")/malformed.py" "$1"
