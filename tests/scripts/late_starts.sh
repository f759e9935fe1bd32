#!/bin/sh
# Tasks that crash their executors while starts run late or guards are killed;
# see ordered_late.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/ordered_late.py" starts_late starts_later \
  late_and_refusing guard_killed
