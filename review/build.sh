#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases; they need only what the deploy file's build puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH=target/deps:. python3 -S -m compileall -q snipewell review
PYTHONPATH=target/deps:. python3 -S -c 'import review.fleet'
