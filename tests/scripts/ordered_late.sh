#!/bin/sh
# Tasks that take their executors down, and starts that are late; see
# ordered_late.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/ordered_late.py" starts_late starts_later \
  store_silent store_refusing store_slow answers_lost guard_killed \
  guards_stopped leader_waits late_and_refusing told_as_put_off
