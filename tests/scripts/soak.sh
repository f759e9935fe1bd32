#!/bin/sh
# Two short seeds of the soak, one of them with planned faults only, two in
# which executors restart under the same id, two with a store that is slow at
# times and entries of unequal capacity, and one with crowds of misbehaving
# clients; see tools/soak.
set -e
soak=$(dirname "$0")/../../tools/soak
python3 "$soak" "$1" --first 8 --seeds 2 --seconds 6
python3 "$soak" "$1" --first 10 --seeds 2 --seconds 6 --lives
python3 "$soak" "$1" --first 9001 --seeds 2 --seconds 6 \
  --features share_appends confirm_appends measure_speed
python3 "$soak" "$1" --first 8601 --seeds 1 --seconds 6 --crowds 2
