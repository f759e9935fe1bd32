#!/bin/sh
# Tasks that take their executors down while starts are carried out late, or
# guards are killed under them; see ordered_late.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/ordered_late.py" starts_late starts_later \
  late_and_refusing guard_killed
