#!/bin/sh
# Crowds at the other servers of entries and guards; see crowd_entry.py.
exec python3 "$(dirname "$0")/crowd_entry.py" "$1" servers
