#!/bin/sh
# The configuration on a site of processes; see config.py.
exec python3 "$(dirname "$0")/config.py" "$1"
