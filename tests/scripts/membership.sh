#!/bin/sh
# Guards, entries and the news that they exchange; see membership.py.
exec python3 "$(dirname "$0")/membership.py" "$1"
