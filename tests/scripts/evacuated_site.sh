#!/bin/sh
# A zone is evacuated by the document; see evacuated_site.py.
exec python3 "$(dirname "$0")/evacuated_site.py" "$1"
