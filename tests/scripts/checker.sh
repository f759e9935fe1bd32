#!/bin/sh
# The checker finds each kind of breach in altered ledgers; see checker.py.
exec /usr/bin/python3 "$(dirname "$0")/checker.py" "$1"
