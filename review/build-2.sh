#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the nodes. All of it is Python: the store
# stand-in of the project and the module mesh.py, which need the build of the deploy file only.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" python3 -c "import mesh, standins.platform_store"
