#!/usr/bin/env bash
# Formatter and linters over all C files; any difference or warning fails.
set -eu
cd "$(dirname "$0")/.."
bash scripts/deps.sh

build=build-lint
[ -d "$build" ] || meson setup "$build" >/dev/null
ninja -C "$build" build.ninja >/dev/null
mapfile -t files < <(git ls-files -co --exclude-standard -- '*.c' '*.h')
mapfile -t sources < <(git ls-files -co --exclude-standard -- '*.c')

clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build" 2>/dev/null
cppcheck --quiet --std=c11 --enable=warning,performance,portability --inline-suppr \
  --suppress=missingInclude --suppress=unknownMacro --error-exitcode=1 -j "$(nproc)" -I . "${sources[@]}"
echo "lint clean: ${#files[@]} files"
