#!/bin/sh
# Records and frames from another writer; see records.py.
exec python3 "$(dirname "$0")/records.py" "$1"
