#include "core/dispatcher/dispatcher_private.h"

/* Entries with waiting requests get an advert after this interval, rounded up to a tick: at
 * most half of the time after which they treat the owner as unresponsive (120 ms,
 * node/placement.c). */
#define ADVERT_INTERVAL (40 * DP_USEC_PER_MSEC)
/* About 60 bytes each, 1 MB in total. */
#define SESSIONS_MAX 20000
/* Weight of one measurement in the moving average of the time in a slot. */
#define SLOT_TIME_GAIN 0.02
/* Assumed until there are measurements. */
#define SLOT_TIME_INITIAL_MS 250.0
/* Equal to the time for which VMs refuse similar requests themselves, see core/shed.c. */
#define RETRY_AFTER_MIN (50 * DP_USEC_PER_MSEC)
/* Up to this fraction of the estimated wait is added at random, so that refused callers don't
 * all retry at the same moment. */
#define RETRY_SPREAD 0.5

static void
dispatch_message_clear (gpointer data)
{
  DpDispatchMessage *outgoing = data;
  dp_message_clear (&outgoing->message);
}

GArray *
dp_dispatch_outbox_new (void)
{
  GArray *outbox = g_array_new (FALSE, TRUE, sizeof (DpDispatchMessage));
  g_array_set_clear_func (outbox, dispatch_message_clear);
  return outbox;
}

DpDispatcher *
dp_dispatcher_new (const DpDispatcherOptions *options)
{
  DpDispatcher *dispatcher = g_new0 (DpDispatcher, 1);
  dispatcher->options = *options;
  dispatcher->options.counters = dp_counters_ref (options->counters);
  dispatcher->policy = options->policy;
  dispatcher->random = options->seed;
  dispatcher->reach = 1;
  DpTableOptions targets
    = { .row_size = sizeof (DpDispatchTarget), .clear_row = dp_dispatch_target_clear };
  dispatcher->targets = dp_table_new (&targets);
  DpTableOptions requests = { .row_size = sizeof (DpDispatchRequest) };
  dispatcher->requests = dp_table_new (&requests);
  dispatcher->target_by_name
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  dispatcher->request_by_attempt = g_hash_table_new (dp_id_hash, dp_id_equal_func);
  dispatcher->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  dispatcher->sessions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  dispatcher->waiting = g_ptr_array_new ();
  dispatcher->links = dp_dispatch_links_new ();
  dispatcher->other_owners = dp_dispatch_other_owners_new ();
  dispatcher->returns = dp_returns_new ();
  dp_latency_model_init (&dispatcher->latency_model);
  dp_capacity_pool_init (&dispatcher->capacity);
  for (guint i = 0; i < DP_URGENCY_LEVELS; i++)
    dispatcher->slot_ms[i] = SLOT_TIME_INITIAL_MS;
  return dispatcher;
}

void
dp_dispatcher_free (DpDispatcher *dispatcher)
{
  if (dispatcher == NULL)
    return;
  dp_table_unref (dispatcher->targets);
  dp_table_unref (dispatcher->requests);
  g_hash_table_unref (dispatcher->target_by_name);
  g_hash_table_unref (dispatcher->request_by_attempt);
  g_hash_table_unref (dispatcher->entries);
  g_hash_table_unref (dispatcher->sessions);
  g_ptr_array_unref (dispatcher->waiting);
  g_array_unref (dispatcher->links);
  g_array_unref (dispatcher->other_owners);
  dp_returns_free (dispatcher->returns);
  dp_rollout_free (dispatcher->rollout);
  dp_counters_unref (dispatcher->options.counters);
  g_free (dispatcher);
}

DpMessage *
dp_dispatch_send (DpDispatcher *dispatcher, DpName to, DpMessageType type)
{
  g_array_set_size (dispatcher->outbox, dispatcher->outbox->len + 1);
  DpDispatchMessage *outgoing
    = &g_array_index (dispatcher->outbox, DpDispatchMessage, dispatcher->outbox->len - 1);
  outgoing->to = to;
  outgoing->message.type = type;
  return &outgoing->message;
}

