#!/bin/sh
# See proof_leaving.py.
exec python3 "$(dirname "$0")/proof_leaving.py" "$1"
