#!/usr/bin/env bash
# What one router costs: CPU, bytes on loopback and resident memory, idle or
# under load. Usage: scripts/node-cost.sh ENGINES [SECONDS] [ROUTERS] [RATE]
#   ENGINES  engines followed
#   SECONDS  window measured, after settling (10)
#   ROUTERS  routers in the fleet; figures are per router (1)
#   RATE     completions a second over the window (0: idle)
# Needs `cargo build --release` first. Loopback only; stops by itself.
set -euo pipefail
n=${1:-6}
window=${2:-10}
fleet=${3:-1}
rate=${4:-0}
bin=$(dirname "$0")/../target/release
base=25000
pids=()
cleanup() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; }
trap cleanup EXIT
start() { "$@" >/dev/null 2>&1 & pids+=($!); }
start "$bin/marjoram-standin" log --listen 127.0.0.1:$base
start "$bin/marjoram-standin" hosts --listen 127.0.0.1:$((base + 1)) --lag-ms 0
for i in $(seq 0 $((n - 1))); do
  start "$bin/marjoram-standin" engine --listen 127.0.0.1:$((base + 100 + i))
done
sleep 1
put_host() {
  curl -s -X PUT -H 'content-type: application/json' "http://127.0.0.1:$((base + 1))/v1/hosts" \
    -d "{\"addr\":\"127.0.0.1:$1\",\"role\":\"$2\",\"state\":\"live\",\"dc\":\"dc1\"}"
}
for i in $(seq 0 $((n - 1))); do put_host $((base + 100 + i)) engine; done
for i in $(seq 0 $((fleet - 1))); do put_host $((base + 300 + i)) router; done
publish() { curl -s -X POST "http://127.0.0.1:$base/v1/streams/config" -d "$1" >/dev/null; }
publish '{"kind":"template","name":"t","policy":"prefix-aware"}'
publish '{"kind":"workspace","id":"kili-checks","template":"t"}'
publish '{"kind":"workspace","id":"kili-drafting","template":"t"}'
routers=()
for i in $(seq 0 $((fleet - 1))); do
  "$bin/marjoram" --listen 127.0.0.1:$((base + 300 + i)) --peer-offset 300 \
    --log-service 127.0.0.1:$base --host-list 127.0.0.1:$((base + 1)) >/dev/null 2>&1 &
  pids+=($!)
  routers+=($!)
done
sleep 5
ticks=$(getconf CLK_TCK)
cpu() { for p in "${routers[@]}"; do cat "/proc/$p/stat"; done | awk '{s += $14 + $15} END {print s}'; }
rx() { awk '/^ *lo:/ {print $2}' /proc/net/dev; }
c0=$(cpu)
b0=$(rx)
if [ "$rate" -gt 0 ]; then
  "$bin/marjoram-standin" load --routers 127.0.0.1:$((base + 300)) --site kilimanjaro \
    --rate "$rate" --calls $((rate * window)) >/dev/null 2>&1
else
  sleep "$window"
fi
c1=$(cpu)
b1=$(rx)
rss=$(for p in "${routers[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | awk '{s += $1} END {print int(s / NR)}')
awk -v n="$n" -v w="$window" -v f="$fleet" -v r="$rate" -v c=$((c1 - c0)) -v t="$ticks" \
  -v b=$((b1 - b0)) -v rss="$rss" 'BEGIN {
    ms = c * 1000 / t / f
    printf "engines=%d routers=%d rate=%d window=%ds per router: cpu_ms_per_s=%.2f loopback_bytes_per_s=%d rss_kb=%d", n, f, r, w, ms / w, b / w / f, rss
    if (r > 0) printf " cpu_us_per_request=%.0f", ms * 1000 / (r * w / f)
    print ""
  }'
