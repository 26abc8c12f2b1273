#!/usr/bin/env bash
# The core must not do I/O, read a clock or draw randomness of its own.
set -eu
cd "$(dirname "$0")/.."
if grep -nE '#include <(event2?|zmq|sys/socket|time\.h|sys/time|unistd|stdio)' core/*.[ch] core/*/*.[ch]; then
  echo "core/ includes a header of I/O or time"
  exit 1
fi
if grep -nE '\b(g_get_(monotonic|real)_time|g_random_|clock_gettime|getrandom|rand) *\(' core/*.[ch] core/*/*.[ch]; then
  echo "core/ reads a clock or draws randomness"
  exit 1
fi
if grep -rnE '\bg_get_monotonic_time *\(' agent common core ctl entry manifest net node platform scheduler --include=*.[ch]; then
  echo "the programs read the time from common/clock.h, which counts a suspend"
  exit 1
fi
perl scripts/check_draws.pl $(git ls-files -co --exclude-standard -- '*.c')
echo "core is free of I/O, clock and randomness"
