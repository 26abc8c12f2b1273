#!/usr/bin/env bash
# Prints "N passed, N failed" from Meson's test log; exits 1 on a failure that KNOWN-RED.txt
# does not list. Usage: summarize_tests.sh TESTLOG.json KNOWN-RED.txt
set -eu
log=$1
known=$2
passed=0
failed=0
unexpected=0
while read -r name result; do
  if [ "$result" = OK ]; then
    passed=$((passed + 1))
    continue
  fi
  failed=$((failed + 1))
  if [ -f "$known" ] && grep -q "^test: $name\$" "$known"; then
    echo "known red: $name ($result)"
  else
    echo "failed: $name ($result)"
    unexpected=$((unexpected + 1))
  fi
done < <(sed -E 's/^\{"name": "([^"]*)".*"result": "([^"]*)".*/\1 \2/' "$log" | sed -E 's/^.* \/ //')
[ "$passed" -gt 0 ] || { echo "no test ran"; exit 1; }
echo "$passed passed, $failed failed"
[ "$unexpected" -eq 0 ]
