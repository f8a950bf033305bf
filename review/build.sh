#!/bin/sh
# Builds the stand-ins of the scripts. They are Python and use the packages of the deploy build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:$PWD" python3 -c "import h11, msgspec, standins.platform_store"
python3 -m compileall -q standins review
