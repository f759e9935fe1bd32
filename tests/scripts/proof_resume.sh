#!/bin/sh
# Evicted tasks resume from their checkpoints; see proof_resume.py.
exec python3 "$(dirname "$0")/proof_resume.py" "$1"
