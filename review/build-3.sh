#!/usr/bin/env bash
# Builds the stand-ins of the cases 12, 14 and 15, which need Python alone.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-3/standins review/12 review/14 review/15
