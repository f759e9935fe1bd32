#!/bin/sh
# Availability zones that are evacuated; see evacuated.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/evacuated.py" calm leader entries guards late
side_by_side "$1" "$here/evacuated.py" stale forgotten by_turns all_zones \
  lasting
