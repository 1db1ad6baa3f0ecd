#!/usr/bin/env bash
# A further effect of case 8 (rule RECOVER); exit codes as issue 58 says. TROUBLE=0: no node is replaced.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
export PROGRAM=$root/target/hibiscushold
case=$root/target/review-2/recover
[ -x "$PROGRAM" ] && [ -x "$case" ] || { echo "build first"; exit 2; }
timeout -k 2 115 "$case" "$here/record.txt"
code=$?
[ $code -le 1 ] || code=2
exit $code
