#!/usr/bin/env bash
# Every reason, counter and log event in the code must be explained in the docs.
set -eu
cd "$(dirname "$0")/.."
missing=0

require () { # what, name, pages
  if ! grep -q "\`$2" $3; then
    echo "no page of $3 explains $1 $2"
    missing=1
  fi
}
# The three-process form and the platform's have a page each.
operators="docs/OPERATORS.md docs/OPERATIONS.md"

for reason in $(sed -nE 's/^ *X \([A-Z_]+, "([a-z_]+)".*/\1/p' core/reason.h); do
  [ "$reason" = none ] || require reason "$reason" docs/CALLERS.md
done

code=(common core net platform entry scheduler agent node)
for counter in $(grep -rhoE '"dogwoodplank_[a-z0-9_]+"' "${code[@]}" | tr -d '"' | sort -u); do
  require counter "$counter" "$operators"
done

for event in $(grep -rhoE 'dp_log \(DP_LOG_[A-Z]+, "[a-z_]+"' "${code[@]}" |
               sed -E 's/.*"([a-z_]+)"/\1/' | sort -u); do
  require event "$event" "$operators"
done

[ "$missing" -eq 0 ] && echo "docs explain every reason, counter and log event"
