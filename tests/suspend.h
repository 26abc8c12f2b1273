/* Replaces clock_gettime() in programs that are linked with it: CLOCK_MONOTONIC doesn't count
 * the time that their machine was suspended, as told by the file DP_TEST_SUSPENDED. */
#pragma once

#include <glib.h>

#define SUSPEND_VARIABLE "DP_TEST_SUSPENDED"

/* Makes the file and the variable for this process and those that it starts. */
void suspend_init (const char *path);
/* Total time in the suspended state, in microseconds. */
void suspend_set_total (gint64 total);
