#!/bin/sh
# A zone of a site of our own is evacuated; see evacuated_site.py.
exec python3 "$(dirname "$0")/evacuated_site.py" "$1"
