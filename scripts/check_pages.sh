#!/usr/bin/env bash
# Compares the names of headers on the users' pages with those that platform/ reads. Each name is
# either in platform/ or in docs/headers-not-read.txt with a reason. Needs the users' pages; CI,
# which has none, only checks that no listed name is read after all.
# Usage: check_pages.sh [FOLDER]   (default: ../given/kit/more/system)
set -eu
cd "$(dirname "$0")/.."
pages=${1:-../given/kit/more/system}
listed=docs/headers-not-read.txt
status=0

while read -r name _; do
  if grep -q "\"$name\"" platform/*.c; then
    echo "$listed: $name is read in platform/"
    status=1
  fi
done < <(grep -v '^#' "$listed")

if [ -d "$pages" ]; then
  found=$(cat "$pages"/*.md "$pages"/*/LATER.md ../shared/LETTER.md 2>/dev/null |
    grep -oE '`[A-Z][a-z]+(-[A-Z][a-z]+)*(: [^`]*)?`' | tr -d '`' | sed 's/:.*//' | grep -E -- '-|^(Model|Hold|Resumes|Host|Authorization)$' | sort -u)
  for name in $found; do
    grep -q "\"$name\"" platform/*.c || grep -q "^$name " "$listed" || {
      echo "$name stands on the users' pages and is neither read in platform/ nor in $listed"
      status=1
    }
  done
fi
[ "$status" -eq 0 ] && echo "headers on the users' pages are read or listed"
exit "$status"
