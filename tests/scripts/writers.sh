#!/bin/sh
# Other writers on the platform; see writers.py.
exec python3 "$(dirname "$0")/writers.py" "$1"
