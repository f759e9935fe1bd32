#!/bin/sh
# Stops and kills under load, checked by ledgers; see stops.py.
exec python3 "$(dirname "$0")/stops.py" "$1"