static void
count (DpDispatcher *dispatcher, const char *name, DpReason reason)
{
  dp_counters_add (dispatcher->options.counters, name, "reason", dp_reason_name (reason), 1);
}

static DpDispatchEntry *
get_entry (DpDispatcher *dispatcher, DpName vm)
{
  DpDispatchEntry *entry = g_hash_table_lookup (dispatcher->entries, &vm);
  if (entry != NULL)
    return entry;
  entry = g_new0 (DpDispatchEntry, 1);
  entry->vm = vm;
  g_hash_table_insert (dispatcher->entries, &entry->vm, entry);
  return entry;
}

DpDispatchRequest *
dp_dispatch_find_request (const DpDispatcher *dispatcher, DpId attempt)
{
  return g_hash_table_lookup (dispatcher->request_by_attempt, &attempt);
}

DpDispatchRequest *
dp_dispatch_add_request (DpDispatcher *dispatcher, DpName entry, DpId attempt)
{
  void *row;
  DpHandle handle = dp_table_add (dispatcher->requests, &row);
  DpDispatchRequest *request = row;
  request->self = handle;
  request->entry = entry;
  request->ask.attempt = attempt;
  request->arrived_at = dispatcher->now;
  g_hash_table_insert (dispatcher->request_by_attempt, &request->ask.attempt, request);
  return request;
}

/* --- waiting and running --- */

static void
enqueue (DpDispatcher *dispatcher, DpDispatchRequest *request)
{
  request->state = DP_DISPATCH_REQUEST_WAITING;
  request->waiting_index = dispatcher->waiting->len;
  g_ptr_array_add (dispatcher->waiting, request);
  dispatcher->waiting_by_urgency[request->ask.urgency]++;
  get_entry (dispatcher, request->entry)->waiting++;
}

static void
dequeue (DpDispatcher *dispatcher, DpDispatchRequest *request)
{
  guint index = request->waiting_index;
  g_ptr_array_remove_index_fast (dispatcher->waiting, index);
  if (index < dispatcher->waiting->len)
    ((DpDispatchRequest *)g_ptr_array_index (dispatcher->waiting, index))->waiting_index
      = index;
  dispatcher->waiting_by_urgency[request->ask.urgency]--;
  get_entry (dispatcher, request->entry)->waiting--;
}

void
dp_dispatch_assign (DpDispatcher *dispatcher,
                    DpDispatchRequest *request,
                    DpDispatchTarget *target)
{
  request->state = DP_DISPATCH_REQUEST_RUNNING;
  request->target = target->self;
  request->granted_at = dispatcher->now;
  g_ptr_array_add (target->requests, request);
  dp_dispatch_capacity_on_assigned (dispatcher, target, request);
  dispatcher->running++;
}

static void
release (DpDispatcher *dispatcher, DpDispatchRequest *request)
{
  DpDispatchTarget *target = dp_table_get (dispatcher->targets, request->target);
  if (target != NULL)
    {
      g_ptr_array_remove_fast (target->requests, request);
      dp_dispatch_capacity_on_released (dispatcher, target, request);
    }
  dispatcher->running--;
}

void
dp_dispatch_remove_request (DpDispatcher *dispatcher, DpDispatchRequest *request)
{
  if (request->state == DP_DISPATCH_REQUEST_WAITING)
    dequeue (dispatcher, request);
  else
    {
      dp_dispatch_rollout_on_removal (dispatcher, request);
      release (dispatcher, request);
    }
  g_hash_table_remove (dispatcher->request_by_attempt, &request->ask.attempt);
  dp_table_remove (dispatcher->requests, request->self);
}

static void
record_session (DpDispatcher *dispatcher, const DpDispatchRequest *request, DpName target)
{
  if (request->ask.session == 0)
    return;
  if (g_hash_table_size (dispatcher->sessions) >= SESSIONS_MAX)
    g_hash_table_remove_all (dispatcher->sessions);
  DpSessionTarget last = { .target = target, .used_at = dispatcher->now };
  g_hash_table_insert (dispatcher->sessions,
                       g_memdup2 (&request->ask.session, sizeof request->ask.session),
                       g_memdup2 (&last, sizeof last));
}

