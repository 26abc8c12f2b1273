/* Orders to roll out versions: their list in the store, the status that this system writes
 * there, and what VMs tell each other of it.
 *
 * The owner of an order's pool decides (core/dispatcher/dispatcher.h). It tells all VMs its
 * state at each change and each second, and writes `running` and one final state to the store,
 * each on the condition that the order has not changed since it was read. What each state means
 * for requests is in core/rollout/rollout_orders.h.
 */
#include "node/node.h"

#include "common/log.h"

#include <json-c/json.h>
#include <string.h>

#define ANNOUNCE_INTERVAL DP_USEC_PER_SEC
/* An owner that has not announced an order for this long may not know it. */
#define OWNER_NOTICE_AGE_MAX (3 * DP_USEC_PER_SEC)
/* The store normally answers within milliseconds, under load within some hundred. */
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)
#define RETRY_DELAY_MIN (100 * DP_USEC_PER_MSEC)
#define RETRY_DELAY_MAX (2 * DP_USEC_PER_SEC)
/* Interval of progress lines in the log. */
#define PROGRESS_INTERVAL (10 * DP_USEC_PER_SEC)

/* Work on one pool's order. */
typedef struct Progress
{
  DpRollouts *rollouts;
  DpName pool;
  DpName id; /* order that the rest belongs to */
  char target[DP_ROLLOUT_TARGET_BYTES];
  GHashTable *owners;   /* DpName -> DpUsec: last notice of the order as its owner */
  gboolean was_checked; /* its service and targets */
  gboolean was_owner;
  gboolean must_restart; /* the dispatcher forgets what it has decided */
  /* status in the store */
  gboolean is_writing;
  DpName written_id;
  DpRolloutState written;
  DpUsec retry_at;
  DpUsec retry_delay; /* 0: the last write succeeded */
  /* messages and log */
  DpRolloutState announced;
  DpUsec announced_at;
  DpRolloutState logged;
  gboolean was_followed; /* as logged */
  guint logged_step;
  DpUsec logged_at;
} Progress;

struct DpRollouts
{
  DpNode *node;
  DpRolloutOrders *orders;
  GHashTable *progress; /* DpName -> Progress */
};

static void
format_number (char text[24], gint64 number)
{
  g_snprintf (text, 24, "%" G_GINT64_FORMAT, number);
}

static void
progress_free (gpointer data)
{
  Progress *progress = data;
  g_hash_table_unref (progress->owners);
  g_free (progress);
}

DpRollouts *
dp_rollouts_new (DpNode *node)
{
  DpRollouts *rollouts = g_new0 (DpRollouts, 1);
  rollouts->node = node;
  rollouts->orders = dp_rollout_orders_new ();
  rollouts->progress = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, progress_free);
  return rollouts;
}

void
dp_rollouts_free (DpRollouts *rollouts)
{
  if (rollouts == NULL)
    return;
  dp_rollout_orders_free (rollouts->orders);
  g_hash_table_unref (rollouts->progress);
  g_free (rollouts);
}

/* Work on the entry's present order. */
static Progress *
ensure_progress (DpRollouts *rollouts, const DpRolloutEntry *entry)
{
  Progress *progress = g_hash_table_lookup (rollouts->progress, &entry->pool);
  if (progress == NULL)
    {
      progress = g_new0 (Progress, 1);
      progress->rollouts = rollouts;
      progress->pool = entry->pool;
      progress->owners = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
      g_hash_table_insert (rollouts->progress, &progress->pool, progress);
    }
  if (progress->id == entry->id)
    return progress;
  if (progress->id != 0 && progress->logged != DP_ROLLOUT_COMPLETED)
    dp_log (DP_LOG_WARNING, "rollout_replaced", "service", entry->row.service, "target",
            entry->row.target, "before", progress->target, "outcome",
            "no requests to the version before", NULL);
  g_hash_table_remove_all (progress->owners);
  *progress = (Progress){ .rollouts = rollouts,
                          .pool = entry->pool,
                          .id = entry->id,
                          .owners = progress->owners,
                          .is_writing = progress->is_writing,
                          .written_id = progress->written_id,
                          .written = progress->written };
  g_strlcpy (progress->target, entry->row.target, sizeof progress->target);
  return progress;
}

