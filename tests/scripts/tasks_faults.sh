#!/bin/sh
# Tasks while processes and the log fail; see tasks_faults.py.
exec python3 "$(dirname "$0")/tasks_faults.py" "$1"
