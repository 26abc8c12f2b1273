/* Placement of requests on targets: requests grants from the pool's owner. If this VM is the
 * owner, the messages are direct calls. */
#include "node/node.h"

#include "common/log.h"

/* An owner that sends nothing for this time while a request waits there is unresponsive. It
 * sends an advert every 40 ms while requests wait, see core/dispatcher/dispatcher.c. */
#define OWNER_TIMEOUT (120 * DP_USEC_PER_MSEC)
/* Interval of the reports to owners, which list the grants held and requested by this VM. */
#define REPORT_INTERVAL (500 * DP_USEC_PER_MSEC)

static void deliver (DpNode *node, GArray *outbox);

static void
deliver_to_dispatcher (DpNode *node, DpNodePool *pool, DpName from, const DpMessage *message)
{
  if (message->type == DP_MESSAGE_GRANT_ASK && from != node->self)
    dp_plain_pools_on_ask (node, pool, &message->grant_ask);
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (pool->dispatcher, from, message, dp_node_now (), outbox);
  deliver (node, outbox);
  g_array_unref (outbox);
}

static void
send_to_owner (DpNode *node, DpNodePool *pool, DpName owner, const DpMessage *message)
{
  if (owner == node->self)
    deliver_to_dispatcher (node, pool, node->self, message);
  else
    dp_peers_send (node, owner, message);
}

/* --- pools --- */

void
dp_placement_pool_free (gpointer data)
{
  DpNodePool *pool = data;
  dp_dispatcher_free (pool->dispatcher);
  dp_shared_mode_free (pool->mode);
  g_free (pool->text);
  g_free (pool);
}

/* TRUE if one VM has to dispatch the requests of all VMs. */
static gboolean
needs_owner (const DpNode *node, const DpNodePool *pool)
{
  return pool->kind == DP_POOL_ENGINES || pool->has_limits || pool->is_short
         || dp_rollouts_needs_owner (node, pool);
}

static DpNodePool *
ensure_pool (DpNode *node, const DpPool *row)
{
  DpNodePool *pool = g_hash_table_lookup (node->pools, &row->name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (DpNodePool, 1);
  pool->name = row->name;
  pool->text = g_strdup (row->text);
  pool->kind = row->kind;
  pool->is_shared = row->kind == DP_POOL_ENGINES;
  pool->mode = dp_plain_pools_new_mode (node, row->kind);
  const DpDispatcherOptions options
    = { .self = node->self,
        .pool = row->name,
        .seed = node->random,
        .policy = pool->is_shared ? DP_DISPATCH_QUEUE : DP_DISPATCH_TWO_CHOICES,
        .is_shared = pool->is_shared,
        .capacity = node->params.target_capacity,
        .bounds_own_requests = pool->mode != NULL,
        .versions = pool->kind == DP_POOL_ENGINES ? dp_stream_versions_table (node) : NULL,
        .counters = node->counters };
  pool->dispatcher = dp_dispatcher_new (&options);
  dp_retry_budget_init (&pool->budget, node->params.retry_ratio, node->params.retry_window);
  dp_retry_budget_set_slack (&pool->budget, node->params.retry_slack, dp_peers_vm_count (node));
  g_hash_table_insert (node->pools, &pool->name, pool);
  return pool;
}

void
dp_placement_set_vms (DpNode *node)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    dp_retry_budget_set_slack (&((DpNodePool *)value)->budget, node->params.retry_slack,
                               dp_peers_vm_count (node));
}

void
dp_placement_set_manifest (DpNode *node)
{
  for (guint i = 0; i < node->manifest->pools->len; i++)
    ensure_pool (node, DP_MANIFEST_ROW (node->manifest, pools, DpPool, i));
  node->directory_applied = 0;
  dp_stream_versions_set_manifest (node);
  dp_node_copies_set_manifest (node);
  dp_placement_set_targets (node);
}

static void
set_pool_limits (const DpNode *node, DpNodePool *pool)
{
  pool->is_brittle = dp_directory_is_pool_brittle (node->directory, pool->name);
  pool->has_limits = pool->is_brittle;
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    if (row->pool == pool->name && row->limit.is_set)
      pool->has_limits = TRUE;
}

