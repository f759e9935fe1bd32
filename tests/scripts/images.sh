#!/bin/sh
# Jobs with an image each; see images.py.
exec python3 "$(dirname "$0")/images.py" "$1"
