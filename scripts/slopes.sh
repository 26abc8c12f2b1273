#!/usr/bin/env bash
# Prints all slopes that docs/CAPACITY.md is worked out from. Takes some minutes; run it on a
# quiet machine.
set -eu
cd "$(dirname "$0")/.."
bash scripts/deps.sh

build=build-release
[ -d "$build" ] || meson setup "$build" --buildtype=release >/dev/null
ninja -C "$build" --quiet

echo "## Decision for a request, by engines known"
"$build/replay/dogwoodplank-replay" --cost
echo
echo "## Claims: platform calls by rate"
"$build/tests/claim_rate"
echo
echo "## Control: platform calls and bytes between agents"
"$build/tests/agent_slopes" 1
echo
echo "## Control: processor time and memory of 15 agents"
bash scripts/control_cost.sh 15 30
echo
echo "## Manifest: parse time and memory by engines, delta of one change"
"$build/tests/manifest_slopes"
echo
echo "## Path: latency, requests a second per core, memory per stream"
bash scripts/bench.sh
