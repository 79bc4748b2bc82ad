#!/usr/bin/env bash
# Builds the stand-ins of the script cases 6 to 9. They need no library; this
# checks that the interpreter of the deploy file can load them.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$PWD/target/deps:$PWD" python3 -c '
import review.mesh2
'
