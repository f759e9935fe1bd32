#!/bin/sh
# Builds what the scripts of the second review start besides the programs of
# the deploy file: nothing, as all stand-ins are Python modules.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)' \
  review/lib2/*.py tests/standins/*.py tests/scripts/platform_site.py \
  tools/site_processes.py
