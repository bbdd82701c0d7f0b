#!/usr/bin/env bash
# Demonstrates the main functions with stand-ins: a platform, three engines in two
# data centres, a plain service and three daemons run as separate processes on
# loopback. Exits with 0 only if every answer was complete.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
daemons=()
failed=1

finish() {
  for p in "${daemons[@]}" "${pids[@]}"; do kill -9 "$p" 2>/dev/null && wait "$p" 2>/dev/null || true; done
  if [ "$failed" != 0 ]; then
    echo "demo failed; logs of the daemons:"
    tail -n 5 "$dir"/*.log
  fi
  rm -rf "$dir"
}
trap finish EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

start platform bin/primrose-standin platform -a 127.0.0.1:7000
start engine-1 bin/primrose-standin engine -a 127.0.0.1:9001 -f
start engine-2 bin/primrose-standin engine -a 127.0.0.1:9002
start engine-3 bin/primrose-standin engine -a 127.0.0.1:9003
start parts-1 bin/primrose-standin service -a 127.0.0.1:9101 -n parts-1
place=(north south south)
for i in 1 2 3; do
  cat >"$dir/vm-$i.json" <<EOF
{"name": "vm-$i", "place": "${place[$((i - 1))]}", "caller": "127.0.0.1:730$i", "peer": "127.0.0.1:710$i",
 "admin": "127.0.0.1:720$i", "platform": "127.0.0.1:7000", "seeds": ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]}
EOF
  bin/primrosed --config "$dir/vm-$i.json" --check >/dev/null
  bin/primrosed --config "$dir/vm-$i.json" >"$dir/vm-$i.log" 2>&1 &
  daemons+=($!)
done

await() { # command...
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "not in 15 s: $*"
  exit 1
}

for i in 1 2 3; do await curl -sf "127.0.0.1:720$i/healthz"; done
echo "== apply the settings tree"
bin/primrosectl tree apply -f docs/samples/demo.json --wait 10s
echo "== wait until every model has a runner"
served() { curl -s "127.0.0.1:7301/v1/entries?model=$1" | grep -q '"owner":true'; }
for model in small small-poems large; do await served "$model"; done
bin/primrosectl runners

ask() { curl -sS --fail-with-body -D "$dir/head" "$@"; }
where() { grep -i '^primrose-\(runner\|place\)' "$dir/head" | tr -d '\r' | tr '\n' ' '; echo; }

echo "== a streamed chat through vm-1"
ask -N 127.0.0.1:7301/v1/chat/completions -d '{"model":"small","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"gamarjoba"}]}' >"$dir/chat"
tail -n 2 "$dir/chat" | head -n 1
grep -q 'data: \[DONE\]' "$dir/chat"
[ "$(grep -c '"content"' "$dir/chat")" = 12 ]
where
echo "== a review through vm-1, which must stay in the south"
ask 127.0.0.1:7301/v1/chat/completions -d '{"model":"large","max_tokens":4,"messages":[{"role":"user","content":"transfer 12"}]}'
echo
where
grep -qi '^primrose-place: south' "$dir/head"
echo "== a lookup through vm-2"
ask 127.0.0.1:7302/services/parts/belts/17
where
echo "== a keyed order through vm-2, and its resend through vm-3: one run"
ask 127.0.0.1:7302/services/parts/orders -H 'Idempotency-Key: order-1' -d '{"part":"belt"}' | tee "$dir/one"
where
ask 127.0.0.1:7303/services/parts/orders -H 'Idempotency-Key: order-1' -d '{"part":"belt"}' | tee "$dir/two"
cmp "$dir/one" "$dir/two"
[ "$(curl -s 127.0.0.1:9101/log | grep -o '"path":"/orders"' | wc -l)" = 1 ]
echo "== status"
bin/primrosectl status
echo "== graceful stop"
kill -TERM "${daemons[@]}"
for p in "${daemons[@]}"; do wait "$p"; done
daemons=()
failed=0
echo "== all answers were whole"
