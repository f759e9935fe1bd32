#!/bin/sh
# Tasks through faults of real processes; see tasks_faults.py.
exec python3 "$(dirname "$0")/tasks_faults.py" "$1"
