#!/bin/sh
# Crowds at a guard's port for frames, beside a change of the leader; see
# crowd_entry.py.
exec python3 "$(dirname "$0")/crowd_entry.py" "$1" peers
