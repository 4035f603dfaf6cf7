#!/bin/sh
# Build what the scripts of review/11 to review/14 start; their stand-ins are plain Python sources.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
