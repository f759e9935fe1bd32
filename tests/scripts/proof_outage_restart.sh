#!/bin/sh
# See proof_outage.py.
exec python3 "$(dirname "$0")/proof_outage.py" "$1" restart
