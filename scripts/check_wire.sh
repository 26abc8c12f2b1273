#!/usr/bin/env bash
# Names of the users' platform may occur in platform/ only, and in its tests, stand-ins and
# deploy files.
set -eu
cd "$(dirname "$0")/.."
names='Response-Seal|Expect-Instance|Token-Count|Prefix-Hash|Not-Executed|Tenant-Id|Deadline-Ms'
names="$names|Server-Limit|Server-Leaving|Store-Era|"Resumes"|weighted_split|gap_aim_ms|store_revision|target_latency_ms|stream_resume|api_keys|created_rev|duration_s"
if git grep -nE "$names" -- '*.c' '*.h' ':!platform' ':!tests' ':!standins'; then
  echo "a name of the users' platform outside platform/"
  exit 1
fi
echo "the platform's names stay in platform/"
