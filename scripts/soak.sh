#!/usr/bin/env bash
# Fault soak: plays each SEED against the real programs; without seeds, the ones that ever
# failed and some fresh ones. Prints each seed first. JOBS runs go side by side.
#
# Usage: scripts/soak.sh [SEED...]     FRESH=N fresh seeds (default 3), JOBS=N (default 2)
set -eu
cd "$(dirname "$0")/.."
build=build-test
[ -d "$build" ] || meson setup "$build" -Db_sanitize=address,undefined -Db_lundef=false --werror >/dev/null
ninja -C "$build" --quiet

seeds=("$@")
if [ ${#seeds[@]} -eq 0 ]; then
  mapfile -t seeds < <(sed 's/#.*//' soak/seeds.txt | awk 'NF { print $1 }')
  for _ in $(seq "${FRESH:-3}"); do
    seeds+=($((RANDOM * 32768 + RANDOM)))
  done
fi
echo "seeds: ${seeds[*]}"
export ASAN_OPTIONS=detect_leaks=1:abort_on_error=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
printf '%s\n' "${seeds[@]}" | xargs -P "${JOBS:-2}" -I SEED "$build/soak/dogwoodplank-soak" "$build" SEED
