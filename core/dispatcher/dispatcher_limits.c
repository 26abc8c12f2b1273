/* Limits that targets state for all VMs together, and brittle targets. The pool's owner keeps
 * them, since it assigns all requests; see core/target_limiter.h and core/brittle_target.h. An
 * owner that begins to do so asks all VMs for the requests that they have sent. Then, it
 * announces itself regularly, and VMs tell it of requests that another owner has assigned.
 *
 * While several owners announce themselves, each fills only a part of the slots of brittle
 * targets: at once, two would fill the same slot. */
#include "core/dispatcher/dispatcher_private.h"

#include <math.h>

/* Interval of the announcements. It is also how late a restarted VM learns of the limits. */
#define ANNOUNCE_INTERVAL (2 * DP_USEC_PER_SEC)
/* The same after a VM has reported a limit: it may not know that this VM keeps it. */
#define REPORTED_INTERVAL (100 * DP_USEC_PER_MSEC)
/* While targets are brittle, messages without limits follow, so that owners soon learn of each
 * other. */
#define PRESENCE_INTERVAL (500 * DP_USEC_PER_MSEC)
/* Another owner counts until this long after its last announcement. */
#define OTHER_OWNER_AGE_MAX (1200 * DP_USEC_PER_MSEC)
/* An owner that was not asked for this long has no requests to assign. */
#define OWNER_IDLE_MAX (300 * DP_USEC_PER_MSEC)
/* Requests that were given up count for this multiple of the average time in a slot. */
#define ABANDONED_FACTOR 2
#define MILLI 1000.0

typedef struct OtherOwner
{
  DpName vm;
  DpUsec heard_at;
} OtherOwner;

GArray *
dp_dispatch_other_owners_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (OtherOwner));
}

gboolean
dp_dispatch_is_owner (const DpDispatcher *dispatcher)
{
  return dispatcher->options.is_shared && dispatcher->asked_at != 0
         && dispatcher->now - dispatcher->asked_at < DP_LIMIT_WINDOW;
}

static DpMessage *
send_announcement (DpDispatcher *dispatcher)
{
  DpMessage *message
    = dp_dispatch_send (dispatcher, DP_DISPATCH_ALL_VMS, DP_MESSAGE_TARGET_LIMITS);
  message->target_limits.pool = dispatcher->options.pool;
  message->target_limits.is_owner = TRUE;
  message->target_limits.idle = dispatcher->now - dispatcher->asked_at;
  dispatcher->present_at = dispatcher->now;
  return message;
}

static void
append_row (DpDispatcher *dispatcher,
            DpMessage **message,
            const DpDispatchTarget *target,
            gboolean is_query)
{
  if (*message == NULL || (*message)->target_limits.count == DP_LIMIT_ROWS_MAX)
    *message = send_announcement (dispatcher);
  DpTargetLimits *limits = &(*message)->target_limits;
  limits->rows[limits->count++] = (DpLimitRow){
    .target = target->name,
    .started = target->started,
    .is_set = target->limiter != NULL,
    .milli
    = target->limiter != NULL ? (guint64)llround (target->limiter->per_second * MILLI) : 0,
    .age = target->limit_observed_at != 0 ? MAX (dispatcher->now - target->limit_observed_at, 0)
                                          : DP_LIMIT_AGE_NONE,
    .is_query = is_query,
    .has_brittle = target->brittle_observed_at != 0,
    .is_brittle = target->brittle != NULL,
    .rejections_max = target->rejections_max,
    .brittle_age = MAX (dispatcher->now - target->brittle_observed_at, 0),
  };
}

