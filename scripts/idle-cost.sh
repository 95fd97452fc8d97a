#!/usr/bin/env bash
# Control cost of one idle router following N engines: CPU seconds and
# bytes it reads over a fixed window. Usage: scripts/idle-cost.sh N [SECONDS]
# Needs `cargo build --release` first. Loopback only; stops by itself.
set -euo pipefail
n=${1:-6}
window=${2:-10}
bin=$(dirname "$0")/../target/release
base=25000
pids=()
cleanup() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; }
trap cleanup EXIT
"$bin/marjoram-standin" log --listen 127.0.0.1:$base 2>/dev/null & pids+=($!)
"$bin/marjoram-standin" hosts --listen 127.0.0.1:$((base + 1)) --lag-ms 0 2>/dev/null & pids+=($!)
for i in $(seq 0 $((n - 1))); do
  "$bin/marjoram-standin" engine --listen 127.0.0.1:$((base + 10 + i)) 2>/dev/null & pids+=($!)
done
sleep 1
for i in $(seq 0 $((n - 1))); do
  curl -s -X PUT -H 'content-type: application/json' "http://127.0.0.1:$((base + 1))/v1/hosts" \
    -d "{\"addr\":\"127.0.0.1:$((base + 10 + i))\",\"role\":\"engine\",\"state\":\"live\",\"dc\":\"dc1\"}"
done
curl -s -X POST "http://127.0.0.1:$base/v1/streams/config" -d '{"kind":"template","name":"t","policy":"maglev"}' >/dev/null
"$bin/marjoram" --listen 127.0.0.1:$((base + 40)) --log-service 127.0.0.1:$base --host-list 127.0.0.1:$((base + 1)) 2>/dev/null & router=$!
pids+=($router)
sleep 2
ticks=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/$router/stat"; }
rx() { awk '/^ *lo:/ {print $2}' /proc/net/dev; }
c0=$(cpu)
b0=$(rx)
sleep "$window"
c1=$(cpu)
b1=$(rx)
# Every byte on loopback in the window is the router's polling: nothing else runs.
echo "engines=$n window=${window}s router_cpu_ms=$(( (c1 - c0) * 1000 / ticks ))" \
  "cpu_ms_per_s=$(( (c1 - c0) * 1000 / ticks / window )) loopback_bytes_per_s=$(( (b1 - b0) / window ))"
