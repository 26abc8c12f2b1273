#!/usr/bin/env bash
# Two builds side by side: starts a system of an earlier COMMIT of the history on loopback,
# replaces its VMs one by one with the tree at hand under the faults and checks of the soak, and
# takes them back; then plays tests of rules that an owner keeps with a VM of each. Without
# COMMIT: the last landing, seed 1, fewer tests; where the history is missing, that is said, and
# nothing runs. Builds of earlier commits are kept in build-older/.
#
# Usage: scripts/upgrade.sh [COMMIT [SEED...]]
#        HALF=1: every second VM runs COMMIT for the whole run. JOBS=N (default 2)
set -eu
cd "$(dirname "$0")/.."
last_landing=4f1e85e
cache=build-older

commit=${1:-$last_landing}
if ! id=$(git rev-parse --verify --quiet "$commit^{commit}" 2>/dev/null); then
  if [ $# -eq 0 ]; then
    echo "upgrade: not run: no history of $last_landing here (a shallow clone?)"
    exit 0
  fi
  echo "upgrade: there is no commit $commit in this repository" >&2
  [ "$(git rev-parse --is-shallow-repository 2>/dev/null)" != true ] || echo "upgrade: it is a shallow clone" >&2
  exit 2
fi
is_short=no
[ $# -gt 0 ] || is_short=yes
shift $(($# > 0 ? 1 : 0))
seeds=("${@:-1}")

older=$PWD/$cache/$id/build
if [ ! -x "$older/node/dogwoodplank-node" ]; then
  rm -rf "${cache:?}/$id"
  mkdir -p "$cache/$id/source"
  git archive "$id" | tar -x -C "$cache/$id/source"
  if [ ! -f "$cache/$id/source/node/main.c" ]; then
    echo "upgrade: $commit has no node yet" >&2
    exit 2
  fi
  echo "upgrade: building $commit"
  if ! { meson setup "$older" "$cache/$id/source" -Dtests=false \
    && ninja -C "$older" node/dogwoodplank-node; } >"$cache/$id/log" 2>&1; then
    tail -20 "$cache/$id/log" >&2
    echo "upgrade: $commit does not build, see $cache/$id/log" >&2
    exit 2
  fi
fi

build=build-test
[ -d "$build" ] || meson setup "$build" -Db_sanitize=address,undefined -Db_lundef=false --werror >/dev/null
ninja -C "$build" --quiet node/dogwoodplank-node standins/standin-store standins/standin-target \
  soak/dogwoodplank-soak tests/test_node tests/test_node_brittle tests/test_node_poison_part \
  tests/test_node_versions

half=()
[ -z "${HALF:-}" ] || half=(--half)
echo "upgrade: from $commit, seeds: ${seeds[*]}${HALF:+, every second VM stays}"
export ASAN_OPTIONS=detect_leaks=1:abort_on_error=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
status=0
printf '%s\n' "${seeds[@]}" | xargs -P "${JOBS:-2}" -I SEED \
  "$build/soak/dogwoodplank-soak" "$build" --older "$older" ${half[@]+"${half[@]}"} SEED || status=1
# Tests with one VM of each build, whichever would own the pool.
export CK_DEFAULT_TIMEOUT=0 CK_MAX_MSG_SIZE=262144 DP_OLDER_BUILD=$older
for vm in 0 1; do
  export DP_OLDER_VM=$vm
  echo "upgrade: VM $vm is of $commit"
  "$build/tests/test_node_brittle" "$build" || status=1
  if [ "$is_short" = no ]; then
    "$build/tests/test_node" "$build" limits || status=1
    "$build/tests/test_node_versions" "$build" || status=1
    "$build/tests/test_node_poison_part" "$build" || status=1
  fi
done
exit $status
