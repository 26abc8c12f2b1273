#!/usr/bin/env bash
# Measures what the agents of a small fleet really cost: 15 agent processes and the stand-in
# platform on loopback. Prints, a VM: bytes of messages a second, processor time, memory; and the
# platform's calls a second. Usage: control_cost.sh [VMS] [SECONDS]
set -eu
cd "$(dirname "$0")/.."
bash scripts/deps.sh

vms=${1:-15}
seconds=${2:-30}
net=${NET:-127.0.3}
build=build
[ -d "$build" ] || meson setup "$build" --buildtype=release >/dev/null
ninja -C "$build" --quiet

work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -r "$work"
}
trap stop_all EXIT

separator=
printf '{"vms":[' >"$work/vms.json"
for ((i = 0; i < vms; i++)); do
  printf '%s{"name":"vm-%d","address":"%s.%d","data_centre":"dc-%d","state":"live"}' \
    "$separator" "$i" "$net" $((101 + i)) $((i % 3)) >>"$work/vms.json"
  separator=,
done
printf ']}' >>"$work/vms.json"

"$build/standins/standin-platform" --listen "$net.100:7070" --object "vms=$work/vms.json" \
  --object manifest/proposed=docs/examples/zadruga.json 2>"$work/platform.log" &
pids+=($!)
agents=()
for ((i = 0; i < vms; i++)); do
  "$build/agent/dogwoodplank-agent" --name "vm-$i" --address "$net.$((101 + i))" \
    --data-centre "dc-$((i % 3))" --platform-address "$net.100" 2>"$work/agent-$i.log" &
  agents+=($!)
done
pids+=("${agents[@]}")

status_of() { curl -sf -m 2 "http://$net.$((101 + $1)):7083/status"; }
sent_by() {
  curl -sf -m 2 "http://$net.$((101 + $1)):7083/metrics" |
    awk '/^dogwoodplank_bus_bytes_total\{direction="sent"\}/ { print $2 }'
}
calls_made() { curl -sf "http://$net.100:7070/stats" | sed -E 's/.*"total":([0-9]+).*/\1/'; }
ticks_of() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

for ((i = 0; i < vms; i++)); do
  until status_of "$i" | grep -q '"manifest_revision": 1, "agent"'; do
    [ "$SECONDS" -lt 60 ] || { echo "vm-$i has no manifest after 60 s" >&2; exit 1; }
    sleep 0.2
  done
done
sleep 10 # news of the start fades

bytes=0 ticks=0
calls=$(calls_made)
for ((i = 0; i < vms; i++)); do
  bytes=$((bytes - $(sent_by "$i")))
  ticks=$((ticks - $(ticks_of "${agents[i]}")))
done
sleep "$seconds"
rss_max=0
for ((i = 0; i < vms; i++)); do
  bytes=$((bytes + $(sent_by "$i")))
  ticks=$((ticks + $(ticks_of "${agents[i]}")))
  rss=$(awk '/^VmRSS/ { print $2 }' "/proc/${agents[i]}/status")
  [ "$rss" -le "$rss_max" ] || rss_max=$rss
done
calls=$(($(calls_made) - calls))

awk -v vms="$vms" -v s="$seconds" -v bytes="$bytes" -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" \
  -v rss="$rss_max" -v calls="$calls" 'BEGIN {
  printf "%d agents, %d s: %.0f B/s sent a VM, %.2f%% of a core a VM, %d KB resident at most, ",
    vms, s, bytes / vms / s, 100 * ticks / hz / vms / s, rss
  printf "%.1f platform calls/s in all\n", calls / s
}'
