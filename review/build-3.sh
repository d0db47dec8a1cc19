#!/usr/bin/env bash
# Compiles the stand-ins of the scripts in review/11 to review/15, which share those in
# review/11/bed3; they are in Python and need only what the build of the deploy file
# installs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q emulator tools review/11/bed3
PYTHONPATH="target/deps:.:review/11" python3 -c "import bed3.bed"
