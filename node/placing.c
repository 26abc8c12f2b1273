/* Which target a request is sent to: asks to the pool's owner and its grants. The same process
 * may be the owner; messages to itself are calls. */
#include "node/node.h"

#include "common/log.h"

/* An owner with a waiting request that says nothing for so long is passed over. It speaks every
 * 40 ms while something waits, see core/dispatcher.c. */
#define OWNER_SILENCE (120 * DP_USEC_PER_MSEC)
/* Owners hear this often what is held and asked for here. */
#define REPORT_INTERVAL (500 * DP_USEC_PER_MSEC)

static void deliver (DpNode *node, GArray *sends);

static void
receive_here (DpNode *node, DpNodePool *pool, DpName from, const DpMessage *message)
{
  GArray *sends = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (pool->dispatcher, from, message, dp_node_now (), sends);
  deliver (node, sends);
  g_array_unref (sends);
}

static void
send_to_owner (DpNode *node, DpNodePool *pool, DpName owner, const DpMessage *message)
{
  if (owner == node->self)
    receive_here (node, pool, node->self, message);
  else
    dp_peers_send (node, owner, message);
}

/* --- pools --- */

void
dp_placing_pool_free (gpointer data)
{
  DpNodePool *pool = data;
  dp_dispatcher_free (pool->dispatcher);
  g_free (pool->text);
  g_free (pool);
}

static DpNodePool *
obtain_pool (DpNode *node, const DpPool *row)
{
  DpNodePool *pool = g_hash_table_lookup (node->pools, &row->name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (DpNodePool, 1);
  pool->name = row->name;
  pool->text = g_strdup (row->text);
  pool->is_shared = row->kind == DP_POOL_ENGINES;
  const DpDispatcherOptions options
    = { .pool = row->name,
        .seed = node->random,
        .policy = pool->is_shared ? DP_DISPATCH_QUEUE : DP_DISPATCH_TWO_CHOICES,
        .counters = node->counters };
  pool->dispatcher = dp_dispatcher_new (&options);
  dp_retry_budget_init (&pool->budget, node->figures.retry_ratio, node->figures.retry_window);
  dp_retry_budget_set_slack (&pool->budget, node->figures.retry_slack, dp_peers_count (node));
  g_hash_table_insert (node->pools, &pool->name, pool);
  return pool;
}

void
dp_placing_set_vms (DpNode *node)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    dp_retry_budget_set_slack (&((DpNodePool *)value)->budget, node->figures.retry_slack,
                               dp_peers_count (node));
}

void
dp_placing_set_manifest (DpNode *node)
{
  for (guint i = 0; i < node->manifest->pools->len; i++)
    obtain_pool (node, DP_MANIFEST_ROW (node->manifest, pools, DpPool, i));
  node->directory_applied = 0;
  dp_placing_set_targets (node);
}

void
dp_placing_set_targets (DpNode *node)
{
  node->directory_applied = dp_directory_version (node->directory);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  GPtrArray *pools = g_ptr_array_new ();
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (pools, value);
  for (guint i = 0; i < pools->len; i++)
    {
      const DpNodePool *pool = g_ptr_array_index (pools, i);
      GArray *sends = dp_dispatch_outbox_new ();
      dp_dispatcher_set_targets (pool->dispatcher, node->directory, dp_node_now (), sends);
      deliver (node, sends);
      g_array_unref (sends);
    }
  g_ptr_array_unref (pools);
  dp_counters_set (node->counters, "dogwoodplank_targets", NULL, NULL,
                   dp_directory_count (node->directory));
}

/* --- asks --- */

static void
forget_attempt (DpNodeRequest *request)
{
  if (dp_id_is_none (request->attempt))
    return;
  g_hash_table_remove (request->node->by_attempt, &request->attempt);
  request->attempt = (DpId){ 0 };
}

static void
new_attempt (DpNodeRequest *request)
{
  DpNode *node = request->node;
  forget_attempt (request);
  guint64 parts[3] = { node->self, node->random, ++node->next_attempt };
  request->attempt.high = dp_hash_bytes (parts, sizeof parts, 1);
  request->attempt.low = dp_hash_bytes (parts, sizeof parts, 2);
  g_hash_table_insert (node->by_attempt, g_memdup2 (&request->attempt, sizeof (DpId)),
                       g_memdup2 (&request->self, sizeof (DpHandle)));
}

