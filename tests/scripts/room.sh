#!/bin/sh
# Executors whose capacity shrinks and grows; see room.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/room.py" plain late leaders guards
