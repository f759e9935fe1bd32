#!/bin/sh
# Checks the stand-ins of the review's scripts.  They are Python programs that
# use only the standard library, so there is nothing to compile or install.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob
for name in glob.glob("lib/*.py") + glob.glob("*/case.py"):
    ast.parse(open(name, encoding="utf-8").read(), name)
P