static void
send_report (DpNode *node, DpNodePool *pool, DpName owner, gboolean is_empty)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  DpGrantHeld *report = &message.grant_held;
  report->group = pool->name;
  report->incarnation = dp_process_incarnation (node->process);
  report->last = TRUE;
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0 && !is_empty;
       at = dp_table_next (node->requests, at))
    {
      const DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->pool != pool || request->owner != owner || dp_id_is_none (request->attempt))
        continue;
      if (report->count == DP_HELD_GRANTS_MAX)
        {
          /* What is missing from a report of several parts is not dropped by the owner. */
          report->last = FALSE;
          break;
        }
      report->held[report->count++]
        = (DpHeldGrant){ .attempt = request->attempt,
                         .target = request->stage == DP_STAGE_SENT ? request->target : 0,
                         .started = request->first_after > 0 };
    }
  pool->reported_at = dp_node_now ();
  if (report->count > 0 || is_empty)
    send_to_owner (node, pool, owner, &message);
}

static const char *
vm_text (const DpNode *node, DpName name)
{
  const DpVm *row = node->view != NULL ? dp_view_find (node->view, name) : NULL;
  return row != NULL ? row->text : "unknown";
}

/* Running requests are the new owner's to know; the old one forgets them. */
static void
change_owner (DpNode *node, DpNodePool *pool, DpName owner)
{
  DpName before = pool->owner;
  pool->owner = owner;
  /* What one owner refused, another one may have room for. */
  pool->shed = (DpShed){ 0 };
  if (before == 0)
    return;
  dp_log (DP_LOG_NOTICE, "owner_changed", "pool", pool->text, "from", vm_text (node, before),
          "to", vm_text (node, owner), NULL);
  dp_counters_add (node->counters, "dogwoodplank_owner_changes_total", NULL, NULL, 1);
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->pool == pool && request->owner == before && request->stage == DP_STAGE_SENT)
        request->owner = owner;
    }
  if (!dp_owners_is_unresponsive (node->owners, before))
    send_report (node, pool, before, TRUE);
  send_report (node, pool, owner, FALSE);
}

static DpName
choose_owner (DpNode *node, DpNodePool *pool, DpUsec now)
{
  if (!pool->is_shared)
    return node->self;
  DpName owner = dp_owners_choose (node->owners, pool->name, now);
  if (owner != pool->owner)
    change_owner (node, pool, owner);
  return owner;
}

static DpShedRequest
shed_request (const DpNodeRequest *request, DpUsec at)
{
  return (DpShedRequest){ .urgency = request->urgency,
                          .objective_left = request->objective_at - at,
                          .remaining = request->deadline - at };
}

/* TRUE if the owner has just refused its like. */
static gboolean
shed (DpNodeRequest *request, DpUsec now)
{
  if (!request->pool->is_shared || request->sendings > 0)
    return FALSE;
  DpUsec retry_after = 0;
  const DpShedRequest like = shed_request (request, now);
  DpReason reason = dp_shed_check (&request->pool->shed, &like, now, &retry_after);
  if (reason == DP_REASON_NONE)
    return FALSE;
  dp_counters_add (request->node->counters, "dogwoodplank_shed_total", NULL, NULL, 1);
  dp_request_refused (request, reason, retry_after);
  return TRUE;
}

void
dp_placing_ask (DpNodeRequest *request)
{
  DpNode *node = request->node;
  DpUsec now = dp_node_now ();
  if (shed (request, now))
    return;
  request->stage = DP_STAGE_PLACING;
  new_attempt (request);
  request->owner = choose_owner (node, request->pool, now);
  request->asked_at = now;
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  DpGrantAsk *ask = &message.grant_ask;
  ask->attempt = request->attempt;
  ask->group = request->pool->name;
  ask->prompt_tokens = request->said.prompt_tokens;
  ask->output_tokens = request->said.output_tokens_max;
  ask->remaining = MAX (request->deadline - now, 0);
  ask->objective_left = MAX (request->objective_at - now, 0);
  ask->repeatable = request->is_repeatable;
  ask->urgency = request->urgency;
  ask->session = request->said.session;
  ask->data_centre = dp_name (node->settings->process.data_centre);
  ask->excluded_count = request->excluded_count;
  for (guint i = 0; i < request->excluded_count; i++)
    ask->excluded[i] = request->excluded[i];
  send_to_owner (node, request->pool, request->owner, &message);
}

