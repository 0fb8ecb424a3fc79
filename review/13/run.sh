#!/usr/bin/env bash
# A batch job whose end was acknowledged is accepted and run afterwards.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
if [ ! -f "$root/target/zinniatack.jar" ] || [ ! -d "$root/target/review-3" ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
timeout -k 5 112 java -Xmx256m -Dreview.root="$root" -cp "$root/target/review-3" EndedThenRun "$PWD/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
