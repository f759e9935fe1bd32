#!/bin/sh
# Handovers that fail halfway; see handover.py.
exec python3 "$(dirname "$0")/handover.py" "$1" killed_in_claim answer_lost \
  store_down
