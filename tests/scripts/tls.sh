#!/bin/sh
# Mutual TLS between the processes of a site; see tls.py.
exec python3 "$(dirname "$0")/tls.py" "$1"
