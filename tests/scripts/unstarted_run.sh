#!/bin/sh
# A cancelled job whose start has not reached the executor; see
# unstarted_run.py.
exec python3 "$(dirname "$0")/unstarted_run.py" "$1"
