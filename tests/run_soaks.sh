#!/usr/bin/env bash
# Runs every soak_* program for SEEDS seeds from FIRST on.  soak_mesh, which
# plays processes in real time, half a minute a seed, gets one in fifty, and
# the seeds that ever failed.
set -u
build=${1:?usage: run_soaks.sh BUILD_DIR SEEDS FIRST}
failed=0
for p in "$build"/soak_*; do
  [ -f "$p" ] && [ -x "$p" ] || continue
  name=$(basename "$p")
  [ "$name" != soak_mesh ] || continue
  echo "== $name --seeds $2 --first $3"
  "$p" --seeds "$2" --first "$3" || failed=$((failed + 1))
done

seeds=$(seq "$3" $(($3 + ($2 + 49) / 50 - 1)))
kept=$(grep -oE '^[0-9]+' "$(dirname "$0")/soak_seeds" 2>/dev/null || true)
echo "== soak_mesh, seeds" $seeds $kept
for seed in $seeds $kept; do echo "$seed"; done | sort -nu |
  xargs -P 4 -I{} "$build/soak_mesh" --seeds 1 --first {} ||
  failed=$((failed + 1))
[ $failed = 0 ]
