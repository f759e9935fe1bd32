#!/bin/sh
# Two short seeds of the soak, one with planned faults only; see tools/soak.
exec python3 "$(dirname "$0")/../../tools/soak" "$1" --first 8 --seeds 2 \
  --seconds 6
