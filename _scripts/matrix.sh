#!/usr/bin/env bash
# Runs each day of deploy/days on a site of the users' bench, one after the other:
#   _scripts/matrix.sh BENCH SITE [WHY]
# Prints for each day the worth, the part served, shard takeovers and broken rules.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 why=${3:-"matrix of own days"}
printf '%-14s %-8s %-8s %-9s %s\n' day worth served takeovers broken
for day in deploy/days/*.toml; do
  out=$(mktemp)
  "$bench" run "$site" "$day" --log front --why "$why" > "$out" 2>&1 || true
  name=$(basename "$day" .toml)
  line=$(grep "^$name " "$out" | head -1 || true)
  [ -n "$line" ] || { printf '%-14s not played: %s\n' "$name" "$(grep '^fleetbench:' "$out" | head -1)"; rm -f "$out"; continue; }
  owned=$(grep -c '"event":"shard_owned"' "$out" || true)
  printf '%-14s %-8s %-8s %-9s %s\n' "$name" "$(echo "$line" | awk '{print $4}')" "$(echo "$line" | awk '{print $5}')" "$owned" \
    "$(echo "$line" | grep -o 'BROKEN.*' || echo none)"
  rm -f "$out"
done
