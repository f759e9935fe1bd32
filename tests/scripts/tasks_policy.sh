#!/bin/sh
# Policy of tasks through real processes; see tasks_policy.py.
exec python3 "$(dirname "$0")/tasks_policy.py" "$1"
