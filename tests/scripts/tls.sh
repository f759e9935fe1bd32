#!/bin/sh
# Mutual trust of the site's processes; see tls.py.
exec python3 "$(dirname "$0")/tls.py" "$1"