static void
send_grant (DpDispatcher *dispatcher,
            const DpDispatchRequest *request,
            const DpDispatchTarget *target)
{
  DpMessage *message = dp_dispatch_send (dispatcher, request->entry, DP_MESSAGE_GRANT_GIVEN);
  message->grant_given = (DpGrantGiven){ .attempt = request->ask.attempt,
                                         .group = dispatcher->options.pool,
                                         .target = target->name,
                                         .is_brittle = target->brittle != NULL,
                                         .is_limited = target->limiter != NULL };
}

static void
grant (DpDispatcher *dispatcher, DpDispatchRequest *request, DpDispatchTarget *target)
{
  dequeue (dispatcher, request);
  dp_dispatch_capacity_on_grant (dispatcher, target, request);
  dp_dispatch_assign (dispatcher, request, target);
  dispatcher->granted_at = dispatcher->now;
  if (dispatcher->now > request->objective_at || request->has_returned)
    dispatcher->late_granted_at[request->ask.urgency] = dispatcher->now;
  record_session (dispatcher, request, target->name);
  dp_dispatch_record_link_use (dispatcher, &request->ask, target);
  dp_dispatch_rollout_on_grant (dispatcher, request, target);
  send_grant (dispatcher, request, target);
  if (target->is_suspect)
    target->next_probe_at = dispatcher->now + target->probe_interval;
  if (target->limiter != NULL)
    dp_target_limiter_record (target->limiter, dispatcher->now);
  dp_counters_add (dispatcher->options.counters, "dogwoodplank_grants_given_total", NULL, NULL,
                   1);
}

/* Assigns waiting requests to targets with free capacity. */
static void
assign_waiting (DpDispatcher *dispatcher)
{
  dispatcher->assign_round++;
  while (dispatcher->waiting->len > 0)
    {
      DpDispatchTarget *target = dp_dispatch_choose_target (dispatcher, NULL);
      if (target == NULL)
        return;
      DpDispatchRequest *request = dp_dispatch_next_request (dispatcher, target);
      if (request == NULL)
        {
          if (dispatcher->policy == DP_DISPATCH_TWO_CHOICES)
            request = g_ptr_array_index (dispatcher->waiting, 0);
          else
            {
              target->skipped_round = dispatcher->assign_round;
              continue;
            }
        }
      /* Another target may suit this request better, e.g. one with its prompt cached. */
      DpDispatchTarget *better = dp_dispatch_choose_target (dispatcher, request);
      if (better == NULL)
        return;
      grant (dispatcher, request, better);
    }
}

static DpUsec
choose_retry_after (DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  DpUsec wait = dp_dispatch_estimate_wait (dispatcher, request->ask.urgency);
  dispatcher->random = dp_hash_bytes (&dispatcher->random, sizeof dispatcher->random, 1);
  double spread = (double)(dispatcher->random % 1000) / 1000 * RETRY_SPREAD;
  return MAX ((DpUsec)((double)wait * (1 + spread)), RETRY_AFTER_MIN);
}

static void
refuse (DpDispatcher *dispatcher,
        DpDispatchRequest *request,
        DpReason reason,
        gboolean is_overload)
{
  DpMessage *message = dp_dispatch_send (dispatcher, request->entry, DP_MESSAGE_GRANT_REFUSED);
  message->grant_refused
    = (DpGrantRefused){ .attempt = request->ask.attempt,
                        .group = dispatcher->options.pool,
                        .reason = reason,
                        .retry_after = choose_retry_after (dispatcher, request),
                        .is_overload = is_overload };
  count (dispatcher, "dogwoodplank_grants_refused_total", reason);
  dp_returns_expect (dispatcher->returns, &request->ask, request->deadline, dispatcher->now);
  dp_dispatch_remove_request (dispatcher, request);
}

