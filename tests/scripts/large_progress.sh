#!/bin/sh
# Progress beyond the store's bounds; see large_progress.py.
exec python3 "$(dirname "$0")/large_progress.py" "$1"
