#!/bin/sh
# Callers that leave, ordinary callers, and a stop beside a crowd; see crowd_entry.py.
exec python3 "$(dirname "$0")/crowd_entry.py" "$1" rest
