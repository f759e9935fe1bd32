#!/bin/sh
# Gangs on executors whose members end some time apart; see gangs.py.
exec python3 "$(dirname "$0")/gangs.py" "$1"
