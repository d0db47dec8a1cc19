#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python and use only the
# standard library, so this compiles them; the daemons are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
test -d target/deps/cranberryhold