static void
set_pool_targets (DpNode *node, DpNodePool *pool)
{
  set_pool_limits (node, pool);
  pool->is_shared = needs_owner (node, pool);
  GArray *outbox = dp_dispatch_outbox_new ();
  /* While the targets are set, the pool is shared if it was or will be: an owner announces the
   * first limit as well as the end of the last one. */
  if (pool->is_shared)
    dp_dispatcher_set_shared (pool->dispatcher, TRUE);
  /* Before the targets, so that none of them gets a waiting request that it must not run. */
  dp_rollouts_set_order (node, pool, outbox);
  dp_dispatcher_set_targets (pool->dispatcher, node->directory, dp_node_now (), outbox);
  dp_dispatcher_set_shared (pool->dispatcher, pool->is_shared);
  deliver (node, outbox);
  g_array_unref (outbox);
}

void
dp_placement_set_targets (DpNode *node)
{
  node->directory_applied = dp_directory_version (node->directory);
  dp_stream_versions_observe (node);
  dp_rollouts_observe_targets (node);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  GPtrArray *pools = g_ptr_array_new ();
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (pools, value);
  for (guint i = 0; i < pools->len; i++)
    set_pool_targets (node, g_ptr_array_index (pools, i));
  g_ptr_array_unref (pools);
  dp_counters_set (node->counters, "dogwoodplank_targets", NULL, NULL,
                   dp_directory_count (node->directory));
}

/* --- grant requests --- */

static void
clear_attempt (DpNodeRequest *request)
{
  if (dp_id_is_none (request->attempt))
    return;
  g_hash_table_remove (request->node->requests_by_attempt, &request->attempt);
  request->attempt = (DpId){ 0 };
}

static DpId
new_attempt (const DpNodeRequest *request)
{
  DpNode *node = request->node;
  guint64 parts[3] = { node->self, node->random, ++node->next_attempt };
  DpId attempt = { .high = dp_hash_bytes (parts, sizeof parts, 1),
                   .low = dp_hash_bytes (parts, sizeof parts, 2) };
  g_hash_table_insert (node->requests_by_attempt, g_memdup2 (&attempt, sizeof (DpId)),
                       g_memdup2 (&request->self, sizeof (DpHandle)));
  return attempt;
}

static DpMessage
make_report (const DpNode *node, const DpNodePool *pool)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  message.grant_held.group = pool->name;
  message.grant_held.incarnation = dp_process_incarnation (node->process);
  message.grant_held.is_cut_off = dp_reach_is_cut_off (node->reach);
  return message;
}

static void
append_held (DpGrantHeld *report, const DpNodeRequest *request)
{
  report->held[report->count++]
    = (DpHeldGrant){ .attempt = request->attempt,
                     .target = request->stage == DP_STAGE_SENT ? request->target : 0,
                     .started = request->first_byte_after > 0 };
}

/* Appends the pool's requests that were sent to a target, or those that were not, if the owner
 * placed them (0: any owner). Returns FALSE if there are too many. */
static gboolean
append_requests (
  DpNode *node, const DpNodePool *pool, DpName owner, gboolean is_sent, DpGrantHeld *report)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      const DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->pool != pool || (owner != 0 && request->owner != owner)
          || dp_id_is_none (request->attempt) || (request->stage == DP_STAGE_SENT) != is_sent)
        continue;
      if (report->count == DP_HELD_GRANTS_MAX)
        return FALSE;
      append_held (report, request);
    }
  return TRUE;
}

/* The same for searches that the owner was asked for. */
static gboolean
append_searches (DpNode *node, const DpNodePool *pool, DpName owner, DpGrantHeld *report)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      const DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->pool != pool || !dp_request_is_searching (request)
          || request->search.owner != owner)
        continue;
      if (report->count == DP_HELD_GRANTS_MAX)
        return FALSE;
      report->held[report->count++] = (DpHeldGrant){ .attempt = request->search.attempt };
    }
  return TRUE;
}

