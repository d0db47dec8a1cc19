#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start: the project's own in
# emulator/ and tools/, and those of the review in review/6/. They need no more
# than the libraries that the build of deploy/system.toml puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/cranberryhold ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 2
fi
PYTHONPATH=target/deps:.:review/6
export PYTHONPATH
python3 -m compileall -q emulator tools review/6
python3 -c "import deployment"