/* Begins to collect what VMs have sent to the target. Returns TRUE if they have to be asked. */
static gboolean
collect (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  gboolean for_limit
    = target->limiter != NULL && dp_target_limiter_is_unprepared (target->limiter);
  gboolean for_brittle
    = target->brittle != NULL && dp_brittle_target_is_unprepared (target->brittle);
  if (for_limit)
    dp_target_limiter_collect (target->limiter, dispatcher->now);
  if (for_brittle)
    dp_brittle_target_collect (target->brittle, dispatcher->now);
  return for_limit || for_brittle;
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
      gboolean is_kept = target->limiter != NULL || target->brittle != NULL;
      gboolean is_query = collect (dispatcher, target);
      if (!is_query && !target->has_limit_news && !(all && is_kept))
        continue;
      target->has_limit_news = FALSE;
      append_row (dispatcher, &message, target, is_query);
    }
}

static void
set_brittle (DpDispatcher *dispatcher, DpDispatchTarget *target, const DpDirectoryRow *row)
{
  const DpTargetBrittleness *brittle = &row->brittle;
  gboolean was_set = target->brittle != NULL;
  gboolean has_started = target->started != row->record.started;
  if (brittle->is_set && !was_set)
    target->brittle = dp_brittle_target_new (dispatcher->now);
  else if (!brittle->is_set)
    g_clear_pointer (&target->brittle, dp_brittle_target_free);
  if (target->brittle != NULL && has_started)
    dp_brittle_target_open (target->brittle);
  target->has_limit_news
    |= brittle->is_set != was_set || target->rejections_max != brittle->rejections_max;
  target->rejections_max = brittle->rejections_max;
  target->brittle_observed_at = brittle->observed_at;
  dispatcher->brittle += brittle->is_set;
  dispatcher->brittle -= was_set;
}

