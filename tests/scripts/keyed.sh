#!/bin/sh
# Requests with an idempotency key; see keyed.py.
exec python3 "$(dirname "$0")/keyed.py" "$1"
