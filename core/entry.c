/* Creates the core of an entry process and passes events to the modules. */
#include "core/entry_private.h"

#include <string.h>

/* A gap between events longer than this means that the process was paused, since ticks are far
 * more frequent. */
#define PAUSE_MIN DP_USEC_PER_SEC

static guint
bucket_hash (gconstpointer key)
{
  const DpBucketId *id = key;
  return id->slot * 31 + id->index;
}

static gboolean
bucket_equal (gconstpointer a, gconstpointer b)
{
  const DpBucketId *left = a;
  const DpBucketId *right = b;
  return left->slot == right->slot && left->index == right->index;
}

static void
request_clear (gpointer row)
{
  Request *request = row;
  entry_routes_unref (request->routes);
  g_clear_pointer (&request->tried_groups, g_array_unref);
  g_clear_pointer (&request->end_event, g_byte_array_unref);
  g_clear_pointer (&request->record, g_byte_array_unref);
}

static void
claim_clear (gpointer row)
{
  Claim *claim = row;
  g_clear_pointer (&claim->waiters, g_array_unref);
  dp_claim_record_clear (&claim->record);
}

static GHashTable *
new_name_table (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

DpEntryCore *
dp_entry_core_new (const DpEntryOptions *options)
{
  DpEntryCore *core = g_new0 (DpEntryCore, 1);
  g_atomic_ref_count_init (&core->refs);
  core->options = *options;
  if (options->counters != NULL)
    dp_counters_ref (options->counters);
  else
    core->options.counters = dp_counters_new ();
  DpTableOptions requests = { .row_size = sizeof (Request), .clear_row = request_clear };
  core->requests = dp_table_new (&requests);
  DpTableOptions claims = { .row_size = sizeof (Claim), .clear_row = claim_clear };
  core->claims = dp_table_new (&claims);
  core->callers = new_name_table ();
  core->attempts = g_hash_table_new_full (dp_id_hash, dp_id_equal_func, g_free, g_free);
  core->claim_index = g_hash_table_new_full (dp_id_hash, dp_id_equal_func, g_free, g_free);
  core->buckets = g_hash_table_new_full (bucket_hash, bucket_equal, NULL, entry_bucket_free);
  core->groups = new_name_table ();
  core->vms = new_name_table ();
  core->quarantine = entry_quarantine_new ();
  core->budgets = new_name_table ();
  core->limits = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, entry_limit_free);
  core->retained = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  return core;
}

DpEntryCore *
dp_entry_core_ref (DpEntryCore *core)
{
  g_atomic_ref_count_inc (&core->refs);
  return core;
}

void
dp_entry_core_unref (DpEntryCore *core)
{
  if (core == NULL || !g_atomic_ref_count_dec (&core->refs))
    return;
  dp_table_unref (core->requests);
  dp_table_unref (core->claims);
  g_hash_table_unref (core->callers);
  g_hash_table_unref (core->attempts);
  g_hash_table_unref (core->claim_index);
  g_hash_table_unref (core->buckets);
  g_hash_table_unref (core->groups);
  g_hash_table_unref (core->vms);
  dp_quarantine_free (core->quarantine);
  g_hash_table_unref (core->budgets);
  g_hash_table_unref (core->limits);
  g_ptr_array_unref (core->retained);
  entry_routes_unref (core->routes);
  dp_view_unref (core->view);
  dp_counters_unref (core->options.counters);
  g_free (core);
}

DpEntryAction *
entry_add_action (DpEntryCore *core, DpEntryActionType type)
{
  g_array_set_size (core->actions, core->actions->len + 1);
  DpEntryAction *action = &g_array_index (core->actions, DpEntryAction, core->actions->len - 1);
  memset (action, 0, sizeof *action);
  action->type = type;
  return action;
}

void
entry_send (DpEntryCore *core, DpPeer to, const DpMessage *message)
{
  DpEntryAction *action = entry_add_action (core, DP_ENTRY_ACTION_SEND);
  action->to = to;
  action->message = *message;
}

void
entry_count (DpEntryCore *core, const char *name, const char *label, const char *value)
{
  dp_counters_add (core->options.counters, name, label, value, 1);
}

Request *
entry_request (DpEntryCore *core, DpHandle handle)
{
  return dp_table_get (core->requests, handle);
}

Request *
entry_request_by_attempt (DpEntryCore *core, DpId attempt)
{
  DpHandle *handle = g_hash_table_lookup (core->attempts, &attempt);
  return handle != NULL ? entry_request (core, *handle) : NULL;
}

DpId
entry_make_attempt_id (DpEntryCore *core)
{
  guint64 parts[4]
    = { core->options.vm, core->options.incarnation, core->options.seed, ++core->next_attempt };
  DpId id = { dp_hash_bytes (parts, sizeof parts, 1), dp_hash_bytes (parts, sizeof parts, 2) };
  return id;
}

void
entry_new_attempt (DpEntryCore *core, Request *request)
{
  if (!dp_id_is_none (request->attempt))
    g_hash_table_remove (core->attempts, &request->attempt);
  request->attempt = entry_make_attempt_id (core);
  g_hash_table_insert (core->attempts, g_memdup2 (&request->attempt, sizeof (DpId)),
                       g_memdup2 (&request->handle, sizeof (DpHandle)));
}

void
entry_remove_request (DpEntryCore *core, Request *request)
{
  if (!dp_id_is_none (request->attempt))
    g_hash_table_remove (core->attempts, &request->attempt);
  g_hash_table_remove (core->callers, &request->caller);
  entry_limits_release (core, request);
  dp_table_remove (core->requests, request->handle);
}

