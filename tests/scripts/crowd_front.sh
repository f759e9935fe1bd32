#!/bin/sh
# Crowds of callers at an entry; see crowd_entry.py.
exec python3 "$(dirname "$0")/crowd_entry.py" "$1" callers
