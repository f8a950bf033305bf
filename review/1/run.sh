#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
directory=$(cd "$(dirname "$0")" && pwd)
cd "$directory/../.." || exit 2
export PYTHONPATH="target/deps:$PWD"
python3 -c "import h11, msgspec, standins.platform_store" || exit 2
exec python3 "$directory/case.py"
