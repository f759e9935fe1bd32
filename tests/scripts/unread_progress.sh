#!/bin/sh
# An entry that lacks the progress of a job; see unread_progress.py.
exec python3 "$(dirname "$0")/unread_progress.py" "$1"
