/* The clock by which the programs measure ages, time-outs and deadlines. */
#pragma once

#include "common/id.h"

/* Time since boot, including time in which the machine was suspended: what expired meanwhile
 * has expired. Timers of the event loop don't count that time and fire later. */
DpUsec dp_clock_now (void);
