#!/bin/sh
# Entries behind thin links; see thin.py.  The scenarios wait for their links
# most of their time, so they run side by side.
set -u
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
here=$(dirname "$0")
scenarios="total_loss relayed leader"
for scenario in $scenarios; do
  python3 "$here/thin.py" "$1" "$scenario" >"$folder/$scenario" \
    2>"$folder/$scenario.err" &
done
wait
for scenario in $scenarios; do
  cat "$folder/$scenario"
  cat "$folder/$scenario.err" >&2
done
