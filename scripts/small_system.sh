# Functions that start and stop a small system on loopback addresses; sourced by demo.sh and
# bench.sh, which set:
#   bin  build folder with the programs
#   net  first three numbers of the loopback addresses, for example 127.7.0
#   work folder for logs and the manifest
# VMs are at $net.1 to $net.3, engines at $net.21 and $net.22, the service at $net.31, the
# platform at $net.41.

pids=()

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=("$!")
  echo "$!" >"$work/$name.pid"
}

# Waits until the command succeeds, at most $1 seconds.
wait_until() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

answers() { # URL
  curl -sf -m 1 -o /dev/null "$1"
}

# SIGTERM to all that was started, by process id, and waits for each.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

sha256() { # TEXT
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

write_manifest() {
  cat >"$work/manifest.json" <<JSON
// A small system for both users: crews and dispatchers, receptionists and kitchens.
{
  "revision": 1,
  "tiers": [
    {"name": "now", "timeout_ms": 10000},      // dawn crews, noon menus
    {"name": "dispatch", "timeout_ms": 20000},
    {"name": "office", "timeout_ms": 60000},
    {"name": "batch", "timeout_ms": 120000}
  ],
  "data_centres": [{"name": "dc-a", "region": "demo"}, {"name": "dc-b", "region": "demo"}],
  "workspaces": [
    {"name": "crews", "weight": 4},
    {"name": "dispatchers", "weight": 2},
    {"name": "receptionists", "weight": 4},
    {"name": "kitchens"}
  ],
  "keys": [
    {"sha256": "$(sha256 key-crews)", "workspace": "crews", "tier": "now"},
    {"sha256": "$(sha256 key-dispatchers)", "workspace": "dispatchers", "tier": "office"},
    {"sha256": "$(sha256 key-receptionists)", "workspace": "receptionists", "tier": "now"},
    {"sha256": "$(sha256 key-kitchens)", "workspace": "kitchens", "tier": "batch"}
  ],
  "models": [{"name": "small-7b", "output_tokens": 40}, {"name": "long-13b", "output_tokens": 200}],
  "pools": [{"name": "shared"}],
  "engines": [
    {"name": "fast", "pool": "shared", "data_centre": "dc-a", "address": "$net.21", "port": 8000,
     "window": ${window_fast:-32}, "prefill_tokens_per_second": 20000, "decode_tokens_per_second": ${decode_fast:-2000},
     "stream_tokens_per_second": ${stream_fast:-200}, "kv_tokens": 200000, "checks_fence": true,
     "models": ["small-7b", "long-13b"]},
    {"name": "slow", "pool": "shared", "data_centre": "dc-b", "address": "$net.22", "port": 8000,
     "window": ${window_slow:-8}, "prefill_tokens_per_second": 4000, "decode_tokens_per_second": ${decode_slow:-400},
     "stream_tokens_per_second": ${stream_slow:-80}, "kv_tokens": 40000, "checks_fence": false,
     "models": ["small-7b"]}
  ],
  "services": [
    {"name": "rota",
     "calls": [
       {"method": "GET", "path": "/sections/*", "repeatable": true},
       {"method": "POST", "path": "/bookings", "repeatable": false},
       {"method": "POST", "path": "/orders", "repeatable": false}
     ],
     "targets": [
       {"name": "rota-1", "data_centre": "dc-a", "address": "$net.31", "port": 8100, "window": 64}
     ]}
  ]
}
JSON
}

start_targets() {
  start engine-fast "$bin/standins/standin-engine" --listen "$net.21:8000" \
    --prefill-rate "${engine_prefill_fast:-20000}" --decode-rate "${decode_fast:-2000}" \
    --stream-rate "${stream_fast:-200}" --slots "${window_fast:-32}" --kv-tokens 200000 --load-lag 500 --events-late 300
  start engine-slow "$bin/standins/standin-engine" --listen "$net.22:8000" \
    --prefill-rate 4000 --decode-rate "${decode_slow:-400}" --stream-rate "${stream_slow:-80}" \
    --slots "${window_slow:-8}" --kv-tokens 40000 --load-lag 500 --events-late 300 --ignore-fence
  start service "$bin/standins/standin-service" --listen "$net.31:8100"
}

write_vms() {
  cat >"$work/vms.json" <<JSON
{"vms":[
  {"name":"vm-1","address":"$net.1","data_centre":"dc-a","state":"live"},
  {"name":"vm-2","address":"$net.2","data_centre":"dc-b","state":"live"},
  {"name":"vm-3","address":"$net.3","data_centre":"dc-a","state":"live"}
]}
JSON
}

start_platform() {
  start platform "$bin/standins/standin-platform" --listen "$net.41:7070" --rate 2000 \
    --object "manifest/proposed=$work/manifest.json" --object "vms=$work/vms.json"
}

data_centre_of() { # VM-NUMBER
  [ "$1" = 2 ] && echo dc-b || echo dc-a
}

# Agent, scheduler and entry of one VM.
start_vm() { # VM-NUMBER
  local common=(--name "vm-$1" --address "$net.$1" --data-centre "$(data_centre_of "$1")")
  start "agent-$1" "$bin/agent/dogwoodplank-agent" "${common[@]}" --platform-address "$net.41"
  start "scheduler-$1" "$bin/scheduler/dogwoodplank-scheduler" "${common[@]}"
  start "entry-$1" "$bin/entry/dogwoodplank-entry" "${common[@]}" --platform-address "$net.41"
}

# Has this process a manifest and a view of all three VMs?
is_ready() { # IP OPERATOR-PORT
  local status
  status=$(curl -sf -m 1 "http://$1:$2/status")
  grep -Eq '"manifest_revision": ?[1-9]' <<<"$status" &&
    [ "$(grep -o '"state": *"live"' <<<"$status" | wc -l)" = 3 ]
}

start_system() {
  write_manifest
  write_vms
  start_platform
  start_targets
  wait_until 20 answers "http://$net.41:7070/stats"
  wait_until 20 answers "http://$net.21:8000/load"
  wait_until 20 answers "http://$net.22:8000/load"
  wait_until 20 answers "http://$net.31:8100/load"
  local vm port
  for vm in 1 2 3; do
    start_vm "$vm"
  done
  for vm in 1 2 3; do
    for port in 7081 7082; do
      wait_until 30 is_ready "$net.$vm" "$port"
    done
  done
}
