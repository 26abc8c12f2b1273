#!/usr/bin/env bash
# Installs what the build, the tests and the linters need, from Debian's packages only.
set -eu

packages=(
  build-essential meson ninja-build pkg-config
  libevent-dev libzmq3-dev libjson-c-dev libmsgpack-dev libxxhash-dev libglib2.0-dev check
  clang-format clang-tidy cppcheck curl
)

missing=()
for name in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$name" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$name")
done
[ "${#missing[@]}" -gt 0 ] || exit 0

echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
