/* Keeps the requests to one target within the limit that the target states for all VMs.
 *
 * Runs at the pool's owner, which assigns all requests. What VMs sent before, or for other
 * owners, is added from their reports, so that neither a change of owner nor a second owner
 * lets more requests through.
 */
#pragma once

#include "core/use_window.h"

/* Requests of this time count against the limit. It is longer than any window in which the
 * limit is checked. */
#define DP_LIMIT_WINDOW (5 * DP_USEC_PER_SEC)

/* Enough for a round trip to all VMs. */
#define DP_LIMIT_COLLECT_DURATION (100 * DP_USEC_PER_MSEC)

typedef struct DpTargetLimiter
{
  double per_second;
  double tokens; /* requests that may be sent now */
  DpUsec filled_at;
  DpUsec opens_at; /* until then VMs report what they sent */
  DpUseWindow sent;
} DpTargetLimiter;

/* Returns a limiter that stays closed until dp_target_limiter_collect(). Free with g_free(). */
DpTargetLimiter *dp_target_limiter_new (double per_second, DpUsec now);
/* TRUE if the VMs have not been asked yet for what they sent. */
gboolean dp_target_limiter_is_unprepared (const DpTargetLimiter *limiter);
/* The VMs are asked now: waits for their reports. */
void dp_target_limiter_collect (DpTargetLimiter *limiter, DpUsec now);
/* Closes the limiter: others may have assigned requests meanwhile. */
void dp_target_limiter_reset (DpTargetLimiter *limiter, DpUsec now);
/* Requests per second that are assigned here, given the part of all VMs that can be reached.
 * At least a few per minute, so that the end of the limit is noticed. */
double dp_target_limiter_rate (const DpTargetLimiter *limiter, double reach);
gboolean dp_target_limiter_may_send (DpTargetLimiter *limiter, double reach, DpUsec now);
void dp_target_limiter_record (DpTargetLimiter *limiter, DpUsec now);
/* Adds requests that a VM sent `age` ago and that were not assigned here. */
void
dp_target_limiter_add_sent (DpTargetLimiter *limiter, double count, DpUsec age, DpUsec now);
