#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/burlusher ] && [ -x target/review2/release/review2 ] || exit 2
PIDS=$(mktemp) || exit 2
export PIDS
target/review2/release/review2 slow-end "$here/record.txt" &
case=$!
# Ends whatever the case started, also if it is interrupted itself.
finish() {
    kill -9 "$case" 2>/dev/null
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$PIDS"
    rm -f "$PIDS"
    rm -rf "${TMPDIR:-/tmp}/burlusher-review2-$case"
}
trap 'finish; exit 2' INT TERM HUP
wait "$case"
code=$?
trap - INT TERM HUP
[ "$code" -le 2 ] || { finish; exit 2; }
rm -f "$PIDS"
exit "$code"