void
dp_dispatch_revoke (DpDispatcher *dispatcher, DpDispatchRequest *request, DpReason reason)
{
  DpMessage *message = dp_dispatch_send (dispatcher, request->entry, DP_MESSAGE_GRANT_REVOKED);
  message->grant_revoked = (DpGrantRevoked){ .attempt = request->ask.attempt,
                                             .group = dispatcher->options.pool,
                                             .reason = reason };
  count (dispatcher, "dogwoodplank_grants_revoked_total", reason);
  /* A brittle target may go on with it until its entry says otherwise. */
  const DpDispatchTarget *target = dp_table_get (dispatcher->targets, request->target);
  const DpGrantDone done = { .reason = reason };
  if (target != NULL && request->state == DP_DISPATCH_REQUEST_RUNNING)
    dp_dispatch_rollout_on_end (dispatcher, request, target, &done);
  request->was_revoked = TRUE;
  if (target == NULL || target->brittle == NULL)
    dp_dispatch_remove_request (dispatcher, request);
}

/* --- messages --- */

/* Decides about a new request that got no target: refuses it, or another one if the queue is
 * too long, or lets it wait. */
static void
refuse_on_arrival (DpDispatcher *dispatcher, DpDispatchRequest *request)
{
  DpReason reason = dp_dispatch_check_wait (dispatcher, request);
  if (reason != DP_REASON_NONE)
    {
      /* Its own deadline is too close, so this is not a sign of overload. */
      refuse (dispatcher, request, reason, FALSE);
      return;
    }
  if (dp_dispatch_exceeds_wait_limit (dispatcher, request))
    {
      refuse (dispatcher, request, DP_REASON_DEADLINE_UNREACHABLE, TRUE);
      return;
    }
  DpDispatchRequest *untracked_load = dp_dispatch_find_excess (dispatcher);
  if (untracked_load != NULL)
    refuse (dispatcher, untracked_load,
            untracked_load == request ? DP_REASON_QUEUE_FULL : DP_REASON_DISPLACED, TRUE);
}

static void
on_request (DpDispatcher *dispatcher, DpName from, const DpGrantAsk *ask)
{
  DpDispatchRequest *known = dp_dispatch_find_request (dispatcher, ask->attempt);
  if (known != NULL && known->state == DP_DISPATCH_REQUEST_RUNNING)
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, known->target);
      if (target != NULL)
        send_grant (dispatcher, known, target);
      return;
    }
  if (known != NULL)
    return;
  DpDispatchRequest *request = dp_dispatch_add_request (dispatcher, from, ask->attempt);
  request->ask = *ask;
  request->ask.urgency = MIN (ask->urgency, DP_URGENCY_LEVELS - 1);
  request->objective_at = dispatcher->now + ask->objective_left;
  request->deadline = dispatcher->now + ask->remaining;
  request->has_returned = dp_returns_take (dispatcher->returns, ask, dispatcher->now);
  if (request->has_returned)
    dp_counters_add (dispatcher->options.counters, "dogwoodplank_returned_requests_total", NULL,
                     NULL, 1);
  dp_inflow_add (&dispatcher->inflow, request->ask.urgency,
                 dispatcher->slot_ms[request->ask.urgency], dispatcher->now);
  enqueue (dispatcher, request);
  assign_waiting (dispatcher);
  if (request->state == DP_DISPATCH_REQUEST_WAITING)
    refuse_on_arrival (dispatcher, request);
}

static void
on_progress (DpDispatcher *dispatcher, const DpGrantProgress *progress)
{
  DpDispatchRequest *request = dp_dispatch_find_request (dispatcher, progress->attempt);
  if (request == NULL || request->state != DP_DISPATCH_REQUEST_RUNNING || request->started)
    return;
  request->started = TRUE;
  DpDispatchTarget *target = dp_table_get (dispatcher->targets, request->target);
  if (target == NULL)
    return;
  target->is_suspect = FALSE;
  dp_dispatch_record_link_success (dispatcher, &request->ask, target);
  dp_dispatch_capacity_on_started (dispatcher, target, request);
}

/* TRUE if this dispatcher assigned the request while the pool was short. What VMs assign before
 * says nothing about the owner's window. */
static gboolean
was_granted_short (const DpDispatcher *dispatcher, const DpDispatchRequest *request)
{
  return dispatcher->is_short && request != NULL && !request->was_adopted
         && request->state == DP_DISPATCH_REQUEST_RUNNING
         && request->granted_at >= dispatcher->short_at;
}

