#!/bin/sh
# Lists of executors with one odd row; see odd_rows.py.
exec python3 "$(dirname "$0")/odd_rows.py" "$1"
