#!/bin/sh
# Crowds of accepted jobs; see crowd_jobs.py.
exec python3 "$(dirname "$0")/crowd_jobs.py" "$1"