void
dp_dispatch_set_limit (DpDispatcher *dispatcher,
                       DpDispatchTarget *target,
                       const DpDirectoryRow *row)
{
  const DpTargetLimit *limit = &row->limit;
  gboolean was_set = target->limiter != NULL;
  set_brittle (dispatcher, target, row);
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
  gboolean was_owner = dp_dispatch_is_owner (dispatcher);
  dispatcher->asked_at = dispatcher->now;
  if (was_owner || dispatcher->limited + dispatcher->brittle == 0)
    return;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (target->limiter != NULL)
        dp_target_limiter_reset (target->limiter, dispatcher->now);
      if (target->brittle != NULL)
        dp_brittle_target_reset (target->brittle);
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
  if (!dp_dispatch_is_owner (dispatcher))
    return;
  DpUsec interval = dispatcher->was_limit_reported ? REPORTED_INTERVAL : ANNOUNCE_INTERVAL;
  gboolean is_due = dispatcher->limited + dispatcher->brittle > 0
                    && dispatcher->now - dispatcher->announced_at >= interval;
  if (is_due)
    {
      dispatcher->announced_at = dispatcher->now;
      dispatcher->was_limit_reported = FALSE;
    }
  announce (dispatcher, is_due);
  if (dispatcher->brittle > 0 && dispatcher->now - dispatcher->present_at >= PRESENCE_INTERVAL)
    send_announcement (dispatcher);
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

/* --- other owners --- */

static void
forget_other_owner (DpDispatcher *dispatcher, DpName vm)
{
  for (guint i = dispatcher->other_owners->len; i > 0; i--)
    {
      const OtherOwner *other = &g_array_index (dispatcher->other_owners, OtherOwner, i - 1);
      if (other->vm == vm || dispatcher->now - other->heard_at > OTHER_OWNER_AGE_MAX)
        g_array_remove_index_fast (dispatcher->other_owners, i - 1);
    }
}

void
dp_dispatch_on_other_owner (DpDispatcher *dispatcher, DpName vm, const DpTargetLimits *limits)
{
  forget_other_owner (dispatcher, vm);
  const OtherOwner other = { .vm = vm, .heard_at = dispatcher->now };
  if (limits->idle <= OWNER_IDLE_MAX)
    g_array_append_val (dispatcher->other_owners, other);
  /* It has just begun, and must not wait for the next announcement to know of this one. */
  for (guint i = 0; i < MIN (limits->count, DP_LIMIT_ROWS_MAX); i++)
    if (limits->rows[i].is_query)
      dispatcher->present_at = 0;
}

/* The part of the target's slots that this owner may fill while others fill the rest. */
static guint
count_own_slots (const DpDispatcher *dispatcher, const DpDispatchTarget *target, guint slots)
{
  DpName own = dp_name_pair (target->name, dispatcher->options.self);
  guint owners = 1;
  guint rank = 0;
  for (guint i = 0; i < dispatcher->other_owners->len; i++)
    {
      const OtherOwner *other = &g_array_index (dispatcher->other_owners, OtherOwner, i);
      if (dispatcher->now - other->heard_at > OTHER_OWNER_AGE_MAX)
        continue;
      owners++;
      rank += dp_name_pair (target->name, other->vm) > own;
    }
  return slots / owners + (rank < slots % owners);
}

/* Number of requests at the target that this owner has assigned. */
static guint
count_own_requests (const DpDispatchTarget *target)
{
  guint own = 0;
  for (guint i = 0; i < target->requests->len; i++)
    own += !((const DpDispatchRequest *)g_ptr_array_index (target->requests, i))->was_adopted;
  return own;
}

/* --- brittle targets --- */

/* The part of the slots that corresponds to the VMs that this one reaches. The parts of two
 * owners that don't reach each other are never more than all slots. */
static guint
reachable_slots (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  double slots = ceil (target->slots * dispatcher->reach - 0.5);
  return slots > 1 ? (guint)slots : 1;
}

guint
dp_dispatch_brittle_capacity (const DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  if (target->brittle == NULL)
    return G_MAXUINT;
  guint slots = reachable_slots (dispatcher, target);
  guint own_slots = count_own_slots (dispatcher, target, slots);
  guint own_requests = count_own_requests (target);
  const DpBrittleLoad load = { .rejections_max = target->rejections_max,
                               .slots = slots,
                               .assigned = target->requests->len };
  guint capacity = dp_brittle_target_capacity (target->brittle, &load, dispatcher->now);
  return MIN (capacity, own_slots > own_requests ? own_slots - own_requests : 0);
}

/* TRUE if the target may still run a request that ended for this reason. */
static gboolean
may_run_on (DpReason reason)
{
  switch (reason)
    {
    case DP_REASON_CALLER_GONE:
    case DP_REASON_DEADLINE_PASSED:
    case DP_REASON_STOPPING:
    case DP_REASON_TARGET_SILENT:
    case DP_REASON_TARGET_BROKE:
    case DP_REASON_ANSWER_INCOMPLETE:
      return TRUE;
    default:
      return FALSE;
    }
}

/* The target may still run the request, which was given up. */
static void
record_abandoned (const DpDispatcher *dispatcher,
                  const DpDispatchTarget *target,
                  const DpDispatchRequest *request)
{
  DpUsec slot_time
    = (DpUsec)(dispatcher->slot_ms[request->ask.urgency] * (double)DP_USEC_PER_MSEC);
  DpUsec until
    = MAX (request->granted_at + ABANDONED_FACTOR * slot_time, dispatcher->now + slot_time);
  /* Targets end what runs at its deadline. */
  if (request->deadline > 0)
    until = MIN (until, request->deadline);
  dp_brittle_target_record_abandoned (target->brittle, until);
}

void
dp_dispatch_record_brittle_end (DpDispatcher *dispatcher,
                                const DpDispatchTarget *target,
                                const DpDispatchRequest *request,
                                const DpGrantDone *done)
{
  if (target->brittle == NULL)
    return;
  gboolean is_running = request != NULL && request->state == DP_DISPATCH_REQUEST_RUNNING;
  if (done->is_rejection)
    dp_brittle_target_record_rejection (
      target->brittle, target->requests->len - (is_running && target->requests->len > 0),
      dispatcher->now);
  else if (done->reason == DP_REASON_NONE || done->reason == DP_REASON_TARGET_ERROR)
    dp_brittle_target_record_end (target->brittle);
  else if (is_running && may_run_on (done->reason))
    record_abandoned (dispatcher, target, request);
}
