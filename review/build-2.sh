#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the node, which the build of the
# deploy file makes: the project's stand-in for the store, and each case's requesters and servers.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
# shellcheck disable=SC2046 # several flags
cc -D_GNU_SOURCE -std=gnu11 -O2 -DDP_VERSION='"review-2"' -I. -o "$out/standin-store" \
  standins/store.c standins/http.c standins/fault.c common/*.c \
  $(pkg-config --cflags --libs glib-2.0 libevent json-c libxxhash) -lm
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.c" ] || continue
  cc -D_GNU_SOURCE -std=gnu11 -O2 -g -I. -o "$out/case-$number" \
    "review/$number/case.c" review/kit-2/kit.c -lpthread
done