static DpNodePool *
find_pool (const DpNode *node, DpName name)
{
  return g_hash_table_lookup (node->pools, &name);
}

static gboolean
is_owner (DpNode *node, DpName pool, DpUsec now)
{
  return dp_owners_choose (node->owners, pool, now) == node->self;
}

/* --- log --- */

static guint
count_targets (const DpNode *node, DpName pool, DpName version)
{
  guint count = 0;
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    count += row->pool == pool && row->version == version;
  return count;
}

/* Logs once what keeps an order from being followed now. */
static void
check_order (Progress *progress, const DpRolloutEntry *entry)
{
  const DpNode *node = progress->rollouts->node;
  if (progress->was_checked || !dp_rollout_entry_is_followed (entry) || node->manifest == NULL
      || dp_directory_last_contact_at (node->directory) == 0)
    return;
  progress->was_checked = TRUE;
  const char *reason = NULL;
  if (find_pool (node, entry->pool) == NULL)
    reason = "unknown_service";
  else if (count_targets (node, entry->pool, entry->version) == 0)
    reason = "no_targets";
  if (reason != NULL)
    dp_log (DP_LOG_WARNING, "rollout_waits", "service", entry->row.service, "target",
            entry->row.target, "reason", reason, NULL);
}

static void
log_not_followed (const DpRolloutEntry *entry)
{
  if (entry->is_withdrawn)
    dp_log (DP_LOG_WARNING, "rollout_withdrawn", "service", entry->row.service, "target",
            entry->row.target, "outcome", "no requests to this version", NULL);
  else
    dp_log (DP_LOG_WARNING, "rollout_invalid", "service", entry->row.service, "target",
            entry->row.target, "outcome", "not followed", NULL);
}

static void
log_state (const DpNode *node, const DpRolloutEntry *entry, const DpRolloutStatus *status)
{
  char age[24], duration[24], revision[24];
  format_number (age, dp_rollout_entry_age (entry, dp_node_now ()) / DP_USEC_PER_MSEC);
  format_number (duration, entry->row.duration / DP_USEC_PER_MSEC);
  format_number (revision, (gint64)entry->row.revision);
  dp_log (DP_LOG_NOTICE, "rollout_state", "service", entry->row.service, "target",
          entry->row.target, "state", dp_rollout_state_name (dp_rollout_entry_state (entry)),
          "stored", dp_rollout_state_name (entry->row.state), "cause",
          status != NULL ? dp_rollout_cause_name (status->cause) : "told", "age_ms", age,
          "duration_ms", duration, "revision", revision, NULL);
}

static void
log_progress (const DpRolloutEntry *entry, const DpRolloutStatus *status)
{
  char step[24], share[G_ASCII_DTOSTR_BUF_SIZE], score[G_ASCII_DTOSTR_BUF_SIZE], targets[24];
  char new_sent[24], new_good[24], new_bad[24], old_sent[24], old_good[24], old_bad[24];
  format_number (step, status->step);
  g_ascii_formatd (share, sizeof share, "%.4f", status->share);
  g_ascii_formatd (score, sizeof score, "%.2f", status->score);
  format_number (targets, status->participants);
  format_number (new_sent, (gint64)status->new_version.sent);
  format_number (new_good, (gint64)status->new_version.good);
  format_number (new_bad, (gint64)status->new_version.bad);
  format_number (old_sent, (gint64)status->old_version.sent);
  format_number (old_good, (gint64)status->old_version.good);
  format_number (old_bad, (gint64)status->old_version.bad);
  dp_log (DP_LOG_NOTICE, "rollout_progress", "service", entry->row.service, "target",
          entry->row.target, "wanted", dp_rollout_state_name (status->state), "cause",
          dp_rollout_cause_name (status->cause), "step", step, "share", share, "targets",
          targets, "new_sent", new_sent, "new_good", new_good, "new_bad", new_bad, "old_sent",
          old_sent, "old_good", old_good, "old_bad", old_bad, "score", score, NULL);
}

