#!/bin/sh
# Executors that end for good; see gone.py.  The scenarios wait for terms and
# leases most of their time, so they run side by side.
set -u
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
here=$(dirname "$0")
scenarios="drained silent forgotten forgotten_by_new_leader goodbye_unheard
led_again resigned restarted"
for scenario in $scenarios; do
  python3 "$here/gone.py" "$1" "$scenario" >"$folder/$scenario" \
    2>"$folder/$scenario.err" &
done
wait
for scenario in $scenarios; do
  cat "$folder/$scenario"
  cat "$folder/$scenario.err" >&2
done
