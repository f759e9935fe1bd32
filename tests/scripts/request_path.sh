#!/bin/sh
# Requests through entry, guard and upstream; see request_path.py.
exec python3 "$(dirname "$0")/request_path.py" "$1"
