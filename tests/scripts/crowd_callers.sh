#!/bin/sh
# Crowds at the product's own entry; see crowd_callers.py.
exec python3 "$(dirname "$0")/crowd_callers.py" "$1"