static void
update_estimates (DpDispatcher *dispatcher,
                  const DpDispatchRequest *request,
                  DpDispatchTarget *target,
                  const DpGrantDone *done)
{
  if (done->time_to_first_token > 0 && !request->was_adopted)
    target->pace = dp_latency_model_update (
      &dispatcher->latency_model, request->ask.prompt_tokens + request->tokens_ahead,
      target->pace, dp_dispatch_read_time (dispatcher, request, done->time_to_first_token));
  dp_dispatch_capacity_on_done (dispatcher, target, request, done);
  if (done->reason != DP_REASON_NONE || request->was_adopted)
    return;
  double *slot_ms = &dispatcher->slot_ms[request->ask.urgency];
  double measured = (double)done->duration / (double)DP_USEC_PER_MSEC;
  *slot_ms += SLOT_TIME_GAIN * (measured - *slot_ms);
  if (was_granted_short (dispatcher, request))
    dp_transit_record (&dispatcher->transit, dispatcher->now - request->granted_at,
                       done->duration);
}

/* TRUE if the outcome counts against the target. */
static gboolean
is_target_failure (DpReason reason)
{
  switch (reason)
    {
    case DP_REASON_CONNECT_FAILED:
    case DP_REASON_TARGET_BROKE:
    case DP_REASON_TARGET_SILENT:
    case DP_REASON_TARGET_ERROR:
    case DP_REASON_ANSWER_INCOMPLETE:
    case DP_REASON_NO_TARGET:
      return TRUE;
    default:
      return FALSE;
    }
}

/* TRUE if the link to the target's data centre failed, rather than the target. */
static gboolean
is_link_failure (DpDispatcher *dispatcher,
                 const DpDispatchRequest *request,
                 const DpDispatchTarget *target,
                 DpReason reason)
{
  return request != NULL && reason == DP_REASON_CONNECT_FAILED
         && dp_dispatch_record_link_failure (dispatcher, &request->ask, target);
}

static void
on_done (DpDispatcher *dispatcher, const DpGrantDone *done)
{
  DpDispatchRequest *request = dp_dispatch_find_request (dispatcher, done->attempt);
  DpDispatchTarget *target = NULL;
  gboolean is_link = FALSE;
  if (request != NULL && request->state == DP_DISPATCH_REQUEST_RUNNING)
    target = dp_table_get (dispatcher->targets, request->target);
  /* The request of a revoked grant is already removed, but its outcome still counts. */
  if (target == NULL && done->target != 0)
    target = dp_dispatch_find_target (dispatcher, done->target);
  if (target != NULL && done->pause > 0)
    target->paused_until = MAX (target->paused_until, dispatcher->now + done->pause);
  if (target != NULL && done->reason == DP_REASON_NONE)
    dp_dispatch_record_success (dispatcher, target);
  else if (target != NULL && is_target_failure (done->reason))
    is_link = is_link_failure (dispatcher, request, target, done->reason);
  if (target != NULL && is_target_failure (done->reason) && !is_link)
    dp_dispatch_record_failure (dispatcher, target, done->reason);
  if (target != NULL && done->reason == DP_REASON_NO_TARGET
      && was_granted_short (dispatcher, request))
    dp_dispatch_lower_window (dispatcher, target);
  if (target != NULL)
    dp_dispatch_record_brittle_end (dispatcher, target, request, done);
  if (request == NULL)
    return;
  if (target != NULL && done->reason == DP_REASON_NONE)
    dp_dispatch_record_link_success (dispatcher, &request->ask, target);
  if (target != NULL && request->state == DP_DISPATCH_REQUEST_RUNNING)
    {
      update_estimates (dispatcher, request, target, done);
      if (!is_link)
        dp_dispatch_rollout_on_end (dispatcher, request, target, done);
    }
  dp_dispatch_remove_request (dispatcher, request);
  assign_waiting (dispatcher);
}

static void
begin_call (DpDispatcher *dispatcher, DpUsec now, GArray *outbox)
{
  dispatcher->now = now;
  dispatcher->outbox = outbox;
}

