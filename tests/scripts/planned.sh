#!/bin/sh
# Planned stops on the platform; see planned.py.
exec python3 "$(dirname "$0")/planned.py" "$1"
