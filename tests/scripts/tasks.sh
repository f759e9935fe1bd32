#!/bin/sh
# Tasks through real processes; see tasks.py.
exec python3 "$(dirname "$0")/tasks.py" "$1"
