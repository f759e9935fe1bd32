#!/bin/sh
# Keyed requests through real processes; see keyed.py.
exec python3 "$(dirname "$0")/keyed.py" "$1"
