#!/bin/sh
# An entry restarts while the log is down; see proof_outage.py.
exec python3 "$(dirname "$0")/proof_outage.py" "$1" restart
