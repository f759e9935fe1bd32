#!/bin/sh
# Tasks that crash their executors; see crashes.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/crashes.py" plain gang lasting timed leaders \
  guards everything lapses outage beside in_a_row