/* Sends the owner a list of the pool's requests that it places; an empty one if the VM has left
 * it for another owner. What runs at brittle targets counts for each owner, whoever placed it.
 */
static void
send_report (DpNode *node, DpNodePool *pool, DpName owner, gboolean has_left)
{
  DpMessage message = make_report (node, pool);
  DpGrantHeld *report = &message.grant_held;
  report->has_left = has_left && !pool->is_brittle;
  /* The owner drops missing attempts only after a complete report. */
  report->last = report->has_left
                 || (append_requests (node, pool, pool->is_brittle ? 0 : owner, TRUE, report)
                     && append_requests (node, pool, owner, FALSE, report)
                     && append_searches (node, pool, owner, report));
  pool->reported_at = dp_node_now ();
  /* The empty report of a VM that has restarted frees the slots of its earlier requests. */
  if (report->count > 0 || has_left || pool->is_short)
    send_to_owner (node, pool, owner, &message);
}

void
dp_placement_report_sent (DpNode *node, DpName pool_name, DpName owner)
{
  DpNodePool *pool = g_hash_table_lookup (node->pools, &pool_name);
  if (pool == NULL)
    return;
  DpMessage message = make_report (node, pool);
  append_requests (node, pool, 0, TRUE, &message.grant_held);
  if (message.grant_held.count > 0)
    send_to_owner (node, pool, owner, &message);
}

/* Sends a message about a request at a brittle target to the owners that did not assign it. */
static void
send_to_other_keepers (const DpNodeRequest *request, const DpMessage *message)
{
  DpNode *node = request->node;
  if (!request->pool->is_brittle || request->stage != DP_STAGE_SENT)
    return;
  GArray *owners = g_array_new (FALSE, FALSE, sizeof (DpName));
  dp_limit_client_other_keepers (node->limit_client, request->pool->name, request->owner,
                                 dp_node_now (), owners);
  for (guint i = 0; i < owners->len; i++)
    send_to_owner (node, request->pool, g_array_index (owners, DpName, i), message);
  g_array_unref (owners);
}

void
dp_placement_on_send (const DpNodeRequest *request)
{
  if (!request->pool->is_brittle)
    return;
  DpMessage message = make_report (request->node, request->pool);
  append_held (&message.grant_held, request);
  send_to_other_keepers (request, &message);
}

static const char *
vm_text (const DpNode *node, DpName name)
{
  const DpVm *row = node->view != NULL ? dp_view_find (node->view, name) : NULL;
  return row != NULL ? row->text : "unknown";
}

/* Moves running requests to the new owner. The previous one gets an empty report, which
 * releases them there. */
static void
move_requests (DpNode *node, DpNodePool *pool, DpName previous, DpName owner)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (request->pool == pool && request->owner == previous
          && request->stage == DP_STAGE_SENT)
        request->owner = owner;
    }
  if (!dp_owners_is_unresponsive (node->owners, previous))
    send_report (node, pool, previous, TRUE);
  send_report (node, pool, owner, FALSE);
}

static void
change_owner (DpNode *node, DpNodePool *pool, DpName owner)
{
  DpName previous = pool->owner;
  pool->owner = owner;
  dp_limit_client_on_new_owner (node->limit_client, pool->name, owner);
  /* The new owner may have room for what the previous one refused. */
  pool->shed = (DpShed){ 0 };
  if (previous == 0)
    return;
  dp_log (DP_LOG_NOTICE, "owner_changed", "pool", pool->text, "from", vm_text (node, previous),
          "to", vm_text (node, owner), NULL);
  dp_counters_add (node->counters, "dogwoodplank_owner_changes_total", NULL, NULL, 1);
  move_requests (node, pool, previous, owner);
}

/* The requests that this VM has sent go to the owner's count, and back to its own one. */
static void
move_dispatch (DpNode *node, DpNodePool *pool)
{
  DpName owner = pool->is_shared ? dp_owners_choose (node->owners, pool->name, dp_node_now ())
                                 : node->self;
  DpName previous = pool->is_shared ? node->self : pool->owner;
  pool->owner = pool->is_shared ? owner : 0;
  pool->shed = (DpShed){ 0 };
  if (previous != 0 && previous != owner)
    move_requests (node, pool, previous, owner);
}