void
dp_dispatcher_receive (
  DpDispatcher *dispatcher, DpName from, const DpMessage *message, DpUsec now, GArray *outbox)
{
  begin_call (dispatcher, now, outbox);
  get_entry (dispatcher, from)->last_seen_at = now;
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_ASK:
      dp_dispatch_record_use_as_owner (dispatcher);
      if (message->grant_ask.begins_stream && dispatcher->unlisted > 0)
        dispatcher->was_asked_with_unlisted = TRUE;
      on_request (dispatcher, from, &message->grant_ask);
      break;
    case DP_MESSAGE_GRANT_PROGRESS:
      on_progress (dispatcher, &message->grant_progress);
      break;
    case DP_MESSAGE_GRANT_DONE:
      on_done (dispatcher, &message->grant_done);
      break;
    case DP_MESSAGE_GRANT_HELD:
      get_entry (dispatcher, from)->is_cut_off = message->grant_held.is_cut_off;
      dp_dispatch_apply_report (dispatcher, from, &message->grant_held);
      assign_waiting (dispatcher);
      break;
    case DP_MESSAGE_TARGET_LIMITS:
      if (message->target_limits.is_owner)
        dp_dispatch_on_other_owner (dispatcher, from, &message->target_limits);
      else
        dp_dispatch_on_limit_report (dispatcher);
      break;
    case DP_MESSAGE_TARGET_CAPACITY:
      dp_dispatch_on_capacities (dispatcher, from, &message->target_capacity);
      break;
    case DP_MESSAGE_TARGET_SENT:
      dp_dispatch_apply_sent (dispatcher, &message->target_sent);
      break;
    default:
      break;
    }
  dp_dispatch_announce_limits (dispatcher);
}

void
dp_dispatcher_set_shared (DpDispatcher *dispatcher, gboolean is_shared)
{
  if (dispatcher->options.is_shared != is_shared)
    dispatcher->asked_at = 0;
  dispatcher->options.is_shared = is_shared;
}

void
dp_dispatcher_set_short (DpDispatcher *dispatcher, gboolean is_short)
{
  if (is_short && !dispatcher->is_short)
    {
      dispatcher->transit = (DpTransit){ 0 };
      dispatcher->short_at = dispatcher->now;
    }
  dispatcher->is_short = is_short;
  dispatcher->policy = is_short ? DP_DISPATCH_QUEUE : dispatcher->options.policy;
}

void
dp_dispatcher_set_others (DpDispatcher *dispatcher, guint others, double running)
{
  dispatcher->others = others;
  dispatcher->others_running = running;
}

void
dp_dispatcher_hold (DpDispatcher *dispatcher, DpUsec until)
{
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      target->full_until = MAX (target->full_until, until);
    }
}

void
dp_dispatcher_set_reach (DpDispatcher *dispatcher, double fraction)
{
  dispatcher->reach = fraction;
}

void
dp_dispatcher_set_rollout (DpDispatcher *dispatcher,
                           const DpRolloutOptions *options,
                           const DpRolloutOrder *order,
                           DpUsec now,
                           GArray *outbox)
{
  begin_call (dispatcher, now, outbox);
  if (order == NULL && dispatcher->rollout == NULL)
    return;
  dp_dispatch_set_rollout (dispatcher, options, order);
  assign_waiting (dispatcher);
}

/* --- targets --- */

static void
add_target (DpDispatcher *dispatcher, const DpDirectoryRow *row)
{
  void *data;
  DpHandle handle = dp_table_add (dispatcher->targets, &data);
  DpDispatchTarget *target = data;
  target->self = handle;
  target->name = row->name;
  target->requests = g_ptr_array_new ();
  target->pace = 1;
  g_hash_table_insert (dispatcher->target_by_name, g_memdup2 (&row->name, sizeof row->name),
                       g_memdup2 (&handle, sizeof handle));
}

/* Requests at a removed target are kept until their entries report that they ended. */
static void
drop_target (DpDispatcher *dispatcher, DpDispatchTarget *target)
{
  DpHandle handle = target->self;
  dispatcher->limited -= target->limiter != NULL;
  dispatcher->brittle -= target->brittle != NULL;
  g_hash_table_remove (dispatcher->target_by_name, &target->name);
  dp_table_remove (dispatcher->targets, handle);
}

