#!/bin/sh
# Runs that begin long after their order; see unconfirmed.py.
exec python3 "$(dirname "$0")/unconfirmed.py" "$1"