void
dp_placement_set_short (DpNode *node, DpNodePool *pool, gboolean is_short)
{
  gboolean was_shared = pool->is_shared;
  pool->is_short = is_short;
  pool->is_shared = needs_owner (node, pool);
  dp_dispatcher_set_short (pool->dispatcher, is_short);
  dp_dispatcher_set_shared (pool->dispatcher, pool->is_shared);
  if (pool->is_shared != was_shared)
    move_dispatch (node, pool);
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
make_shed_request (const DpNodeRequest *request, DpUsec at)
{
  return (DpShedRequest){ .urgency = request->urgency,
                          .objective_left = request->objective_at - at,
                          .remaining = request->deadline - at };
}

/* Refuses the request and returns TRUE if the owner has just refused a similar one. */
static gboolean
shed_if_overloaded (DpNodeRequest *request, DpUsec now)
{
  if (!request->pool->is_shared || request->attempt_count > 0)
    return FALSE;
  DpUsec retry_after = 0;
  const DpShedRequest shed_request = make_shed_request (request, now);
  DpReason reason = dp_shed_check (&request->pool->shed, &shed_request, now, &retry_after);
  if (reason == DP_REASON_NONE)
    return FALSE;
  dp_counters_add (request->node->counters, "dogwoodplank_shed_total", NULL, NULL, 1);
  dp_request_on_refused (request, reason, retry_after);
  return TRUE;
}

static void
ask_owner (DpNodeRequest *request, DpName owner, DpId attempt, DpUsec now)
{
  DpNode *node = request->node;
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  DpGrantAsk *grant_request = &message.grant_ask;
  grant_request->attempt = attempt;
  grant_request->group = request->pool->name;
  grant_request->prompt_tokens = request->caller.prompt_tokens;
  grant_request->output_tokens = request->caller.output_tokens_max;
  grant_request->remaining = MAX (request->deadline - now, 0);
  grant_request->objective_left = MAX (request->objective_at - now, 0);
  grant_request->repeatable = request->is_repeatable;
  grant_request->urgency = request->urgency;
  grant_request->session = request->caller.session;
  grant_request->version = request->binding.version;
  grant_request->begins_stream = request->route->kind == DP_ROUTE_STREAM
                                 && request->route->resumable
                                 && request->binding.type == DP_VERSION_BINDING_FREE;
  grant_request->has_begun = request->head_sent;
  grant_request->route = request->route->name;
  grant_request->data_centre = dp_name (node->settings->process.data_centre);
  grant_request->excluded_count = request->excluded_count;
  for (guint i = 0; i < request->excluded_count; i++)
    grant_request->excluded[i] = request->excluded[i];
  send_to_owner (node, request->pool, owner, &message);
}

void
dp_placement_request (DpNodeRequest *request)
{
  DpNode *node = request->node;
  DpUsec now = dp_node_now ();
  if (shed_if_overloaded (request, now))
    return;
  request->stage = DP_STAGE_AWAITING_GRANT;
  clear_attempt (request);
  request->attempt = new_attempt (request);
  request->owner = choose_owner (node, request->pool, now);
  /* This VM does not know what fills the targets. */
  if (request->was_rejected && !request->pool->is_shared)
    request->owner = dp_owners_choose (node->owners, request->pool->name, now);
  request->grant_requested_at = now;
  ask_owner (request, request->owner, request->attempt, now);
}

void
dp_placement_search (DpNodeRequest *request)
{
  DpUsec now = dp_node_now ();
  DpTargetSearch *search = &request->search;
  search->owner = choose_owner (request->node, request->pool, now);
  search->requested_at = now;
  search->attempt = new_attempt (request);
  ask_owner (request, search->owner, search->attempt, now);
}

void
dp_placement_cancel_search (DpNodeRequest *request)
{
  if (!dp_request_is_searching (request))
    return;
  DpTargetSearch *search = &request->search;
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done = (DpGrantDone){ .attempt = search->attempt,
                                      .group = request->pool->name,
                                      .reason = DP_REASON_NO_OWNER };
  g_hash_table_remove (request->node->requests_by_attempt, &search->attempt);
  search->attempt = (DpId){ 0 };
  send_to_owner (request->node, request->pool, search->owner, &message);
}

void
dp_placement_use_search (DpNodeRequest *request)
{
  DpTargetSearch *search = &request->search;
  clear_attempt (request);
  request->attempt = search->attempt;
  request->owner = search->owner;
  request->grant_requested_at = search->requested_at;
  search->attempt = (DpId){ 0 };
}

void
dp_placement_release (DpNodeRequest *request, DpReason reason)
{
  if (dp_id_is_none (request->attempt))
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done
    = (DpGrantDone){ .attempt = request->attempt,
                     .group = request->pool->name,
                     .target = request->stage == DP_STAGE_SENT ? request->target : 0,
                     .reason = reason,
                     .time_to_first_token = request->first_byte_after,
                     .duration = MAX (dp_node_now () - request->sent_at, 0),
                     .pause = request->answer.pause,
                     .is_rejection = reason == DP_REASON_NO_TARGET
                                     && request->stage == DP_STAGE_SENT
                                     && request->answer.is_declined };
  DpName owner = request->owner;
  send_to_other_keepers (request, &message);
  clear_attempt (request);
  send_to_owner (request->node, request->pool, owner, &message);
}

void
dp_placement_report_started (DpNodeRequest *request)
{
  if (dp_id_is_none (request->attempt))
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress
    = (DpGrantProgress){ .attempt = request->attempt, .group = request->pool->name };
  send_to_owner (request->node, request->pool, request->owner, &message);
}

void
dp_placement_send_to_owner (DpNode *node, DpName pool_name, const DpMessage *message)
{
  DpNodePool *pool = g_hash_table_lookup (node->pools, &pool_name);
  if (pool != NULL)
    send_to_owner (node, pool, dp_owners_choose (node->owners, pool_name, dp_node_now ()),
                   message);
}

/* --- leaving targets --- */

static void
report_leaving (DpNode *node, const DpTargetLeaving *leaving)
{
  const DpMessage message = { .type = DP_MESSAGE_TARGET_LEAVING, .target_leaving = *leaving };
  DpName owner = dp_owners_choose (node->owners, leaving->pool, dp_node_now ());
  if (owner != node->self)
    {
      dp_peers_send (node, owner, &message);
      return;
    }
  dp_peers_send_to_all (node, &message);
}

static gboolean
record_leaving (DpNode *node, const DpTargetLeaving *leaving, const char *source)
{
  if (!dp_directory_record_leaving (node->directory, leaving->target, leaving->started))
    return FALSE;
  const DpDirectoryRow *row = dp_directory_find (node->directory, leaving->target);
  dp_log (DP_LOG_NOTICE, "target_leaving", "name", row != NULL ? row->record.id : "unknown",
          "source", source, NULL);
  dp_placement_set_targets (node);
  return TRUE;
}

void
dp_placement_target_leaving (DpNode *node, DpName target)
{
  const DpDirectoryRow *row = dp_directory_find (node->directory, target);
  if (row == NULL)
    return;
  const DpTargetLeaving leaving
    = { .target = target, .pool = row->pool, .started = row->record.started };
  if (record_leaving (node, &leaving, "target response"))
    report_leaving (node, &leaving);
}

/* The pool's owner forwards the report to all other VMs. */
static void
on_leaving (DpNode *node, const DpTargetLeaving *leaving)
{
  if (record_leaving (node, leaving, "another VM")
      && dp_owners_choose (node->owners, leaving->pool, dp_node_now ()) == node->self)
    report_leaving (node, leaving);
}

/* --- messages --- */

static DpNodeRequest *
find_request (DpNode *node, DpId attempt)
{
  DpHandle *handle = g_hash_table_lookup (node->requests_by_attempt, &attempt);
  return handle != NULL ? dp_table_get (node->requests, *handle) : NULL;
}

/* Releases a grant whose request has ended, which frees the target's slot. */
static void
release_unused_grant (DpNode *node, DpName from, const DpGrantGiven *given)
{
  DpNodePool *pool = g_hash_table_lookup (node->pools, &given->group);
  if (pool == NULL)
    return;
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done = (DpGrantDone){ .attempt = given->attempt,
                                      .group = given->group,
                                      .target = given->target,
                                      .reason = DP_REASON_NO_OWNER };
  send_to_owner (node, pool, from, &message);
}

static void
on_grant (DpNode *node, DpName from, const DpGrantGiven *given)
{
  DpNodeRequest *request = find_request (node, given->attempt);
  if (request == NULL)
    release_unused_grant (node, from, given);
  else if (dp_id_equal (given->attempt, request->search.attempt))
    dp_request_on_target_found (request, given);
  else if (request->stage == DP_STAGE_AWAITING_GRANT)
    dp_request_on_grant (request, given);
}

static void
refuse (DpNodeRequest *request, const DpGrantRefused *refused)
{
  if (refused->is_overload)
    {
      const DpShedRequest shed_request
        = make_shed_request (request, request->grant_requested_at);
      dp_shed_record_refusal (&request->pool->shed, &shed_request, refused->reason,
                              refused->retry_after, dp_node_now ());
    }
  dp_request_on_refused (request, refused->reason, refused->retry_after);
}

static void
on_refused (DpNode *node, const DpGrantRefused *refused)
{
  DpNodeRequest *request = find_request (node, refused->attempt);
  if (request != NULL && dp_id_equal (refused->attempt, request->search.attempt))
    dp_request_on_search_refused (request, refused->reason, refused->retry_after);
  else if (request != NULL && request->stage == DP_STAGE_AWAITING_GRANT)
    refuse (request, refused);
}

static void
on_revoked (DpNode *node, const DpGrantRevoked *revoked)
{
  DpNodeRequest *request = find_request (node, revoked->attempt);
  if (request != NULL && dp_id_equal (revoked->attempt, request->search.attempt))
    dp_placement_cancel_search (request);
  else if (request != NULL)
    dp_request_on_revoked (request, revoked->reason);
}

static void
on_message_to_entry (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
      on_grant (node, from, &message->grant_given);
      break;
    case DP_MESSAGE_GRANT_REFUSED:
      on_refused (node, &message->grant_refused);
      break;
    case DP_MESSAGE_TARGET_LEAVING:
      on_leaving (node, &message->target_leaving);
      break;
    case DP_MESSAGE_GRANT_REVOKED:
      on_revoked (node, &message->grant_revoked);
      break;
    default:
      break;
    }
}

