#!/bin/sh
# Crowds of cancellations of unknown jobs; see crowd_cancels.py.
exec python3 "$(dirname "$0")/crowd_cancels.py" "$1"
