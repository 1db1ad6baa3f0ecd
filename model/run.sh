#!/usr/bin/env bash
# Runs the checks listed in model/checks with Spin, each as a complete search.
# Prints one line per check and exits with 1 if a verdict isn't the expected one.
# A search that reaches its time, depth or memory limit counts as "incomplete",
# which is never the expected verdict.
set -uo pipefail
models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

verdict() { # verdict FOLDER FILE DEFINE…: holds, fails or incomplete
  local folder=$1 file=$2 defines=()
  shift 2
  for define in "$@"; do defines+=("-D$define"); done
  cd "$folder" && spin -a "${defines[@]}" "$models/$file" > spin.log 2>&1 &&
    cc -O2 -w -DSAFETY -DNOCLAIM -DCOLLAPSE -DMEMLIM=3000 -o search pan.c > cc.log 2>&1 ||
    { echo "unreadable"; return; }
  timeout 60 ./search -m1000000 > search.log 2>&1 || { echo "incomplete"; return; }
  if grep -q 'errors: 0$' search.log; then
    grep -qE 'max search depth too small|out of memory|Search not completed' search.log &&
      echo "incomplete" || echo "holds"
  else
    echo "fails"
  fi
}

number=0
while read -r file expected defines; do
  case "$file" in '' | '#'*) continue ;; esac
  number=$((number + 1))
  mkdir "$work/$number"
  # shellcheck disable=SC2086 # the defines are words
  result=$(verdict "$work/$number" "$file" $defines)
  states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' "$work/$number/search.log" 2> /dev/null)
  mark=ok
  [ "$result" = "$expected" ] || { mark=WRONG; failed=1; }
  printf '%-6s %-12s %-18s %s, expected %s, %s states\n' \
    "$mark" "$file" "${defines:-}" "$result" "$expected" "${states:-0}"
done < "$models/checks"
exit $failed
