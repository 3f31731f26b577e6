#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 review/2/case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
