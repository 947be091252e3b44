#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
python3 -B case.py &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT
wait "$pid"
status=$?
wait "$pid" 2>/dev/null
# A program that fails for any other reason ends with 1, so the case says "broken" with 11.
case $status in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
