#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the restarts out.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/zinniatack.jar ] && [ -d ../../target/review-2 ] || exit 2
timeout -k 5 115 java -Droot=../.. -cp ../../target/review-2 RollingRestart .
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
