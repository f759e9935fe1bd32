#!/bin/sh
# Jobs on the platform; see platform.py.
exec python3 "$(dirname "$0")/platform.py" "$1"
