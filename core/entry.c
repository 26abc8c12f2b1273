/* The blackboard's life, and the order in which controllers see an event. */
#include "core/entry_board.h"

#include <string.h>

/* A process that saw no event for this long was paused: ticks come far more often. */
#define PAUSE_BOUND DP_USEC_PER_SEC

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
  g_clear_pointer (&request->tail, g_byte_array_unref);
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

DpEntryBoard *
dp_entry_board_new (const DpEntryOptions *options)
{
  DpEntryBoard *board = g_new0 (DpEntryBoard, 1);
  g_atomic_ref_count_init (&board->refs);
  board->options = *options;
  if (options->counters != NULL)
    dp_counters_ref (options->counters);
  else
    board->options.counters = dp_counters_new ();
  DpTableOptions requests = { .row_size = sizeof (Request), .clear_row = request_clear };
  board->requests = dp_table_new (&requests);
  DpTableOptions claims = { .row_size = sizeof (Claim), .clear_row = claim_clear };
  board->claims = dp_table_new (&claims);
  board->callers = new_name_table ();
  board->attempts = g_hash_table_new_full (dp_id_hash, dp_id_same, g_free, g_free);
  board->claim_index = g_hash_table_new_full (dp_id_hash, dp_id_same, g_free, g_free);
  board->buckets = g_hash_table_new_full (bucket_hash, bucket_equal, NULL, entry_bucket_free);
  board->groups = new_name_table ();
  board->vms = new_name_table ();
  board->quarantine = entry_quarantine_new ();
  board->budgets = new_name_table ();
  board->limits = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, entry_limit_free);
  board->kept = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  return board;
}

DpEntryBoard *
dp_entry_board_ref (DpEntryBoard *board)
{
  g_atomic_ref_count_inc (&board->refs);
  return board;
}

void
dp_entry_board_unref (DpEntryBoard *board)
{
  if (board == NULL || !g_atomic_ref_count_dec (&board->refs))
    return;
  dp_table_unref (board->requests);
  dp_table_unref (board->claims);
  g_hash_table_unref (board->callers);
  g_hash_table_unref (board->attempts);
  g_hash_table_unref (board->claim_index);
  g_hash_table_unref (board->buckets);
  g_hash_table_unref (board->groups);
  g_hash_table_unref (board->vms);
  dp_quarantine_free (board->quarantine);
  g_hash_table_unref (board->budgets);
  g_hash_table_unref (board->limits);
  g_ptr_array_unref (board->kept);
  entry_routes_unref (board->routes);
  dp_view_unref (board->view);
  dp_counters_unref (board->options.counters);
  g_free (board);
}

DpEntryAction *
entry_add_action (DpEntryBoard *board, DpEntryActionType type)
{
  g_array_set_size (board->actions, board->actions->len + 1);
  DpEntryAction *action
    = &g_array_index (board->actions, DpEntryAction, board->actions->len - 1);
  memset (action, 0, sizeof *action);
  action->type = type;
  return action;
}

void
entry_send (DpEntryBoard *board, DpPeer to, const DpMessage *message)
{
  DpEntryAction *action = entry_add_action (board, DP_ENTRY_ACTION_SEND);
  action->to = to;
  action->message = *message;
}

void
entry_count (DpEntryBoard *board, const char *name, const char *label, const char *value)
{
  dp_counters_add (board->options.counters, name, label, value, 1);
}

Request *
entry_request (DpEntryBoard *board, DpHandle handle)
{
  return dp_table_get (board->requests, handle);
}

Request *
entry_request_by_attempt (DpEntryBoard *board, DpId attempt)
{
  DpHandle *handle = g_hash_table_lookup (board->attempts, &attempt);
  return handle != NULL ? entry_request (board, *handle) : NULL;
}

DpId
entry_make_attempt_id (DpEntryBoard *board)
{
  guint64 parts[4] = { board->options.vm, board->options.incarnation, board->options.seed,
                       ++board->next_attempt };
  DpId id = { dp_hash_bytes (parts, sizeof parts, 1), dp_hash_bytes (parts, sizeof parts, 2) };
  return id;
}

void
entry_new_attempt (DpEntryBoard *board, Request *request)
{
  if (!dp_id_is_none (request->attempt))
    g_hash_table_remove (board->attempts, &request->attempt);
  request->attempt = entry_make_attempt_id (board);
  g_hash_table_insert (board->attempts, g_memdup2 (&request->attempt, sizeof (DpId)),
                       g_memdup2 (&request->handle, sizeof (DpHandle)));
}

void
entry_remove_request (DpEntryBoard *board, Request *request)
{
  if (!dp_id_is_none (request->attempt))
    g_hash_table_remove (board->attempts, &request->attempt);
  g_hash_table_remove (board->callers, &request->caller);
  entry_limits_end (board, request);
  dp_table_remove (board->requests, request->handle);
}

