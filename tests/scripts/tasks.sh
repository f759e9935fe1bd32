#!/bin/sh
# Tasks on a site of processes; see tasks.py.
exec python3 "$(dirname "$0")/tasks.py" "$1"
