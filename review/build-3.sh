#!/bin/sh
# Stand-ins of the third review: Python only, so they are checked, not built.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib3/*.py tests/standins/platform_*.py \
            tests/standins/links.py tests/standins/http_server.py \
            tests/scripts/platform_site.py tools/site_processes.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
