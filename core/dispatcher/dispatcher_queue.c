/* Order of the waiting requests, and when to refuse them.
 *
 * Designed for bursts that exceed the capacity of all slots for seconds. Slots then go first to
 * requests whose first byte can still meet its latency objective, by tier and then by time
 * left; late requests follow. Slot time is worth most for urgent requests on time and least for
 * long low-tier ones; late urgent requests rank in between (LATE_TIERS). */
#include "core/dispatcher/dispatcher_private.h"

/* A late request ranks after requests on time that are up to this many levels less urgent. */
#define LATE_TIERS 1
/* Latency from the owner to the target and back to the caller, including the wait for a tick.
 */
#define TRANSPORT_USEC (16 * DP_USEC_PER_MSEC)
/* Times to the first event vary: a request that is expected only just on time will often be
 * late, and would take the slot of one that would be on time. */
#define ON_TIME_MARGIN 1.25
/* Fraction of a request's total time that it may wait, so that enough is left for a retry. */
#define WAIT_FRACTION 0.4
/* Callers of streams disconnect after two seconds without an event. */
#define WAIT_MAX (1500 * DP_USEC_PER_MSEC)
/* Maximum queue length per slot; with more, requests would wait longer than any caller does. */
#define WAITING_PER_SLOT 4
/* Requests whose objectives end within the same period of this length have equal time left. */
#define EQUAL_TIME (20 * DP_USEC_PER_MSEC)
/* A request that is late already goes on waiting for this long after the last grant to a late
 * one of its urgency: while none gets a slot, what arrives on time takes them all. */
#define LATE_WAIT_MAX (250 * DP_USEC_PER_MSEC)
/* Part of the slots that is expected to remain for less urgent requests at least. */
#define FREE_SHARE_MIN 0.05

/* Lower ranks go first. An answer that has begun would be cut off if it could not go on. */
static guint
rank (const DpDispatcher *dispatcher,
      const DpDispatchRequest *request,
      const DpDispatchTarget *target,
      const DpFirstEventTerms *terms)
{
  if (request->ask.has_begun)
    return 0;
  DpUsec first
    = dp_dispatch_expected_first_event (dispatcher, target, terms, request->ask.prompt_tokens);
  gboolean on_time
    = !request->has_returned
      && dispatcher->now + (DpUsec)((double)first * ON_TIME_MARGIN) + TRANSPORT_USEC
           <= request->objective_at;
  guint urgency = request->ask.urgency;
  return 1 + (on_time ? 2 * urgency : 2 * (urgency + LATE_TIERS) + 1);
}

/* TRUE if `a` goes before `b`, given equal ranks. Among requests that have about the same time
 * left, those that may not be repeated go first in a pool that is short: a refusal or a failure
 * costs them more. */
static gboolean
precedes (const DpDispatcher *dispatcher,
          const DpDispatchRequest *a,
          const DpDispatchRequest *b)
{
  if (a->has_returned != b->has_returned)
    return a->has_returned;
  if (dispatcher->is_short && a->ask.repeatable != b->ask.repeatable
      && a->objective_at / EQUAL_TIME == b->objective_at / EQUAL_TIME)
    return !a->ask.repeatable;
  return a->objective_at != b->objective_at ? a->objective_at < b->objective_at
                                            : a->arrived_at < b->arrived_at;
}

DpDispatchRequest *
dp_dispatch_next_request (DpDispatcher *dispatcher, const DpDispatchTarget *target)
{
  DpDispatchRequest *best = NULL;
  guint best_rank = G_MAXUINT;
  DpFirstEventTerms terms = dp_dispatch_first_event_terms (dispatcher, target);
  for (guint i = 0; i < dispatcher->waiting->len; i++)
    {
      DpDispatchRequest *request = g_ptr_array_index (dispatcher->waiting, i);
      if (!dp_dispatch_may_use (dispatcher, &request->ask, target)
          || dp_dispatch_has_prompts_enough (dispatcher, target, &terms, request))
        continue;
      guint request_rank = rank (dispatcher, request, target, &terms);
      if (best != NULL
          && (request_rank > best_rank
              || (request_rank == best_rank && !precedes (dispatcher, request, best))))
        continue;
      best = request;
      best_rank = request_rank;
    }
  return best;
}

