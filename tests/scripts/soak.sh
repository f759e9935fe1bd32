#!/bin/sh
# One short seed of the soak; see tools/soak.
exec python3 "$(dirname "$0")/../../tools/soak" "$1" --first 7 --seeds 1 \
  --seconds 5
