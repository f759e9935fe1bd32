#!/bin/sh
# The checks of the soak, without a site; see soak_judged.py.
exec python3 -B "$(dirname "$0")/soak_judged.py"
