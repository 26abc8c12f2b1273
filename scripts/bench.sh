#!/usr/bin/env bash
# Measures the path against the same stand-in engine called directly, in one run: added latency,
# requests a second per core, resident memory, bytes between our processes, many open streams.
# Prints a Markdown table for docs/MEASUREMENTS.md. BENCH_NET=127.x.y chooses other addresses.
set -eu
cd "$(dirname "$0")/.."
bash scripts/deps.sh

bin=build-release
net=${BENCH_NET:-127.8.0}
[ -d "$bin" ] || meson setup "$bin" --buildtype=release >/dev/null
ninja -C "$bin" --quiet
work=$(mktemp -d)
. scripts/small_system.sh
trap 'stop_all; rm -rf "$work"' EXIT

# Engines without a prefill limit, so that the first token shows the path alone; 15 tokens a
# second and stream, which is 67 ms between tokens.
window_fast=4000 window_slow=1
decode_fast=1000000 stream_fast=15
engine_prefill_fast=0
rounds=5
ticks_per_second=$(getconf CLK_TCK)

# NAME VALUE of a key=value report line.
value() { # NAME < LINE
  grep -o " $1=[0-9.]*" | head -n 1 | cut -d= -f2
}

load() { # FLAGS...
  "$bin/standins/standin-load" --model long-13b --seconds 60 "$@"
}

through_path() {
  load --entry "$net.1:7080" --key key-crews:path --booking-percent 0 --stream-percent 100 "$@"
}

straight() {
  load --direct --entry "$net.21:8000" "$@"
}

cpu_ticks() { # NAME
  awk '{print $14 + $15}' "/proc/$(cat "$work/$1.pid")/stat"
}

resident_kib() { # NAME
  awk '/^VmRSS/ {print $2}' "/proc/$(cat "$work/$1.pid")/status"
}

bus_bytes() { # OPERATOR-PORT
  curl -s "http://$net.1:$1/metrics" | awk '/^dogwoodplank_bus_bytes_total/ {n += $2} END {print n + 0}'
}

median() { # VALUES...
  printf '%s\n' "$@" | sort -n | awk '{v[NR] = $1} END {print v[int((NR + 1) / 2)]}'
}

difference() {
  awk -v a="$1" -v b="$2" 'BEGIN {printf "%.2f", a - b}'
}

start_system
echo "load average at the start: $(cut -d' ' -f1-3 /proc/loadavg); $(nproc) cores"
echo
echo "| measure | direct | path | added |"
echo "| --- | --- | --- | --- |"

# --- latency: the two ways take turns, the median of the rounds counts ---
shape=(--callers 20 --requests 1000 --think 10 --tokens-min 1 --tokens-max 1)
for name in first_ms_p50 first_ms_p95 first_ms_p99; do
  declare -a "direct_$name=()" "path_$name=()"
done
for round in $(seq "$rounds"); do
  straight "${shape[@]}" --seed "$round" >"$work/direct" || { cat "$work/direct"; exit 1; }
  through_path "${shape[@]}" --seed "$round" >"$work/path" || { cat "$work/path"; exit 1; }
  for name in first_ms_p50 first_ms_p95 first_ms_p99; do
    declare -n direct_values=direct_$name path_values=path_$name
    direct_values+=("$(value "$name" <"$work/direct")")
    path_values+=("$(value "$name" <"$work/path")")
  done
done
for name in first_ms_p50 first_ms_p95 first_ms_p99; do
  declare -n direct_values=direct_$name path_values=path_$name
  a=$(median "${direct_values[@]}")
  b=$(median "${path_values[@]}")
  echo "| first token, ${name#first_ms_}, ms (median of $rounds rounds) | $a | $b | $(difference "$b" "$a") |"
done

# --- processor time and bytes between our processes ---
requests=5000
entry_before=$(cpu_ticks entry-1)
schedulers_before=$(($(cpu_ticks scheduler-1) + $(cpu_ticks scheduler-3)))
bytes_before=$(bus_bytes 7081)
through_path --callers 200 --requests "$requests" --tokens-min 5 --tokens-max 5 --seed 9 >"$work/path"
entry_ticks=$(($(cpu_ticks entry-1) - entry_before))
scheduler_ticks=$(($(cpu_ticks scheduler-1) + $(cpu_ticks scheduler-3) - schedulers_before))
bytes=$(($(bus_bytes 7081) - bytes_before))
per_core() { # TICKS
  awk -v n="$requests" -v t="$1" -v hz="$ticks_per_second" 'BEGIN {if (t > 0) printf "%.0f", n * hz / t; else print "-"}'
}
echo "| requests a second per core, entry (5 tokens each) | | $(per_core "$entry_ticks") | |"
echo "| requests a second per core, schedulers of the data centre | | $(per_core "$scheduler_ticks") | |"
echo "| bytes a request between entry and schedulers, both ways | | $((bytes / requests)) | |"

# --- many open streams on one entry ---
streams=2000
idle=$(resident_kib entry-1)
straight --callers "$streams" --requests "$streams" --tokens-min 150 --tokens-max 150 --ramp 3000 >"$work/direct" || { cat "$work/direct"; exit 1; }
through_path --callers "$streams" --requests "$streams" --tokens-min 150 --tokens-max 150 --ramp 3000 >"$work/path" &
load_pid=$!
peak=$idle
open=0
started=$(date +%s%N)
entry_before=$(cpu_ticks entry-1)
while kill -0 "$load_pid" 2>/dev/null; do
  now=$(resident_kib entry-1)
  [ "$now" -le "$peak" ] || peak=$now
  running=$(curl -s "http://$net.21:8000/stats" | grep -o '"running":[0-9]*' | cut -d: -f2)
  [ "${running:-0}" -le "$open" ] || open=$running
  sleep 0.2
done
wait "$load_pid" || { cat "$work/path"; exit 1; }
entry_ticks=$(($(cpu_ticks entry-1) - entry_before))
elapsed=$(($(date +%s%N) - started))
for name in first_ms_p50 first_ms_p95 first_ms_p99; do
  a=$(value "$name" <"$work/direct")
  b=$(value "$name" <"$work/path")
  echo "| $streams streams open: first token, ${name#first_ms_}, ms | $a | $b | $(difference "$b" "$a") |"
done
echo "| streams open at once at the engine | | $open | |"
echo "| entry's processor time with $streams streams of $stream_fast tokens/s, % of a core | | $(awk -v t="$entry_ticks" -v hz="$ticks_per_second" -v ns="$elapsed" 'BEGIN {printf "%.0f", 100 * t / hz / (ns / 1e9)}') | |"
echo "| entry's resident memory, idle, MiB | | $(awk -v k="$idle" 'BEGIN {printf "%.1f", k / 1024}') | |"
echo "| entry's resident memory, peak with $streams streams, MiB | | $(awk -v k="$peak" 'BEGIN {printf "%.1f", k / 1024}') | |"
for name in scheduler-1 scheduler-2 scheduler-3; do
  echo "| $name, resident memory, MiB | | $(awk -v k="$(resident_kib "$name")" 'BEGIN {printf "%.1f", k / 1024}') | |"
done
echo
echo "load average at the end: $(cut -d' ' -f1-3 /proc/loadavg)"
