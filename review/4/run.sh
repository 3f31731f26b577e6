#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# SIGTERM and SIGINT end the case and all processes that it started.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 review/4/case.py &
pid=$!
trap 'kill -TERM "$pid"' INT TERM
wait "$pid"
status=$?
while kill -0 "$pid" 2>/dev/null; do
    wait "$pid"
    status=$?
done
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
