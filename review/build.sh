#!/usr/bin/env bash
# Builds the stand-ins of the review. They are Python modules without further
# dependencies, so it is enough to compile them and to load what they import.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q standins review
python3 -c 'from review import mesh'
