#!/bin/sh
# A guard that stops answering while it has open requests; see silent.py.
exec python3 "$(dirname "$0")/silent.py" "$1"
