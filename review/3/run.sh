#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
cd "$root" || exit 2
[ -x .venv/bin/python ] || { echo "no .venv: run the build line of deploy/balancer.toml"; exit 2; }
PYTHONPATH="$root:$root/review" .venv/bin/python -B "$here/case.py" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
