#!/bin/sh
# Entries that append to a slow store; see share_appends.py.
exec python3 "$(dirname "$0")/share_appends.py" "$1"
