#!/usr/bin/env bash
# Builds the stand-ins of the cases 11, 12 and 14, which need Python alone.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-3/standins review/11 review/12 review/14