/* An announcement of this VM as an owner. */
static void
announce (DpNode *node, const DpMessage *message)
{
  dp_peers_send_to_all (node, message);
  if (message->type == DP_MESSAGE_TARGET_LIMITS)
    dp_target_limits_on_message (node, node->self, &message->target_limits);
}

static void
deliver (DpNode *node, GArray *outbox)
{
  for (guint i = 0; i < outbox->len; i++)
    {
      const DpDispatchMessage *outgoing = &g_array_index (outbox, DpDispatchMessage, i);
      if (outgoing->to == DP_DISPATCH_ALL_VMS)
        announce (node, &outgoing->message);
      else if (outgoing->to == node->self)
        on_message_to_entry (node, node->self, &outgoing->message);
      else
        dp_peers_send (node, outgoing->to, &outgoing->message);
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
    case DP_MESSAGE_TARGET_LIMITS:
      return message->target_limits.pool;
    case DP_MESSAGE_TARGET_SENT:
      return message->target_sent.pool;
    case DP_MESSAGE_TARGET_CAPACITY:
      return message->target_capacity.pool;
    default:
      return 0;
    }
}

void
dp_placement_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  dp_owners_on_message (node->owners, from, dp_node_now ());
  if (message->type == DP_MESSAGE_TARGET_LIMITS)
    {
      dp_target_limits_on_message (node, from, &message->target_limits);
      if (message->target_limits.is_owner && from == node->self)
        return;
    }
  if (message->type == DP_MESSAGE_POOL_SHARED)
    {
      dp_plain_pools_on_message (node, from, &message->pool_shared);
      return;
    }
  DpName name = message_pool (message);
  if (name == 0)
    {
      on_message_to_entry (node, from, message);
      return;
    }
  DpNodePool *pool = g_hash_table_lookup (node->pools, &name);
  if (pool != NULL)
    deliver_to_dispatcher (node, pool, from, message);
}

