#include "core/target_limiter.h"

/* Rate at which a target with a lower limit is tried. */
#define RATE_MIN 0.25
/* Unused tokens are kept for this time, but always one. */
#define BURST_DURATION (250 * DP_USEC_PER_MSEC)

DpTargetLimiter *
dp_target_limiter_new (double per_second, DpUsec now)
{
  DpTargetLimiter *limiter = g_new0 (DpTargetLimiter, 1);
  limiter->per_second = per_second;
  dp_target_limiter_reset (limiter, now);
  return limiter;
}

gboolean
dp_target_limiter_is_unprepared (const DpTargetLimiter *limiter)
{
  return limiter->opens_at == G_MAXINT64;
}

void
dp_target_limiter_collect (DpTargetLimiter *limiter, DpUsec now)
{
  limiter->opens_at = now + DP_LIMIT_COLLECT_DURATION;
}

void
dp_target_limiter_reset (DpTargetLimiter *limiter, DpUsec now)
{
  limiter->tokens = 0;
  limiter->filled_at = now;
  limiter->opens_at = G_MAXINT64;
  dp_use_window_init (&limiter->sent, DP_LIMIT_WINDOW, now);
}

double
dp_target_limiter_rate (const DpTargetLimiter *limiter, double reach)
{
  return MAX (limiter->per_second, RATE_MIN) * reach;
}

static double
to_seconds (DpUsec duration)
{
  return (double)duration / (double)DP_USEC_PER_SEC;
}

static void
refill (DpTargetLimiter *limiter, double rate, DpUsec now)
{
  double capacity = MAX (rate * to_seconds (BURST_DURATION), 1);
  limiter->tokens
    = MIN (limiter->tokens + rate * to_seconds (now - limiter->filled_at), capacity);
  limiter->filled_at = now;
}

gboolean
dp_target_limiter_may_send (DpTargetLimiter *limiter, double reach, DpUsec now)
{
  double rate = dp_target_limiter_rate (limiter, reach);
  refill (limiter, rate, now);
  return now >= limiter->opens_at && limiter->tokens >= 1
         && dp_use_window_sum (&limiter->sent, now) <= rate * to_seconds (DP_LIMIT_WINDOW);
}

void
dp_target_limiter_record (DpTargetLimiter *limiter, DpUsec now)
{
  limiter->tokens -= 1;
  dp_use_window_add (&limiter->sent, 1, now, now);
}

void
dp_target_limiter_add_sent (DpTargetLimiter *limiter, double count, DpUsec age, DpUsec now)
{
  dp_use_window_add (&limiter->sent, count, now - age, now);
}
