#!/usr/bin/env bash
# Compiles the stand-ins of the scripts in review/11 to review/15; they are in Python
# and need only what the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q emulator tools review/bed3
PYTHONPATH="target/deps:." python3 -c "import review.bed3.bed"
