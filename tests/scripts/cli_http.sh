#!/bin/sh
# galenapier against a small stand-in of the operators' HTTP.
exec python3 tests/scripts/cli_http.py "$1"
