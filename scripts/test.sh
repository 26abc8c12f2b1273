#!/usr/bin/env bash
# Installs what is missing, builds with sanitizers and runs all tests.
# Tests listed in KNOWN-RED.txt run and are printed, but do not fail the run.
set -eu
cd "$(dirname "$0")/.."
bash scripts/deps.sh

build=build-test
[ -d "$build" ] || meson setup "$build" -Db_sanitize=address,undefined -Db_lundef=false --werror >/dev/null
ninja -C "$build" --quiet

export ASAN_OPTIONS=detect_leaks=1:abort_on_error=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
status=0
meson test -C "$build" --no-rebuild --print-errorlogs || status=$?
perl scripts/summarize_tests.pl "$build/meson-logs/testlog.json" KNOWN-RED.txt || exit 1