static void
drop_missing_targets (DpDispatcher *dispatcher, const DpDirectory *directory)
{
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      const DpDirectoryRow *row = dp_directory_find (directory, target->name);
      if (row == NULL || row->pool != dispatcher->options.pool)
        drop_target (dispatcher, target);
    }
}

gboolean
dp_dispatcher_awaits_version (const DpDispatcher *dispatcher)
{
  return dispatcher->was_asked_with_unlisted;
}

void
dp_dispatcher_set_targets (DpDispatcher *dispatcher,
                           const DpDirectory *directory,
                           DpUsec now,
                           GArray *outbox)
{
  begin_call (dispatcher, now, outbox);
  drop_missing_targets (dispatcher, directory);
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (directory, &at)) != NULL)
    {
      if (row->pool != dispatcher->options.pool)
        continue;
      if (dp_dispatch_find_target (dispatcher, row->name) == NULL)
        add_target (dispatcher, row);
      DpDispatchTarget *target = dp_dispatch_find_target (dispatcher, row->name);
      target->data_centre = row->data_centre;
      target->version = row->version;
      target->slots = MAX (row->record.slots, 1);
      target->is_draining = row->record.is_draining;
      dp_dispatch_set_capacity (dispatcher, target, row);
      dp_dispatch_set_limit (dispatcher, target, row);
    }
  dp_dispatch_update_unlisted (dispatcher);
  dp_dispatch_update_rollout (dispatcher, TRUE);
  assign_waiting (dispatcher);
  dp_dispatch_announce_limits (dispatcher);
}

/* --- timers --- */

static void
refuse_timed_out (DpDispatcher *dispatcher)
{
  for (guint i = dispatcher->waiting->len; i > 0; i--)
    {
      DpDispatchRequest *request = g_ptr_array_index (dispatcher->waiting, i - 1);
      DpReason reason = dp_dispatch_check_wait (dispatcher, request);
      if (reason != DP_REASON_NONE)
        refuse (dispatcher, request, reason, FALSE);
    }
}

/* Sends adverts to entries with waiting requests, as a sign that the owner is alive. */
static void
send_adverts (DpDispatcher *dispatcher)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, dispatcher->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DpDispatchEntry *entry = value;
      if (entry->waiting == 0 || dispatcher->now - entry->advert_sent_at < ADVERT_INTERVAL)
        continue;
      entry->advert_sent_at = dispatcher->now;
      DpMessage *message = dp_dispatch_send (dispatcher, entry->vm, DP_MESSAGE_ADVERT);
      message->advert.group = dispatcher->options.pool;
      message->advert.wait = dp_dispatch_estimate_wait (dispatcher, DP_URGENCY_LEVELS - 1);
    }
}

void
dp_dispatcher_tick (DpDispatcher *dispatcher, DpUsec now, GArray *outbox)
{
  begin_call (dispatcher, now, outbox);
  dp_dispatch_expire_entries (dispatcher);
  dp_dispatch_check_timeouts (dispatcher);
  if (dispatcher->unlisted > 0)
    dp_dispatch_update_unlisted (dispatcher);
  dp_dispatch_update_rollout (dispatcher, FALSE);
  dp_dispatch_update_capacities (dispatcher);
  assign_waiting (dispatcher);
  refuse_timed_out (dispatcher);
  send_adverts (dispatcher);
  dp_dispatch_announce_limits (dispatcher);
}

DpDispatcherStatus
dp_dispatcher_status (const DpDispatcher *dispatcher)
{
  DpDispatcherStatus status = { .targets = dp_table_count (dispatcher->targets),
                                .waiting = dispatcher->waiting->len,
                                .running = dispatcher->running,
                                .limited = dispatcher->limited,
                                .brittle = dispatcher->brittle };
  for (DpHandle at = dp_table_next (dispatcher->targets, 0); at != 0;
       at = dp_table_next (dispatcher->targets, at))
    {
      const DpDispatchTarget *target = dp_table_get (dispatcher->targets, at);
      status.suspects += target->is_suspect;
      if (dp_dispatch_is_accepting (dispatcher, target) && !target->is_suspect)
        status.slots += target->slots;
    }
  return status;
}
