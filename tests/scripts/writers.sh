#!/bin/sh
# Heartbeats and records from other writers; see writers.py.
exec python3 "$(dirname "$0")/writers.py" "$1"
