#!/bin/sh
# Smoke test of the stand-ins.
exec python3 tests/scripts/standins.py "$1"
