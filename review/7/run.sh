#!/bin/sh
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." && exec timeout 115 python3 "$dir/case.py"
