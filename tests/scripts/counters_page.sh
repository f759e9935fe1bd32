#!/bin/sh
# docs/operators/counters.md is what tools/counters-page generates from the
# sources, and it lists every counter that running processes print.
cd "$(dirname "$0")/../.." || exit 1
tools/counters-page | diff - docs/operators/counters.md ||
  { echo "run: tools/counters-page > docs/operators/counters.md" >&2; exit 1; }
exec python3 tests/scripts/counters_page.py "$1"
