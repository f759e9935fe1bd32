#!/bin/sh
# Entries whose store is slow; see slow_store.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/slow_store.py" slow crowded leader_killed stopped \
  cut_off asked_twice