VmState *
entry_vm (DpEntryBoard *board, DpName name)
{
  VmState *state = g_hash_table_lookup (board->vms, &name);
  if (state == NULL)
    {
      state = g_new0 (VmState, 1);
      g_hash_table_insert (board->vms, g_memdup2 (&name, sizeof name), state);
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
take_manifest (DpEntryBoard *board, DpManifest *manifest)
{
  if (board->routes != NULL && manifest->revision < board->routes->manifest->revision)
    {
      entry_count (board, "dogwoodplank_older_manifests_total", NULL, NULL);
      return;
    }
  entry_routes_unref (board->routes);
  board->routes = entry_routes_new (manifest, board->options.data_centre);
}

/* Remembers since when each VM has been dead. */
static void
take_view (DpEntryBoard *board, DpView *view)
{
  dp_view_unref (board->view);
  board->view = dp_view_ref (view);
  for (guint i = 0; i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      VmState *state = entry_vm (board, vm->name);
      if (vm->state != DP_VM_DEAD)
        state->dead_since = 0;
      else if (state->dead_since == 0)
        state->dead_since = board->now;
    }
}

static void
take_message (DpEntryBoard *board, DpPeer from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
    case DP_MESSAGE_GRANT_QUEUED:
    case DP_MESSAGE_GRANT_REFUSED:
    case DP_MESSAGE_GRANT_REVOKED:
    case DP_MESSAGE_ADVERT:
      entry_grants_on_message (board, from, message);
      break;
    case DP_MESSAGE_HOLDER_ASK:
      entry_holders_on_ask (board, from, &message->holder_ask);
      break;
    case DP_MESSAGE_HOLDER_ANSWER:
      entry_holders_on_answer (board, from, &message->holder_answer);
      break;
    case DP_MESSAGE_LIMIT_GIVEN:
      entry_limits_on_given (board, from, &message->limit_given);
      break;
    case DP_MESSAGE_QUARANTINE:
      entry_quarantine_on_message (board, &message->quarantine);
      break;
    default:
      entry_count (board, "dogwoodplank_unexpected_messages_total", NULL, NULL);
      break;
    }
}

static void
take_tick (DpEntryBoard *board)
{
  entry_answers_tick (board);
  entry_holders_tick (board);
  entry_grants_tick (board);
  entry_held_tick (board);
  entry_quarantine_tick (board);
  entry_limits_tick (board);
  entry_buckets_tick (board);
}

static void
take_event (DpEntryBoard *board, const DpEntryEvent *event)
{
  switch (event->type)
    {
    case DP_ENTRY_EVENT_MANIFEST:
      take_manifest (board, event->manifest);
      break;
    case DP_ENTRY_EVENT_VIEW:
      take_view (board, event->view);
      break;
    case DP_ENTRY_EVENT_REQUEST:
      entry_admit (board, &event->request);
      break;
    case DP_ENTRY_EVENT_CALLER_GONE:
      entry_attempts_caller_gone (board, event->caller_gone);
      break;
    case DP_ENTRY_EVENT_MESSAGE:
      take_message (board, event->from, event->message);
      break;
    case DP_ENTRY_EVENT_TARGET_HEAD:
      entry_attempts_on_head (board, &event->head);
      break;
    case DP_ENTRY_EVENT_TARGET_CHUNK:
      entry_attempts_on_chunk (board, &event->chunk);
      break;
    case DP_ENTRY_EVENT_TARGET_END:
      entry_attempts_on_end (board, &event->end);
      break;
    case DP_ENTRY_EVENT_TARGET_FAILED:
      entry_attempts_on_failed (board, &event->failed);
      break;
    case DP_ENTRY_EVENT_CLAIM_REPLY:
      entry_buckets_on_reply (board, &event->claim);
      break;
    case DP_ENTRY_EVENT_TICK:
      take_tick (board);
      break;
    case DP_ENTRY_EVENT_STOP:
      board->stopping = TRUE;
      break;
    }
}

/* A process that was paused answers what is overdue and trusts nothing it held before. */
static void
check_for_pause (DpEntryBoard *board)
{
  gboolean paused = board->last_event != 0 && board->now - board->last_event > PAUSE_BOUND;
  board->last_event = board->now;
  if (!paused)
    return;
  entry_count (board, "dogwoodplank_pauses_total", NULL, NULL);
  entry_answers_tick (board);
  entry_buckets_after_pause (board);
  entry_claims_after_pause (board);
  entry_grants_after_pause (board);
}

void
dp_entry_handle (DpEntryBoard *board, const DpEntryEvent *event, GArray *actions)
{
  board->now = event->now;
  board->wall = event->wall;
  board->actions = actions;
  g_ptr_array_set_size (board->kept, 0);
  check_for_pause (board);
  take_event (board, event);
  entry_buckets_run (board);
  board->actions = NULL;
}

guint
dp_entry_open_requests (const DpEntryBoard *board)
{
  return dp_table_count (board->requests) + entry_claims_unwritten ((DpEntryBoard *)board);
}
