#!/bin/sh
# The command galenapier losses; see losses.py.
exec python3 "$(dirname "$0")/losses.py" "$1"
