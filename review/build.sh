#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python and use only the
# standard library, so this checks that they compile, and writes no file; the daemons
# are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/cranberryhold
python3 -B -c 'import pathlib
for path in pathlib.Path("review").rglob("*.py"):
    compile(path.read_bytes(), str(path), "exec")'
