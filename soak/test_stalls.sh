#!/usr/bin/env bash
# A soak that has no turn for a while must not blame the VMs for it.
# Usage: test_stalls.sh SOAK BUILD_FOLDER SEED
set -eu
"$1" "$2" "$3" &
soak=$!
for _ in 1 2 3; do
  sleep 1
  kill -STOP "$soak"
  # Longer than the time within which a VM has to respond.
  sleep 5.5
  kill -CONT "$soak"
done
wait "$soak"
