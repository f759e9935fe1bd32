#!/bin/sh
# galenapier against a stand-in for the operators' HTTP; see cli_http.py.
exec python3 tests/scripts/cli_http.py "$1"
