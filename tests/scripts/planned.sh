#!/bin/sh
# Planned shutdowns on the platform; see planned.py.
exec python3 "$(dirname "$0")/planned.py" "$1"