/* Time in a slot that the waiting requests up to this urgency need, in milliseconds. */
static double
sum_waiting_work (const DpDispatcher *dispatcher, guint urgency, guint *count)
{
  double work_ms = 0;
  *count = 0;
  for (guint i = 0; i <= MIN (urgency, DP_URGENCY_LEVELS - 1); i++)
    {
      work_ms += dispatcher->waiting_by_urgency[i] * dispatcher->slot_ms[i];
      *count += dispatcher->waiting_by_urgency[i];
    }
  return work_ms;
}

/* Slots that the waiting requests up to this urgency can use. */
static double
usable_slots (const DpDispatcher *dispatcher, guint urgency)
{
  guint count;
  double work_ms = sum_waiting_work (dispatcher, urgency, &count);
  double slots = count > 0 ? dp_dispatch_usable_slots (dispatcher, work_ms / count) : 0;
  return slots > 0 ? slots : 1;
}

DpUsec
dp_dispatch_estimate_wait (const DpDispatcher *dispatcher, guint urgency)
{
  guint count;
  double work_ms = sum_waiting_work (dispatcher, urgency, &count);
  double slots = usable_slots (dispatcher, urgency);
  double taken = dp_inflow_slots_above (&dispatcher->inflow, urgency, dispatcher->now);
  double left = MAX (slots - taken, slots * FREE_SHARE_MIN);
  return (DpUsec)(work_ms / left * (double)DP_USEC_PER_MSEC);
}

/* TRUE if the request is late, and slots are given to others, but to no late request of its
 * urgency. One that has come back has no further try: it waits on. */
static gboolean
waits_in_vain (const DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  DpUsec since = MAX (request->objective_at, dispatcher->late_granted_at[request->ask.urgency]);
  return !request->has_returned && dispatcher->granted_at - since > LATE_WAIT_MAX;
}

static DpUsec
wait_limit (const DpDispatchRequest *request)
{
  DpUsec limit = (DpUsec)((double)(request->deadline - request->arrived_at) * WAIT_FRACTION);
  return MIN (limit, WAIT_MAX);
}

/* FALSE if the request goes on with a stream and no target of its version is in service. */
static gboolean
is_version_served (const DpDispatcher *dispatcher, const DpGrantAsk *ask)
{
  if (ask->version == 0)
    return TRUE;
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      if (target->version == ask->version && !target->is_draining
          && dp_dispatch_rollout_may_resume (dispatcher, target)
          && !dp_dispatch_is_excluded (ask, target->name))
        return TRUE;
    }
  return FALSE;
}

DpReason
dp_dispatch_check_wait (const DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  DpUsec now = dispatcher->now;
  if (!is_version_served (dispatcher, &request->ask))
    return DP_REASON_VERSION_GONE;
  if (request->ask.has_begun)
    return now >= request->deadline ? DP_REASON_DEADLINE_PASSED : DP_REASON_NONE;
  DpUsec first = dp_dispatch_fastest_first_event (dispatcher, request->ask.prompt_tokens);
  if (now + first >= request->deadline)
    return DP_REASON_DEADLINE_UNREACHABLE;
  if (now - request->arrived_at > wait_limit (request) || waits_in_vain (dispatcher, request))
    return DP_REASON_DEADLINE_UNREACHABLE;
  return DP_REASON_NONE;
}

gboolean
dp_dispatch_exceeds_wait_limit (const DpDispatcher *dispatcher,
                                const DpDispatchRequest *request)
{
  return !request->ask.has_begun
         && dp_dispatch_estimate_wait (dispatcher, request->ask.urgency) > wait_limit (request);
}

DpDispatchRequest *
dp_dispatch_find_excess (const DpDispatcher *dispatcher)
{
  if (dispatcher->waiting->len
      <= MAX (WAITING_PER_SLOT * usable_slots (dispatcher, DP_URGENCY_LEVELS - 1), 1))
    return NULL;
  DpDispatchRequest *last = NULL;
  for (guint i = 0; i < dispatcher->waiting->len; i++)
    {
      DpDispatchRequest *request = g_ptr_array_index (dispatcher->waiting, i);
      if (request->ask.has_begun)
        continue;
      if (last == NULL || request->ask.urgency > last->ask.urgency
          || (request->ask.urgency == last->ask.urgency
              && request->arrived_at > last->arrived_at))
        last = request;
    }
  return last;
}