static void
set_gauges (DpNode *node, const DpRolloutEntry *entry, const DpRolloutStatus *status)
{
  const char *service = entry->row.service;
  dp_counters_set (node->counters, "dogwoodplank_rollout_state", "service", service,
                   dp_rollout_entry_state (entry));
  if (status == NULL)
    return;
  dp_counters_set (node->counters, "dogwoodplank_rollout_step", "service", service,
                   status->step);
  dp_counters_set (node->counters, "dogwoodplank_rollout_new_sent", "service", service,
                   status->new_version.sent);
  dp_counters_set (node->counters, "dogwoodplank_rollout_new_bad", "service", service,
                   status->new_version.bad);
  dp_counters_set (node->counters, "dogwoodplank_rollout_old_sent", "service", service,
                   status->old_version.sent);
  dp_counters_set (node->counters, "dogwoodplank_rollout_old_bad", "service", service,
                   status->old_version.bad);
}

/* `status` NULL: this VM doesn't own the pool. */
static void
report (Progress *progress,
        const DpRolloutEntry *entry,
        const DpRolloutStatus *status,
        DpUsec now)
{
  DpRolloutState state = dp_rollout_entry_state (entry);
  gboolean is_followed = dp_rollout_entry_is_followed (entry);
  gboolean is_new = state != progress->logged || is_followed != progress->was_followed;
  if (is_new && !is_followed)
    log_not_followed (entry);
  else if (is_new)
    log_state (progress->rollouts->node, entry, status);
  gboolean is_due = status != NULL && entry->final == DP_ROLLOUT_NONE
                    && (is_new || status->step != progress->logged_step
                        || now - progress->logged_at >= PROGRESS_INTERVAL);
  if (is_due)
    {
      log_progress (entry, status);
      progress->logged_step = status->step;
      progress->logged_at = now;
    }
  progress->logged = state;
  progress->was_followed = is_followed;
  set_gauges (progress->rollouts->node, entry, status);
}

/* --- the list of orders --- */

/* Passes what has changed to the dispatchers. */
static void
apply (DpRollouts *rollouts)
{
  dp_placement_set_targets (rollouts->node);
}

static gboolean
read_order (DpRollouts *rollouts, const DpStoreObject *object, DpRolloutRow *row)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  gboolean ok = dp_records_read_rollout (object, row, diagnostics);
  dp_store_watch_log_diagnostics (rollouts->node->store_watch, DP_KIND_ROLLOUTS,
                                  object->revision, diagnostics);
  dp_diagnostics_unref (diagnostics);
  return ok;
}

static gboolean
apply_object (DpRollouts *rollouts, const DpStoreObject *object)
{
  DpRolloutRow row;
  if (object->is_deleted)
    return dp_rollout_orders_withdraw (rollouts->orders, dp_name (object->name));
  return read_order (rollouts, object, &row)
         && dp_rollout_orders_put (rollouts->orders, &row, dp_node_now ());
}

static gboolean
apply_listing (DpRollouts *rollouts, const DpStorePage *const *pages, guint count)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (DpRolloutRow));
  for (guint i = 0; i < count; i++)
    for (guint j = 0; j < pages[i]->objects->len; j++)
      {
        DpRolloutRow row;
        if (read_order (rollouts, &g_array_index (pages[i]->objects, DpStoreObject, j), &row))
          g_array_append_val (rows, row);
      }
  gboolean changed = dp_rollout_orders_replace (rollouts->orders, rows, dp_node_now ());
  g_array_unref (rows);
  return changed;
}

void
dp_rollouts_apply_changes (DpNode *node,
                           const DpStorePage *const *pages,
                           guint count,
                           gboolean is_complete,
                           DpStoreVersion version)
{
  DpRollouts *rollouts = node->rollouts;
  if (rollouts == NULL
      || dp_store_version_compare (version, dp_rollout_orders_version (rollouts->orders)) < 0)
    return;
  gboolean changed = dp_rollout_orders_is_list_due (rollouts->orders);
  dp_rollout_orders_begin_era (rollouts->orders, version.era);
  if (is_complete)
    changed |= apply_listing (rollouts, pages, count);
  for (guint i = 0; !is_complete && i < count; i++)
    for (guint j = 0; j < pages[i]->objects->len; j++)
      changed |= apply_object (rollouts, &g_array_index (pages[i]->objects, DpStoreObject, j));
  dp_rollout_orders_confirm (rollouts->orders, version);
  if (changed)
    apply (rollouts);
}

