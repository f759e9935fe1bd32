#!/bin/sh
# Long answers, slow and stopped peers; see streams.py.
exec python3 "$(dirname "$0")/streams.py" "$1"
