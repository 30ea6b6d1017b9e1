#!/bin/bash
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. `review/build.sh` and the build of the deploy file come first.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
[ -x target/review/standins ] && [ -x target/release/gooseberrytack-node ] || { echo "build first"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR PIDS=$TMPDIR/pids
touch "$PIDS"
# The stand-ins end all processes and empty the list; what is left in it was started by a case that was killed.
trap 'for id in $(cat "$PIDS"); do kill -9 "$id" 2>/dev/null; done; rm -rf "$TMPDIR"' EXIT
trap 'kill -9 $stand 2>/dev/null; exit 2' INT TERM
target/review/standins "$1" "$folder" &
stand=$!
wait $stand
