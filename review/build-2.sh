#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. They need Python 3.11 or later
# and its standard library, and nothing from outside; this checks both.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONPYCACHEPREFIX="$PWD/target/review-2" python3 -m py_compile \
  review/standins-2/standins.py