DpStoreVersion
dp_rollouts_version (const DpNode *node)
{
  return node->rollouts != NULL ? dp_rollout_orders_version (node->rollouts->orders)
                                : (DpStoreVersion){ 0 };
}

void
dp_rollouts_send_list (DpNode *node, DpName to)
{
  if (dp_rollouts_version (node).revision == 0)
    return;
  DpMessage message = { .type = DP_MESSAGE_ROLLOUTS };
  message.rollouts.version = dp_rollouts_version (node);
  message.rollouts.rows = dp_rollout_orders_list (node->rollouts->orders, dp_node_now ());
  dp_peers_send (node, to, &message);
  dp_message_clear (&message);
}

static void
on_list (DpRollouts *rollouts, const DpRolloutRows *list)
{
  rollouts->node->rollouts_received_at = dp_node_now ();
  if (dp_store_version_compare (list->version, dp_rollout_orders_version (rollouts->orders))
      <= 0)
    return;
  gboolean changed = dp_rollout_orders_is_list_due (rollouts->orders);
  dp_rollout_orders_begin_era (rollouts->orders, list->version.era);
  changed |= dp_rollout_orders_replace (rollouts->orders, list->rows, dp_node_now ());
  dp_rollout_orders_confirm (rollouts->orders, list->version);
  if (changed)
    apply (rollouts);
}

/* --- messages between VMs --- */

static DpMessage
make_notice (const DpRolloutEntry *entry, gboolean is_from_owner, DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_ROLLOUT };
  message.rollout = (DpRolloutNotice){ .pool = entry->pool,
                                       .order = entry->id,
                                       .version = entry->version,
                                       .state = dp_rollout_entry_state (entry),
                                       .age = dp_rollout_entry_age (entry, now),
                                       .is_owner = is_from_owner };
  return message;
}

static void
announce (Progress *progress, const DpRolloutEntry *entry, gboolean owns, DpUsec now)
{
  DpRolloutState state = dp_rollout_entry_state (entry);
  if (state == progress->announced && now - progress->announced_at < ANNOUNCE_INTERVAL)
    return;
  progress->announced = state;
  progress->announced_at = now;
  const DpMessage message = make_notice (entry, owns, now);
  dp_peers_send_to_all (progress->rollouts->node, &message);
}

static void
on_notice (DpRollouts *rollouts, DpName from, const DpRolloutNotice *notice)
{
  DpUsec now = dp_node_now ();
  const DpRolloutEntry *entry = dp_rollout_orders_find (rollouts->orders, notice->pool);
  if (entry == NULL || entry->id != notice->order)
    return;
  Progress *progress = ensure_progress (rollouts, entry);
  if (notice->is_owner)
    g_hash_table_insert (progress->owners, g_memdup2 (&from, sizeof from),
                         g_memdup2 (&now, sizeof now));
  if (dp_rollout_orders_hear (rollouts->orders, notice, now))
    apply (rollouts);
  if (!dp_rollout_entry_is_stricter (entry, notice))
    return;
  const DpMessage answer = make_notice (entry, FALSE, now);
  dp_peers_send (rollouts->node, from, &answer);
}

gboolean
dp_rollouts_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_ROLLOUTS:
      if (node->rollouts != NULL)
        on_list (node->rollouts, &message->rollouts);
      return TRUE;
    case DP_MESSAGE_ROLLOUT:
      if (node->rollouts != NULL)
        on_notice (node->rollouts, from, &message->rollout);
      return TRUE;
    default:
      return FALSE;
    }
}

/* --- requests --- */

void
dp_rollouts_observe_targets (DpNode *node)
{
  if (node->rollouts != NULL)
    dp_rollout_orders_observe (node->rollouts->orders, node->directory,
                               dp_store_watch_targets_seen (node->store_watch));
}

gboolean
dp_rollouts_needs_owner (const DpNode *node, const DpNodePool *pool)
{
  return node->rollouts != NULL
         && dp_rollout_orders_is_active (node->rollouts->orders, pool->name);
}

