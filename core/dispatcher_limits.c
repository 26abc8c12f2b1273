/* Limits that targets state for all VMs together. The pool's owner keeps them, since it assigns
 * all requests; see core/target_limiter.h. An owner that begins to do so asks all VMs for the
 * requests that they have sent. Then, it announces itself regularly, and VMs tell it of
 * requests that another owner has assigned. */
#include "core/dispatcher_private.h"

#include <math.h>

/* Interval of the announcements. It is also how late a restarted VM learns of the limits. */
#define ANNOUNCE_INTERVAL (2 * DP_USEC_PER_SEC)
/* The same after a VM has reported a limit: it may not know that this VM keeps it. */
#define REPORTED_INTERVAL (100 * DP_USEC_PER_MSEC)
#define MILLI 1000.0

/* TRUE if VMs lately used this dispatcher as the pool's owner. */
static gboolean
is_owner (const DpDispatcher *dispatcher)
{
  return dispatcher->options.is_shared && dispatcher->asked_at != 0
         && dispatcher->now - dispatcher->asked_at < DP_LIMIT_WINDOW;
}

static void
append_row (DpDispatcher *dispatcher,
            DpMessage **message,
            const DpDispatchTarget *target,
            gboolean is_query)
{
  if (*message == NULL || (*message)->target_limits.count == DP_LIMIT_ROWS_MAX)
    {
      *message = dp_dispatch_send (dispatcher, DP_DISPATCH_ALL_VMS, DP_MESSAGE_TARGET_LIMITS);
      (*message)->target_limits.pool = dispatcher->options.pool;
      (*message)->target_limits.is_owner = TRUE;
    }
  DpTargetLimits *limits = &(*message)->target_limits;
  limits->rows[limits->count++] = (DpLimitRow){
    .target = target->name,
    .started = target->started,
    .is_set = target->limiter != NULL,
    .milli
    = target->limiter != NULL ? (guint64)llround (target->limiter->per_second * MILLI) : 0,
    .age = MAX (dispatcher->now - target->limit_observed_at, 0),
    .is_query = is_query,
  };
}

/* Announces the limits that are new here or have ended, and all of them if `all`. */
static void
announce (DpDispatcher *dispatcher, gboolean all)
{
  DpMessage *message = NULL;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      DpTargetLimiter *limiter = target->limiter;
      gboolean is_query = limiter != NULL && dp_target_limiter_is_unprepared (limiter);
      if (!is_query && !target->has_limit_news && !(all && limiter != NULL))
        continue;
      if (is_query)
        dp_target_limiter_collect (limiter, dispatcher->now);
      target->has_limit_news = FALSE;
      append_row (dispatcher, &message, target, is_query);
    }
}

void
dp_dispatch_set_limit (DpDispatcher *dispatcher,
                       DpDispatchTarget *target,
                       const DpDirectoryRow *row)
{
  const DpTargetLimit *limit = &row->limit;
  gboolean was_set = target->limiter != NULL;
  target->started = row->record.started;
  target->limit_observed_at = limit->observed_at;
  if (limit->is_set && !was_set)
    target->limiter = dp_target_limiter_new (limit->per_second, dispatcher->now);
  else if (!limit->is_set)
    g_clear_pointer (&target->limiter, g_free);
  if (target->limiter != NULL)
    target->limiter->per_second = limit->per_second;
  target->has_limit_news |= limit->is_set != was_set;
  dispatcher->limited += limit->is_set;
  dispatcher->limited -= was_set;
}

void
dp_dispatch_record_use_as_owner (DpDispatcher *dispatcher)
{
  gboolean was_owner = is_owner (dispatcher);
  dispatcher->asked_at = dispatcher->now;
  if (was_owner || dispatcher->limited == 0)
    return;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (target->limiter != NULL)
        dp_target_limiter_reset (target->limiter, dispatcher->now);
    }
}

void
dp_dispatch_on_limit_report (DpDispatcher *dispatcher)
{
  dp_dispatch_record_use_as_owner (dispatcher);
  dispatcher->was_limit_reported = TRUE;
}

void
dp_dispatch_announce_limits (DpDispatcher *dispatcher)
{
  if (!is_owner (dispatcher))
    return;
  DpUsec interval = dispatcher->was_limit_reported ? REPORTED_INTERVAL : ANNOUNCE_INTERVAL;
  gboolean is_due
    = dispatcher->limited > 0 && dispatcher->now - dispatcher->announced_at >= interval;
  if (is_due)
    {
      dispatcher->announced_at = dispatcher->now;
      dispatcher->was_limit_reported = FALSE;
    }
  announce (dispatcher, is_due);
}

void
dp_dispatch_apply_sent (DpDispatcher *dispatcher, const DpTargetSent *sent)
{
  const DpDispatchTarget *target = dp_dispatch_find_target (dispatcher, sent->target);
  if (target == NULL || target->limiter == NULL || sent->slot > DP_LIMIT_WINDOW)
    return;
  for (guint i = 0; i < MIN (sent->count, DP_SENT_SLOTS_MAX); i++)
    if (sent->slots[i] > 0)
      dp_target_limiter_add_sent (target->limiter, sent->slots[i], sent->slot * i,
                                  dispatcher->now);
}

gboolean
dp_dispatch_limit_allows (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  return target->limiter == NULL
         || dp_target_limiter_may_send (target->limiter, dispatcher->reach, dispatcher->now);
}
