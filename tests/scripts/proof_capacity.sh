#!/bin/sh
# See proof_capacity.py.
exec python3 "$(dirname "$0")/proof_capacity.py" "$1"
