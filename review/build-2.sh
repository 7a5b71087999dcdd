#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemons: the project's stand-in of
# the store, and the runners and clients of rig.py. They are Python and use the libraries of the
# deploy file's build alone, so this only compiles them and checks that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD:$PWD/review"
python3 -m compileall -q snipewell review/rig.py review/runner.py review/6 review/7 review/8 review/9 review/10
python3 -c "import rig"
