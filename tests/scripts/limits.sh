#!/bin/sh
# Limits at entries and guards, and faulty executors; see limits.py.
exec python3 "$(dirname "$0")/limits.py" "$1"
