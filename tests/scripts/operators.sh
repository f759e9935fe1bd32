#!/bin/sh
# The operators' HTTP interface; see operators.py.
exec python3 "$(dirname "$0")/operators.py" "$1"