void
dp_placement_report (DpNode *node)
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
      if (pool->owner != 0)
        send_report (node, pool, pool->owner, FALSE);
    }
  g_ptr_array_unref (pools);
}

/* --- timers --- */

/* TRUE if OWNER_TIMEOUT has passed without any message from the owner that was asked for a
 * grant; it counts as unresponsive then. */
static gboolean
check_owner (DpNode *node, const DpNodeRequest *request, DpName owner, DpUsec asked_at)
{
  if (owner == node->self)
    return TRUE;
  DpUsec now = dp_node_now ();
  if (now - MAX (dp_owners_last_seen_at (node->owners, owner), asked_at) > OWNER_TIMEOUT)
    {
      if (!dp_owners_is_unresponsive (node->owners, owner))
        dp_log (DP_LOG_WARNING, "vm_silent", "vm", vm_text (node, owner), "request",
                request->id, NULL);
      dp_owners_on_timeout (node->owners, owner, now);
    }
  return !dp_owners_is_unresponsive (node->owners, owner);
}

static void
check_owner_of_search (DpNode *node, DpNodeRequest *request)
{
  const DpTargetSearch *search = &request->search;
  if (!check_owner (node, request, search->owner, search->requested_at)
      || (request->pool->is_shared && search->owner != request->pool->owner))
    dp_placement_cancel_search (request);
}