static const char *
version_text (const DpNode *node, DpName pool, DpName version)
{
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    if (row->pool == pool && row->version == version)
      return row->record.version.label;
  return "unknown";
}

/* `order` NULL: all versions may be used. */
static void
log_unused_version (const DpNode *node, DpNodePool *pool, const DpRolloutOrder *order)
{
  gboolean is_unused
    = order != NULL
      && (order->state == DP_ROLLOUT_UNCERTAIN || order->state == DP_ROLLOUT_ROLLED_BACK);
  DpName version = is_unused ? order->version : 0;
  if (version == pool->unused_version)
    return;
  const DpStoreVersion orders = dp_rollout_orders_version (node->rollouts->orders);
  char as_of[24];
  format_number (as_of, (gint64)orders.revision);
  if (version != 0)
    dp_log (DP_LOG_NOTICE, "version_not_used", "pool", pool->text, "version",
            version_text (node, pool->name, version), "orders_as_of", as_of, NULL);
  else
    dp_log (DP_LOG_NOTICE, "version_released", "pool", pool->text, "version",
            version_text (node, pool->name, pool->unused_version), "orders_as_of", as_of, NULL);
  pool->unused_version = version;
}

void
dp_rollouts_set_order (DpNode *node, DpNodePool *pool, GArray *outbox)
{
  if (node->rollouts == NULL)
    return;
  DpUsec now = dp_node_now ();
  DpRolloutOrder order;
  gboolean has_order
    = dp_rollout_orders_for_dispatcher (node->rollouts->orders, pool->name, now, &order);
  log_unused_version (node, pool, has_order ? &order : NULL);
  Progress *progress = g_hash_table_lookup (node->rollouts->progress, &pool->name);
  if (progress != NULL && progress->must_restart && has_order)
    {
      /* An order of another id begins anew; without any, waiting requests might be assigned to
       * the version. */
      DpRolloutOrder other = order;
      other.id = ~order.id;
      other.state = DP_ROLLOUT_UNCERTAIN;
      dp_dispatcher_set_rollout (pool->dispatcher, &node->params.rollout, &other, now, outbox);
      progress->must_restart = FALSE;
    }
  dp_dispatcher_set_rollout (pool->dispatcher, &node->params.rollout, has_order ? &order : NULL,
                             now, outbox);
}

/* TRUE if the VM has lately said that it owns the pool and knows the order. */
static gboolean
knows_order (const DpNode *node, DpName owner, const DpRolloutEntry *entry)
{
  if (owner == node->self)
    return TRUE;
  const Progress *progress = g_hash_table_lookup (node->rollouts->progress, &entry->pool);
  if (progress == NULL || progress->id != entry->id)
    return FALSE;
  const DpUsec *at = g_hash_table_lookup (progress->owners, &owner);
  return at != NULL && dp_node_now () - *at < OWNER_NOTICE_AGE_MAX;
}

gboolean
dp_rollouts_accepts_grant (const DpNode *node, DpName owner, const DpDirectoryRow *row)
{
  if (node->rollouts == NULL)
    return TRUE;
  const DpRolloutOrders *orders = node->rollouts->orders;
  gboolean may_use = dp_rollout_orders_may_use (orders, row->pool, row->version);
  const DpRolloutEntry *entry = dp_rollout_orders_find (orders, row->pool);
  gboolean is_in_progress = entry != NULL && entry->version == row->version
                            && dp_rollout_entry_is_followed (entry)
                            && entry->final == DP_ROLLOUT_NONE;
  gboolean accepts = may_use && (!is_in_progress || knows_order (node, owner, entry));
  if (!accepts)
    dp_counters_add (node->counters, "dogwoodplank_rollout_grants_not_used_total", NULL, NULL,
                     1);
  return accepts;
}

/* --- the status in the store --- */