VmState *
entry_vm (DpEntryCore *core, DpName name)
{
  VmState *state = g_hash_table_lookup (core->vms, &name);
  if (state == NULL)
    {
      state = g_new0 (VmState, 1);
      g_hash_table_insert (core->vms, g_memdup2 (&name, sizeof name), state);
    }
  return state;
}

const DpTier *
entry_tier (const Request *request)
{
  return DP_MANIFEST_ROW (request->routes->manifest, tiers, DpTier, request->tier);
}

const DpPool *
entry_pool (const Request *request)
{
  return DP_MANIFEST_ROW (request->routes->manifest, pools, DpPool, request->pool);
}

static void
on_manifest (DpEntryCore *core, DpManifest *manifest)
{
  if (core->routes != NULL && manifest->revision < core->routes->manifest->revision)
    {
      entry_count (core, "dogwoodplank_older_manifests_total", NULL, NULL);
      return;
    }
  entry_routes_unref (core->routes);
  core->routes = entry_routes_new (manifest, core->options.data_centre);
}

/* Stores the view and records since when each VM has been dead. */
static void
on_view (DpEntryCore *core, DpView *view)
{
  dp_view_unref (core->view);
  core->view = dp_view_ref (view);
  for (guint i = 0; i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      VmState *state = entry_vm (core, vm->name);
      if (vm->state != DP_VM_DEAD)
        state->dead_since = 0;
      else if (state->dead_since == 0)
        state->dead_since = core->now;
    }
}

static void
on_message (DpEntryCore *core, DpPeer from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
    case DP_MESSAGE_GRANT_QUEUED:
    case DP_MESSAGE_GRANT_REFUSED:
    case DP_MESSAGE_GRANT_REVOKED:
    case DP_MESSAGE_ADVERT:
      entry_grants_on_message (core, from, message);
      break;
    case DP_MESSAGE_HOLDER_ASK:
      entry_holders_on_query (core, from, &message->holder_ask);
      break;
    case DP_MESSAGE_HOLDER_ANSWER:
      entry_holders_on_answer (core, from, &message->holder_answer);
      break;
    case DP_MESSAGE_LIMIT_GIVEN:
      entry_limits_on_given (core, from, &message->limit_given);
      break;
    case DP_MESSAGE_QUARANTINE:
      entry_quarantine_on_message (core, &message->quarantine);
      break;
    default:
      entry_count (core, "dogwoodplank_unexpected_messages_total", NULL, NULL);
      break;
    }
}

static void
on_tick (DpEntryCore *core)
{
  entry_answers_tick (core);
  entry_holders_tick (core);
  entry_grants_tick (core);
  entry_heartbeat_tick (core);
  entry_quarantine_tick (core);
  entry_limits_tick (core);
  entry_buckets_tick (core);
}

static void
dispatch_event (DpEntryCore *core, const DpEntryEvent *event)
{
  switch (event->type)
    {
    case DP_ENTRY_EVENT_MANIFEST:
      on_manifest (core, event->manifest);
      break;
    case DP_ENTRY_EVENT_VIEW:
      on_view (core, event->view);
      break;
    case DP_ENTRY_EVENT_REQUEST:
      entry_admit (core, &event->request);
      break;
    case DP_ENTRY_EVENT_CALLER_GONE:
      entry_attempts_on_caller_gone (core, event->caller_gone);
      break;
    case DP_ENTRY_EVENT_MESSAGE:
      on_message (core, event->from, event->message);
      break;
    case DP_ENTRY_EVENT_TARGET_HEAD:
      entry_attempts_on_head (core, &event->head);
      break;
    case DP_ENTRY_EVENT_TARGET_CHUNK:
      entry_attempts_on_chunk (core, &event->chunk);
      break;
    case DP_ENTRY_EVENT_TARGET_END:
      entry_attempts_on_end (core, &event->end);
      break;
    case DP_ENTRY_EVENT_TARGET_FAILED:
      entry_attempts_on_failed (core, &event->failed);
      break;
    case DP_ENTRY_EVENT_CLAIM_REPLY:
      entry_buckets_on_reply (core, &event->claim);
      break;
    case DP_ENTRY_EVENT_TICK:
      on_tick (core);
      break;
    case DP_ENTRY_EVENT_STOP:
      core->stopping = TRUE;
      break;
    }
}

/* After a pause, answers overdue requests and stops relying on claims, grants and bucket
 * contents from before it. */
static void
check_for_pause (DpEntryCore *core)
{
  gboolean paused = core->last_event_at != 0 && core->now - core->last_event_at > PAUSE_MIN;
  core->last_event_at = core->now;
  if (!paused)
    return;
  entry_count (core, "dogwoodplank_pauses_total", NULL, NULL);
  entry_answers_tick (core);
  entry_buckets_after_pause (core);
  entry_claims_after_pause (core);
  entry_grants_after_pause (core);
}

void
dp_entry_handle (DpEntryCore *core, const DpEntryEvent *event, GArray *actions)
{
  core->now = event->now;
  core->wall = event->wall;
  core->actions = actions;
  g_ptr_array_set_size (core->retained, 0);
  check_for_pause (core);
  dispatch_event (core, event);
  entry_buckets_start_operations (core);
  core->actions = NULL;
}

guint
dp_entry_open_requests (const DpEntryCore *core)
{
  return dp_table_count (core->requests) + entry_claims_count_unwritten ((DpEntryCore *)core);
}
