#include "common/clock.h"

#include <time.h>

#define NSEC_PER_USEC 1000

DpUsec
dp_clock_now (void)
{
  struct timespec time;
  /* Fails only for a clock that doesn't exist. */
  if (clock_gettime (CLOCK_BOOTTIME, &time) != 0)
    g_error ("CLOCK_BOOTTIME is not available");
  return (DpUsec)time.tv_sec * DP_USEC_PER_SEC + (DpUsec)time.tv_nsec / NSEC_PER_USEC;
}
