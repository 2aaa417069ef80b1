#!/usr/bin/env bash
# Plays every day in this folder with so many seeds on a site, several at a time, and prints what broke.
# usage: experiments/system/run.sh BENCH SITE SEEDS [FIRST]; JOBS for how many at a time; from the root.
set -euo pipefail
bench=$1 site=$2 seeds=$3 first=${4:-1}
out=$(mktemp -d)
"$bench" build >/dev/null
export bench site out
play() {
  day=$(basename "$1" .toml)
  "$bench" run "$site" "$1" --seed "$2" >"$out/$day.$2" 2>&1 || true
}
export -f play
for day in experiments/system/*.toml; do
  for ((s = first; s < first + seeds; s++)); do echo "$day $s"; done
done | xargs -P "${JOBS:-6}" -L 1 bash -c 'play $0 $1'
played=$(ls "$out" | wc -l)
echo "$played days played, in $out"
grep -lE 'BROKEN|broken|rule|FAULT|fault:|GATE failed' "$out"/* || echo "no rule broken, no fault"
