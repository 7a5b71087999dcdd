#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export RECORD="$here/record.txt" PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
exec python3 "$here/case.py"