/* TRUE if the request waits at a VM that no longer assigns this VM's requests. */
static gboolean
waits_elsewhere (const DpNodeRequest *request)
{
  const DpNodePool *pool = request->pool;
  if (pool->is_shared)
    return request->owner != pool->owner;
  /* A pool that was short: the previous owner has been told that this VM left it. */
  return pool->mode != NULL && !request->was_rejected && request->owner != request->node->self;
}

/* Places waiting requests again whose owner is unresponsive or has changed. */
static void
check_owners (DpNode *node)
{
  for (DpHandle at = dp_table_next (node->requests, 0); at != 0;
       at = dp_table_next (node->requests, at))
    {
      DpNodeRequest *request = dp_table_get (node->requests, at);
      if (dp_request_is_searching (request))
        check_owner_of_search (node, request);
      if (request->stage != DP_STAGE_AWAITING_GRANT || request->pool == NULL)
        continue;
      if (!check_owner (node, request, request->owner, request->grant_requested_at))
        dp_placement_request (request);
      else if (waits_elsewhere (request))
        {
          dp_placement_release (request, DP_REASON_NO_OWNER);
          dp_placement_request (request);
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
      if (pool->has_limits)
        dp_dispatcher_set_reach (pool->dispatcher,
                                 dp_owners_reachable_fraction (node->owners, now));
      GArray *outbox = dp_dispatch_outbox_new ();
      dp_dispatcher_tick (pool->dispatcher, now, outbox);
      deliver (node, outbox);
      g_array_unref (outbox);
      dp_target_capacity_tick (node, pool, now);
      if (pool->owner != 0 && now - pool->reported_at >= REPORT_INTERVAL)
        send_report (node, pool, choose_owner (node, pool, now), FALSE);
    }
  g_ptr_array_unref (pools);
}

void
dp_placement_tick (DpNode *node, DpUsec now, gboolean was_paused)
{
  if (!was_paused)
    check_owners (node);
  dp_plain_pools_tick (node, now, was_paused);
  tick_dispatchers (node, now);
}