void
dp_placing_done (DpNodeRequest *request, DpReason reason)
{
  if (dp_id_is_none (request->attempt))
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done
    = (DpGrantDone){ .attempt = request->attempt,
                     .group = request->pool->name,
                     .target = request->stage == DP_STAGE_SENT ? request->target : 0,
                     .reason = reason,
                     .time_to_first_token = request->first_after,
                     .duration = MAX (dp_node_now () - request->sent_at, 0),
                     .pause = request->answer.pause };
  DpName owner = request->owner;
  forget_attempt (request);
  send_to_owner (request->node, request->pool, owner, &message);
}

void
dp_placing_started (DpNodeRequest *request)
{
  if (dp_id_is_none (request->attempt))
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress
    = (DpGrantProgress){ .attempt = request->attempt, .group = request->pool->name };
  send_to_owner (request->node, request->pool, request->owner, &message);
}

/* --- targets that leave --- */

static void
tell_leaving (DpNode *node, const DpTargetLeaving *leaving)
{
  const DpMessage message = { .type = DP_MESSAGE_TARGET_LEAVING, .target_leaving = *leaving };
  DpName owner = dp_owners_choose (node->owners, leaving->pool, dp_node_now ());
  if (owner != node->self)
    {
      dp_peers_send (node, owner, &message);
      return;
    }
  for (guint i = 0; i < node->view->vms->len; i++)
    {
      DpName vm = g_array_index (node->view->vms, DpVm, i).name;
      if (vm != node->self)
        dp_peers_send (node, vm, &message);
    }
}

static gboolean
take_leaving (DpNode *node, const DpTargetLeaving *leaving, const char *source)
{
  if (!dp_directory_record_leaving (node->directory, leaving->target, leaving->started))
    return FALSE;
  const DpDirectoryRow *row = dp_directory_find (node->directory, leaving->target);
  dp_log (DP_LOG_NOTICE, "target_leaving", "name", row != NULL ? row->record.id : "unknown",
          "source", source, NULL);
  dp_placing_set_targets (node);
  return TRUE;
}

void
dp_placing_target_leaves (DpNode *node, DpName target)
{
  const DpDirectoryRow *row = dp_directory_find (node->directory, target);
  if (row == NULL)
    return;
  const DpTargetLeaving leaving
    = { .target = target, .pool = row->pool, .started = row->record.started };
  if (take_leaving (node, &leaving, "its answer"))
    tell_leaving (node, &leaving);
}

/* The owner of the pool tells all others what one VM has heard. */
static void
on_leaving (DpNode *node, const DpTargetLeaving *leaving)
{
  if (take_leaving (node, leaving, "another VM")
      && dp_owners_choose (node->owners, leaving->pool, dp_node_now ()) == node->self)
    tell_leaving (node, leaving);
}

/* --- messages --- */

static DpNodeRequest *
find_request (DpNode *node, DpId attempt)
{
  DpHandle *handle = g_hash_table_lookup (node->by_attempt, &attempt);
  return handle != NULL ? dp_table_get (node->requests, *handle) : NULL;
}

/* A grant that nobody waits for any more frees its slot. */
static void
return_grant (DpNode *node, DpName from, const DpGrantGiven *given)
{
  DpNodePool *pool = g_hash_table_lookup (node->pools, &given->group);
  if (pool == NULL)
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done = (DpGrantDone){ .attempt = given->attempt,
                                      .group = given->group,
                                      .target = given->target,
                                      .reason = DP_REASON_CALLER_GONE };
  send_to_owner (node, pool, from, &message);
}

static void
on_given (DpNode *node, DpName from, const DpGrantGiven *given)
{
  DpNodeRequest *request = find_request (node, given->attempt);
  if (request == NULL)
    return_grant (node, from, given);
  else if (request->stage == DP_STAGE_PLACING)
    dp_request_given (request, given->target);
}

