#!/bin/sh
# The operators' HTTP of real processes; see operators.py.
exec python3 "$(dirname "$0")/operators.py" "$1"
