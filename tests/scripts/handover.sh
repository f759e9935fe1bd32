#!/bin/sh
# Handing leadership over to a stronger entry; see handover.py.
exec python3 "$(dirname "$0")/handover.py" "$1" handed_over restarted_in_turn \
  disabled