static void
on_refused (DpNode *node, const DpGrantRefused *refused)
{
  DpNodeRequest *request = find_request (node, refused->attempt);
  if (request == NULL || request->stage != DP_STAGE_PLACING)
    return;
  if (refused->is_overload)
    {
      const DpShedRequest like = shed_request (request, request->asked_at);
      dp_shed_record_refusal (&request->pool->shed, &like, refused->reason,
                              refused->retry_after, dp_node_now ());
    }
  dp_request_refused (request, refused->reason, refused->retry_after);
}

static void
on_message_to_entry (DpNode *node, DpName from, const DpMessage *message)
{
  DpNodeRequest *request;
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
      on_given (node, from, &message->grant_given);
      break;
    case DP_MESSAGE_GRANT_REFUSED:
      on_refused (node, &message->grant_refused);
      break;
    case DP_MESSAGE_TARGET_LEAVING:
      on_leaving (node, &message->target_leaving);
      break;
    case DP_MESSAGE_GRANT_REVOKED:
      request = find_request (node, message->grant_revoked.attempt);
      if (request != NULL)
        dp_request_revoked (request, message->grant_revoked.reason);
      break;
    default:
      break;
    }
}

static void
deliver (DpNode *node, GArray *sends)
{
  for (guint i = 0; i < sends->len; i++)
    {
      const DpDispatchMessage *send = &g_array_index (sends, DpDispatchMessage, i);
      if (send->to == node->self)
        on_message_to_entry (node, node->self, &send->message);
      else
        dp_peers_send (node, send->to, &send->message);
    }
}

static DpName
message_pool (const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_ASK:
      return message->grant_ask.group;
    case DP_MESSAGE_GRANT_PROGRESS:
      return message->grant_progress.group;
    case DP_MESSAGE_GRANT_DONE:
      return message->grant_done.group;
    case DP_MESSAGE_GRANT_HELD:
      return message->grant_held.group;
    default:
      return 0;
    }
}

void
dp_placing_message (DpNode *node, DpName from, const DpMessage *message)
{
  dp_owners_on_message (node->owners, from, dp_node_now ());
  DpName name = message_pool (message);
  if (name == 0)
    {
      on_message_to_entry (node, from, message);
      return;
    }
  DpNodePool *pool = g_hash_table_lookup (node->pools, &name);
  if (pool != NULL)
    receive_here (node, pool, from, message);
}

/* --- time --- */

/* TRUE if the owner has said nothing since it was asked, or for too long. */
static gboolean
is_owner_silent (DpNode *node, const DpNodeRequest *request, DpUsec now)
{
  if (request->stage != DP_STAGE_PLACING || request->owner == node->self)
    return FALSE;
  DpUsec heard = MAX (dp_owners_last_seen_at (node->owners, request->owner), request->asked_at);
  return now - heard > OWNER_SILENCE;
}

static void
check_owners (DpNode *node, DpUsec now)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->stage != DP_STAGE_PLACING || request->pool == NULL)
        continue;
      if (is_owner_silent (node, request, now))
        {
          if (!dp_owners_is_unresponsive (node->owners, request->owner))
            dp_log (DP_LOG_WARNING, "vm_silent", "vm", vm_text (node, request->owner),
                    "request", request->id, NULL);
          dp_owners_on_timeout (node->owners, request->owner, now);
        }
      if (dp_owners_is_unresponsive (node->owners, request->owner))
        dp_placing_ask (request);
      else if (request->pool->is_shared && request->owner != request->pool->owner)
        {
          dp_placing_done (request, DP_REASON_NO_OWNER);
          dp_placing_ask (request);
        }
    }
}

static void
tick_dispatchers (DpNode *node, DpUsec now)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *pools = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (pools, value);
  for (guint i = 0; i < pools->len; i++)
    {
      DpNodePool *pool = g_ptr_array_index (pools, i);
      GArray *sends = dp_dispatch_outbox_new ();
      dp_dispatcher_tick (pool->dispatcher, now, sends);
      deliver (node, sends);
      g_array_unref (sends);
      if (pool->owner != 0 && now - pool->reported_at >= REPORT_INTERVAL)
        send_report (node, pool, choose_owner (node, pool, now), FALSE);
    }
  g_ptr_array_unref (pools);
}

void
dp_placing_tick (DpNode *node, DpUsec now, gboolean was_paused)
{
  if (!was_paused)
    check_owners (node, now);
  tick_dispatchers (node, now);
}
