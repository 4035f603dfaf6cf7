#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
python3 review/10/case.py &
case=$!
trap 'kill "$case" 2>/dev/null' INT TERM HUP
wait "$case"
code=$?
# A signal ends the first wait before the case has ended its processes.
[ "$code" -gt 128 ] && wait "$case" 2>/dev/null
case $code in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
