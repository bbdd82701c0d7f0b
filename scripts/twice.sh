#!/usr/bin/env bash
# Runs a day for each kind of fault that the standard days lack. Each fault occurs alone,
# and again during an outage of the store. Usage: scripts/twice.sh BENCH SITE
set -euo pipefail
bench=$1 site=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
kinds=(
  'kind = "srv_cut", share = 0.3, for_s = 3.0'
  'kind = "srv_cut", share = 0.3, for_s = 3.0, how = "reborn"'
  'kind = "replace_with_reuse", share = 0.2'
  'kind = "replace_with_reuse", share = 0.2, how = "drain"'
  'kind = "clock_step", x = 4000, share = 0.5, for_s = 3.0, how = "back"'
  'kind = "clock_step", x = 4000, share = 0.5, for_s = 3.0, how = "ahead"'
  'kind = "hup", share = 0.9, gap_s = 1.0'
  'kind = "reset_conns", share = 1.0, x = 1.0'
  'kind = "srv_lying_health", share = 0.2, for_s = 4.0'
  'kind = "srv_lying_health", share = 0.2, for_s = 4.0, how = "bad"'
  'kind = "srv_flap", share = 0.2, gap_s = 1.0, for_s = 4.0'
  'kind = "idle_race", share = 0.5, x = 300, for_s = 5.0'
  'kind = "srv_slow", share = 0.3, x = 4.0, for_s = 4.0'
  'kind = "scale_out", share = 0.3, gap_s = 1.0'
  'kind = "after_ack_kill", count = 2, for_s = 1.0'
  'kind = "node_slow", share = 0.4, x = 5.0, for_s = 4.0'
)
for i in "${!kinds[@]}"; do
  cat > "$dir/twice-$i.toml" <<DAY
name = "twice-$i"
slot = "trouble"
seed = $((4711 + i))
one = 0.7
zero = 0.2
goal = { floor = 0.3 }
labels = []
faults = [
  { at = 3.0, ${kinds[$i]} },
  { at = 13.0, kind = "platform_down", for_s = 4.5 },
  { at = 14.0, ${kinds[$i]} },
  { at = 24.0, ${kinds[$i]} },
  { at = 25.0, ${kinds[$i]} },
]
DAY
  echo "${kinds[$i]}: $("$bench" run "$site" "$dir/twice-$i.toml" --no-cpu --why "Twice and during an outage: ${kinds[$i]}" 2>&1 | grep "^twice" | cut -c1-150)"
done
