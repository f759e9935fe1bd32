#!/bin/sh
# Policies for tasks on a site of processes; see tasks_policy.py.
exec python3 "$(dirname "$0")/tasks_policy.py" "$1"
