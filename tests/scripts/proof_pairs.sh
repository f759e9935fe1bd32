#!/bin/sh
# Two faults at the same time; see proof_pairs.py.
exec python3 "$(dirname "$0")/proof_pairs.py" "$1"
