#!/usr/bin/env bash
# Builds the programs, starts a small system on loopback addresses, sends the typical requests of
# the two users, prints who got what and the counters, stops all. Exit code 0 only if every
# answer was right. DEMO_NET=127.x.y chooses other addresses.
set -eu
cd "$(dirname "$0")/.."
bash scripts/deps.sh

bin=build-release
net=${DEMO_NET:-127.7.0}
[ -d "$bin" ] || meson setup "$bin" --buildtype=release >/dev/null
ninja -C "$bin" --quiet
work=$(mktemp -d)
. scripts/small_system.sh
. scripts/demo_platform.sh

finish() {
  stop_all
  rm -rf "$work"
}
trap finish EXIT

failures=0

report() { # RIGHT? WHO TEXT
  local mark=right
  if [ "$1" != 0 ]; then
    mark=WRONG
    failures=$((failures + 1))
  fi
  printf '%-5s  %-38s %s\n' "$mark" "$2" "$3"
}

# A UUID of version 7: milliseconds first, then chance.
new_key() {
  local time chance
  time=$(printf %012x "$(date +%s%3N)")
  chance=$(head -c 10 /dev/urandom | od -An -tx1 | tr -d ' \n')
  echo "${time:0:8}-${time:8:4}-7${chance:0:3}-8${chance:3:3}-${chance:6:12}"
}

chat_body() { # MODEL STREAM TOKENS TEXT
  printf '{"model":"%s","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"%s"}]}' "$@"
}

# What the stand-in engines have to answer, joined from an answer straight from an engine.
content_of() {
  grep -o '"content":"[^"]*"' | sed -E 's/^"content":"//; s/"$//' | tr -d '\n'
}

ask_engine() { # BODY
  curl -s -m 60 -d "$1" "http://$net.21:8000/v1/chat/completions" | content_of
}

# WHO KEY VM MODEL STREAM TOKENS TEXT
check_chat() {
  local who=$1 key=$2 vm=$3 body answer expected status=0
  shift 3
  body=$(chat_body "$@")
  curl -s -m 90 -o "$work/answer" -H "Authorization: Bearer $key" \
    -H 'Content-Type: application/json' -d "$body" \
    "http://$net.$vm:7080/v1/chat/completions" || status=$?
  answer=$(content_of <"$work/answer")
  expected=$(ask_engine "$(chat_body "$1" true "$3" "$4")")
  [ "$status" = 0 ] && [ -n "$expected" ] && [ "$answer" = "$expected" ] || status=1
  if [ "$2" = true ] && ! grep -q '^data: \[DONE\]' "$work/answer"; then
    status=1
  fi
  report "$status" "$who" "${#answer} bytes: ${answer:0:40}..."
}

# WHO KEY VM PATH BODY IDEMPOTENCY-KEY EXPECTED-STATUS
check_call() {
  local code status=0
  code=$(curl -s -m 30 -o "$work/answer" -w '%{http_code}' -H "Authorization: Bearer $2" \
    -H "Idempotency-Key: $6" -H 'Content-Type: application/json' -d "$5" \
    "http://$net.$3:7080$4") || status=1
  [ "$code" = "$7" ] || status=1
  report "$status" "$1" "$code $(head -c 100 "$work/answer")"
}

count_effects() { # IDEMPOTENCY-KEY
  curl -s "http://$net.31:8100/effects" | grep -o "\"by_key\":{[^}]*}" |
    grep -o "\"$1\":[0-9]*" | cut -d: -f2
}

start_system
echo "three VMs at $net.1 to $net.3, engines at $net.21 (fast) and $net.22 (slow)"

letter=$(printf 'The verge along section 12 has not been mown since spring. %.0s' $(seq 100))
plan=$(printf 'Two hundred lunches, forty without meat. %.0s' $(seq 120))
echo "--- Zadruga Obcestni Pas"
check_chat 'crew, which verge next' key-crews 1 small-7b true 20 'Which verge do we cut next on section 7?'
check_chat 'crew, by another VM' key-crews 2 small-7b false 12 'Is section 9 done?'
check_chat 'dispatcher, complaint letter' key-dispatchers 3 long-13b true 150 "Summarise: $letter"
booking=$(new_key)
check_call 'crew, books a verge' key-crews 1 /services/rota/bookings '{"section":7}' "$booking" 200
check_call 'crew, the same booking again' key-crews 2 /services/rota/bookings '{"section":7}' "$booking" 200
check_call 'crew, the key for another verge' key-crews 3 /services/rota/bookings '{"section":8}' "$booking" 409
[ "$(count_effects "$booking")" = 1 ] && once=0 || once=1
report "$once" 'service, the booking ran once' "effects: $(count_effects "$booking")"
echo "--- Consorcio Mesa Compartida"
check_chat 'receptionist, menu question' key-receptionists 1 small-7b true 25 'What is on the menu at noon?'
check_chat 'kitchen, daily plan' key-kitchens 2 long-13b true 180 "Plan: $plan"
order=$(new_key)
check_call 'office, lunch order' key-receptionists 3 /services/rota/orders '{"lunches":40}' "$order" 200
check_call 'wrong access key' nobody 1 /services/rota/orders '{"lunches":1}' "$(new_key)" 401

echo "--- mixed load: streams, whole answers, bookings sent twice at the same time"
load_status=0
"$bin/standins/standin-load" --entry "$net.1:7080" --entry "$net.2:7080" --entry "$net.3:7080" \
  --key key-crews:now --key key-dispatchers:office --key key-kitchens:batch \
  --model small-7b --callers 20 --requests 300 --duplicate-percent 50 --seconds 60 \
  --service "$net.31:8100" || load_status=$?
report "$load_status" '300 requests of 20 callers' 'each answer checked by its caller'

run_platform_demo

echo "--- counters"
for vm in 1 2 3; do
  echo "vm-$vm entry:"
  curl -s "http://$net.$vm:7081/metrics" | grep -v '^#' | grep -v ' 0$' || true
  echo "vm-$vm scheduler:"
  curl -s "http://$net.$vm:7082/metrics" | grep -v '^#' | grep -v ' 0$' || true
done
echo "platform: $(curl -s "http://$net.41:7070/stats")"
echo "engine fast: $(curl -s "http://$net.21:8000/stats")"
echo "engine slow: $(curl -s "http://$net.22:8000/stats")"

if [ "$failures" -gt 0 ]; then
  echo "$failures answers were wrong"
  tail -n 5 "$work"/*.log
  exit 1
fi
echo "every answer was right"
