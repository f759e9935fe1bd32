#!/bin/sh
# Guards, entries and what they tell each other; see membership.py.
exec python3 "$(dirname "$0")/membership.py" "$1"
