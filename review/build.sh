#!/bin/sh
# Build the stand-ins that the cases start. They use Python's standard library alone.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
