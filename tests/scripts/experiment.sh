#!/bin/sh
# The experiment tool; see experiment.py.
exec /usr/bin/python3 "$(dirname "$0")/experiment.py" "$1"
