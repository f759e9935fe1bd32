#!/bin/sh
# docs/operators/counters.md is what tools/counters-page makes of the sources,
# and every counter that running processes print is on it.
cd "$(dirname "$0")/../.." || exit 1
tools/counters-page | diff - docs/operators/counters.md ||
  { echo "run: tools/counters-page > docs/operators/counters.md" >&2; exit 1; }
exec python3 tests/scripts/counters_page.py "$1"