/* FALSE if the response doesn't contain the order. */
static gboolean
apply_reply (DpRollouts *rollouts, const DpPlatformReply *reply)
{
  if (reply->value == NULL)
    return FALSE;
  gsize length;
  const char *text = g_bytes_get_data (reply->value, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = dp_records_read_object (text, length, diagnostics);
  dp_diagnostics_unref (diagnostics);
  if (page == NULL)
    return FALSE;
  const DpStoreObject *object = &g_array_index (page->objects, DpStoreObject, 0);
  gboolean is_order = object->revision != 0 && object->spec.length > 0;
  if (is_order && apply_object (rollouts, object))
    apply (rollouts);
  dp_store_page_free (page);
  return is_order;
}

static void
delay_retry (Progress *progress)
{
  progress->retry_delay = CLAMP (2 * progress->retry_delay, RETRY_DELAY_MIN, RETRY_DELAY_MAX);
  progress->retry_at = dp_node_now () + progress->retry_delay;
}

/* The store may have the final state, or take it up later. */
static void
on_write_lost (Progress *progress)
{
  DpRollouts *rollouts = progress->rollouts;
  if (progress->written != DP_ROLLOUT_COMPLETED)
    return;
  const DpRolloutNotice notice
    = { .pool = progress->pool, .order = progress->written_id, .state = DP_ROLLOUT_UNCERTAIN };
  if (dp_rollout_orders_hear (rollouts->orders, &notice, dp_node_now ()))
    apply (rollouts);
}

static void
on_written (const DpPlatformReply *reply, gpointer data)
{
  Progress *progress = data;
  DpRollouts *rollouts = progress->rollouts;
  const char *outcome = dp_platform_result_name (reply->result);
  const DpRolloutEntry *entry = dp_rollout_orders_find (rollouts->orders, progress->pool);
  progress->is_writing = FALSE;
  dp_counters_add (rollouts->node->counters, "dogwoodplank_rollout_writes_total", "outcome",
                   outcome, 1);
  dp_log (DP_LOG_NOTICE, "rollout_written", "service",
          entry != NULL ? entry->row.service : "unknown", "state",
          dp_rollout_state_name (progress->written), "outcome", outcome, NULL);
  switch (reply->result)
    {
    case DP_PLATFORM_OK:
    case DP_PLATFORM_CONFLICT:
      if (!apply_reply (rollouts, reply))
        dp_store_watch_check_rollouts (rollouts->node->store_watch);
      break;
    case DP_PLATFORM_LOST:
      on_write_lost (progress);
      break;
    default:
      dp_store_watch_check_rollouts (rollouts->node->store_watch);
      break;
    }
  if (reply->result == DP_PLATFORM_OK)
    progress->retry_delay = 0;
  /* A response that doesn't show the new state must not cause a write on each tick. */
  delay_retry (progress);
}

static void
write_status (Progress *progress, const DpRolloutEntry *entry, DpRolloutState state)
{
  char *path = dp_records_rollout_status_path (&entry->row);
  char *body = dp_records_write_rollout_status (&entry->row, state);
  const DpPlatformCall call = { .type = DP_PLATFORM_REPLACE,
                                .path = path,
                                .value = body,
                                .length = strlen (body),
                                .timeout = CALL_TIMEOUT };
  progress->is_writing = TRUE;
  progress->written_id = entry->id;
  progress->written = state;
  dp_platform_client_call (progress->rollouts->node->store, &call, on_written, progress);
  g_free (path);
  g_free (body);
}

/* The state that the store should have; NONE: nothing is to be written. An uncertain state
 * means that an owner had decided to complete the order: writing that again shows whether its
 * write took effect. After the time limit nobody needs the new version any more. */
static DpRolloutState
wanted_in_store (const DpRolloutEntry *entry, const DpRolloutStatus *status, DpUsec now)
{
  DpRolloutState stored = entry->row.state;
  if (!dp_rollout_entry_is_followed (entry) || entry->row.revision == 0
      || stored == DP_ROLLOUT_COMPLETED || stored == DP_ROLLOUT_ROLLED_BACK)
    return DP_ROLLOUT_NONE;
  if (entry->final != DP_ROLLOUT_NONE)
    return entry->final;
  switch (dp_rollout_entry_state (entry))
    {
    case DP_ROLLOUT_ROLLED_BACK:
      return DP_ROLLOUT_ROLLED_BACK;
    case DP_ROLLOUT_UNCERTAIN:
      return dp_rollout_entry_age (entry, now) < entry->row.duration ? DP_ROLLOUT_COMPLETED
                                                                     : DP_ROLLOUT_ROLLED_BACK;
    case DP_ROLLOUT_SWITCHING:
      if (status != NULL && status->state == DP_ROLLOUT_COMPLETED)
        return DP_ROLLOUT_COMPLETED;
      break;
    default:
      break;
    }
  return stored == DP_ROLLOUT_NONE ? DP_ROLLOUT_RUNNING : DP_ROLLOUT_NONE;
}

static void
write_if_due (Progress *progress,
              const DpRolloutEntry *entry,
              const DpRolloutStatus *status,
              DpUsec now)
{
  DpRolloutState wanted = wanted_in_store (entry, status, now);
  gboolean is_repeated = wanted == progress->written && entry->id == progress->written_id;
  if (wanted == DP_ROLLOUT_NONE || progress->is_writing
      || (is_repeated && now < progress->retry_at))
    return;
  write_status (progress, entry, wanted);
}

/* --- the owner's decisions --- */

/* Returns FALSE if this VM's dispatcher has no status of this order. */
static gboolean
get_status (const DpNode *node, const DpRolloutEntry *entry, DpRolloutStatus *status)
{
  const DpNodePool *pool = find_pool (node, entry->pool);
  return pool != NULL && dp_dispatcher_rollout_status (pool->dispatcher, status)
         && status->id == entry->id;
}

/* A roll-back for bad answers counts whoever has seen them. Everything else is the owner's
 * decision: others see no answers, and not what runs. */
static gboolean
is_evidence (const DpRolloutStatus *status)
{
  return status->state == DP_ROLLOUT_ROLLED_BACK
         && (status->cause == DP_ROLLOUT_CAUSE_BAD_ANSWERS
             || status->cause == DP_ROLLOUT_CAUSE_BAD_ROUTE
             || status->cause == DP_ROLLOUT_CAUSE_BAD_COUNT);
}

/* What a dispatcher has decided while this VM did not own the pool is based on none of the
 * pool's answers: it starts anew. Returns FALSE if there is no status then. */
static gboolean
begin_ownership (Progress *progress, const DpRolloutEntry *entry, DpRolloutStatus *status)
{
  if (status->state == DP_ROLLOUT_RUNNING || status->state == dp_rollout_entry_state (entry))
    return TRUE;
  progress->must_restart = TRUE;
  apply (progress->rollouts);
  return get_status (progress->rollouts->node, entry, status);
}

static void
adopt_decision (DpRollouts *rollouts,
                const DpRolloutEntry *entry,
                const DpRolloutStatus *status,
                DpUsec now)
{
  const DpRolloutNotice notice = { .pool = entry->pool,
                                   .order = entry->id,
                                   .state = status->state,
                                   .age = dp_rollout_entry_age (entry, now) };
  if (dp_rollout_orders_hear (rollouts->orders, &notice, now))
    apply (rollouts);
}

/* Returns whether `status` is set, which it is if this VM owns the pool and its dispatcher has
 * the order. */
static gboolean
follow_dispatcher (Progress *progress,
                   const DpRolloutEntry *entry,
                   gboolean owns,
                   DpRolloutStatus *status,
                   DpUsec now)
{
  DpRollouts *rollouts = progress->rollouts;
  gboolean is_first = owns && !progress->was_owner;
  progress->was_owner = owns;
  if (!get_status (rollouts->node, entry, status)
      || !dp_rollout_orders_is_active (rollouts->orders, entry->pool))
    return FALSE;
  if (!is_evidence (status) && is_first && !begin_ownership (progress, entry, status))
    return FALSE;
  if (owns || is_evidence (status))
    adopt_decision (rollouts, entry, status, now);
  return owns;
}

static void
tick_entry (DpRollouts *rollouts, const DpRolloutEntry *entry, DpUsec now)
{
  DpNode *node = rollouts->node;
  Progress *progress = ensure_progress (rollouts, entry);
  check_order (progress, entry);
  DpRolloutState before = dp_rollout_entry_state (entry);
  DpRolloutStatus status;
  gboolean owns = find_pool (node, entry->pool) != NULL && is_owner (node, entry->pool, now);
  gboolean has_status = follow_dispatcher (progress, entry, owns, &status, now);
  report (progress, entry, has_status ? &status : NULL, now);
  gboolean is_told = dp_rollout_entry_is_followed (entry)
                     && (dp_rollout_orders_count_versions (rollouts->orders, entry->pool) > 1
                         || entry->final == DP_ROLLOUT_NONE);
  if (is_told && (owns || dp_rollout_entry_state (entry) != before))
    announce (progress, entry, owns, now);
  if (owns)
    write_if_due (progress, entry, has_status ? &status : NULL, now);
}

void
dp_rollouts_tick (DpNode *node, DpUsec now)
{
  DpRollouts *rollouts = node->rollouts;
  if (rollouts == NULL)
    return;
  guint at = 0;
  const DpRolloutEntry *entry;
  while ((entry = dp_rollout_orders_next (rollouts->orders, &at)) != NULL)
    tick_entry (rollouts, entry, now);
  if (dp_rollout_orders_is_list_due (rollouts->orders))
    dp_store_watch_check_rollouts (node->store_watch);
}

/* --- status --- */

static void
add_text (struct json_object *object, const char *name, const char *text)
{
  json_object_object_add (object, name, json_object_new_string (text));
}

static void
add_number (struct json_object *object, const char *name, gint64 number)
{
  json_object_object_add (object, name, json_object_new_int64 (number));
}

static struct json_object *
make_counts (const DpRolloutCounts *counts)
{
  struct json_object *object = json_object_new_object ();
  add_number (object, "sent", (gint64)counts->sent);
  add_number (object, "good", (gint64)counts->good);
  add_number (object, "bad", (gint64)counts->bad);
  return object;
}

static void
add_progress (struct json_object *object, const DpRolloutStatus *status)
{
  add_text (object, "wanted", dp_rollout_state_name (status->state));
  add_text (object, "cause", dp_rollout_cause_name (status->cause));
  add_number (object, "step", status->step);
  add_number (object, "steps", status->steps);
  json_object_object_add (object, "share", json_object_new_double (status->share));
  add_number (object, "participants", status->participants);
  add_number (object, "new_targets", status->new_targets);
  add_number (object, "old_targets", status->old_targets);
  add_number (object, "old_running", status->old_running);
  json_object_object_add (object, "new", make_counts (&status->new_version));
  json_object_object_add (object, "old", make_counts (&status->old_version));
  json_object_object_add (object, "score", json_object_new_double (status->score));
  json_object_object_add (object, "threshold", json_object_new_double (status->threshold));
}

static struct json_object *
make_entry_status (DpNode *node, const DpRolloutEntry *entry)
{
  DpUsec now = dp_node_now ();
  gboolean is_followed = dp_rollout_entry_is_followed (entry);
  struct json_object *object = json_object_new_object ();
  add_text (object, "target", entry->row.target);
  add_text (object, "state", dp_rollout_state_name (dp_rollout_entry_state (entry)));
  add_text (object, "stored", dp_rollout_state_name (entry->row.state));
  add_text (object, "order",
            is_followed ? "followed" : (entry->is_withdrawn ? "withdrawn" : "invalid"));
  add_number (object, "age_ms", dp_rollout_entry_age (entry, now) / DP_USEC_PER_MSEC);
  add_number (object, "duration_ms", entry->row.duration / DP_USEC_PER_MSEC);
  add_number (object, "revision", (gint64)entry->row.revision);
  gboolean owns = is_owner (node, entry->pool, now);
  json_object_object_add (object, "is_owner", json_object_new_boolean (owns));
  DpRolloutStatus status;
  if (owns && get_status (node, entry, &status))
    add_progress (object, &status);
  return object;
}

void
dp_rollouts_add_status (const DpNode *node, struct json_object *status)
{
  if (node->rollouts == NULL)
    return;
  struct json_object *list = json_object_new_object ();
  guint at = 0;
  const DpRolloutEntry *entry;
  while ((entry = dp_rollout_orders_next (node->rollouts->orders, &at)) != NULL)
    json_object_object_add (list, entry->row.service,
                            make_entry_status (node->rollouts->node, entry));
  json_object_object_add (status, "rollouts", list);
}
