#!/bin/sh
# Entries behind links of low bandwidth; see thin.py.
set -u
here=$(dirname "$0")
. "$here/side-by-side"
side_by_side "$1" "$here/thin.py" total_loss relayed leader
