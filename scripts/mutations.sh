#!/usr/bin/env bash
# Shows that the tests of the core can fail: applies each mutation of tests/mutations/ to a
# scratch copy, builds it and expects its test to fail in the expected way.
# Usage: mutations.sh [NAME...]   (default: all)
set -eu
cd "$(dirname "$0")/.."
top=$(pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export top scratch
export MATRIX_PAIRS=${MATRIX_PAIRS:-240}
# As Meson sets it for all tests; a mutant has 100 s in all.
export CK_DEFAULT_TIMEOUT=0

flags="$(pkg-config --cflags glib-2.0 json-c check) -std=gnu11 -O1 -g -D_GNU_SOURCE -I."
libs="$(pkg-config --libs glib-2.0 json-c check libxxhash) -lmsgpackc -lm"
export flags libs

# The programs' sources, without those of other subsystems.
core_sources() {
  printf "%s\n" common/*.c core/*.c core/*/*.c manifest/manifest.c manifest/routes.c | grep -v -e common/log.c -e core/agent -e core/orders
}
simulation_sources() {
  printf '%s\n' tests/matrix_*.c tests/entry_fixture.c
}
export -f core_sources simulation_sources

compile() {
  local object=${1%.c}.o
  mkdir -p "$2/$(dirname "$object")"
  # shellcheck disable=SC2086
  gcc $flags -c "$1" -o "$2/$object"
}
export -f compile

# One base build; a mutation compiles again only what it changes.
mkdir "$scratch/base"
{
  core_sources
  simulation_sources
  printf '%s\n' tests/fault_matrix.c tests/test_entry.c tests/test_claim_pace.c \
    tests/test_node_parts.c tests/test_dispatcher.c tests/test_overload.c tests/test_quota.c tests/test_target_limits.c tests/test_brittle_targets.c tests/test_suspects.c tests/test_versions.c tests/test_stream_copies.c tests/test_reach.c \
    tests/test_rollout.c tests/test_dispatcher_rollout.c tests/test_relays.c tests/test_row_standing.c tests/test_row_sync.c
} | xargs -P 4 -I{} bash -c 'set -eu; compile {} "$scratch/base"'

run_mutation() {
  local name=$1 spec="$top/tests/mutations/$1.mutation" tree="$scratch/$1"
  local test expect
  test=$(sed -n 's/^test //p' "$spec")
  expect=$(sed -n 's/^expect //p' "$spec")
  mkdir -p "$tree/objects"
  cp -r "$top/common" "$top/core" "$top/manifest" "$top/tests" "$tree/"
  cp -r "$scratch/base/." "$tree/objects/"
  cd "$tree"
  perl "$top/scripts/apply_mutation.pl" "$spec" || return 2
  for file in $(sed -n 's/^file //p' "$spec"); do
    compile "$file" objects || { echo "$name: does not compile"; return 2; }
  done
  local sources objects=()
  case $test in
    fault_matrix) sources=$(core_sources; simulation_sources; echo tests/fault_matrix.c) ;;
    claim_pace) sources=$(core_sources; simulation_sources; echo tests/test_claim_pace.c) ;;
    node_parts | dispatcher | overload | quota | target_limits | brittle_targets | suspects | versions | stream_copies | reach | rollout | dispatcher_rollout | relays | row_standing | row_sync) sources=$(core_sources; echo tests/test_$test.c) ;;
    entry) sources=$(core_sources; echo tests/test_entry.c; echo tests/entry_fixture.c) ;;
    *) echo "$name: unknown test $test"; return 2 ;;
  esac
  for source in $sources; do objects+=("objects/${source%.c}.o"); done
  # shellcheck disable=SC2086
  gcc "${objects[@]}" -o mutant $libs || { echo "$name: does not link"; return 2; }
  local status=0
  timeout 100 ./mutant >output.txt 2>&1 || status=$?
  if [ "$status" -eq 0 ]; then echo "SURVIVED $name"; return 1; fi
  if ! grep -qE "$expect" output.txt; then
    echo "WRONG $name: failed, but not with: $expect"
    tail -3 output.txt
    return 1
  fi
  echo "killed $name: $(grep -cE "$expect" output.txt) times: $expect"
  cd "$top"
  rm -rf "$tree"
}
export -f run_mutation

if [ $# -gt 0 ]; then names=("$@"); else
  names=()
  for spec in tests/mutations/*.mutation; do names+=("$(basename "$spec" .mutation)"); done
fi
printf '%s\n' "${names[@]}" | xargs -P 4 -I{} bash -c 'run_mutation {} || exit 1' || {
  echo "mutations: some survived or could not be tried"
  exit 1
}
echo "${#names[@]} mutations, all killed"
