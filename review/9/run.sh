#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
[ -d target/deps ] || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 "$case_folder/run.py"
