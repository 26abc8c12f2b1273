#include "entry/shell.h"

#include "common/log.h"
#include "core/entry.h"
#include "entry/attempt.h"
#include "entry/caller.h"
#include "entry/store.h"

/* Maximum unsent bytes of an answer, buffered for a caller that reads slowly. */
#define UNREAD_BYTES_MAX ((gsize)1024 * 1024)

typedef struct Shell
{
  const DpEntrySettings *settings;
  DpProcess *process;
  DpEntryCore *core;
  DpHttpServer *server;
  DpAttempts *attempts;
  DpClaimStore *store;
  GHashTable *callers;           /* DpCaller -> DpEntryCaller */
  DpCaller last_caller;          /* number of the newest caller */
  GArray *actions;               /* DpEntryAction; empty between events */
  const DpChatEvent *chat_event; /* parsed stream event of the event being handled, or NULL */
  const void *chat_event_data;   /* bytes of `chat_event` */
} Shell;

/* User data of on_caller_gone(). */
typedef struct CallerGoneData
{
  Shell *shell;
  DpCaller number;
} CallerGoneData;

static void handle_event (Shell *shell, DpEntryEvent *event);

static DpEntryCaller *
find_caller (Shell *shell, DpCaller number)
{
  return g_hash_table_lookup (shell->callers, &number);
}

static void
remove_caller (Shell *shell, DpEntryCaller *caller, const char *end, const char *reason)
{
  dp_entry_caller_log (caller, dp_process_manifest (shell->process), end, reason,
                       dp_process_now ());
  DpCaller number = caller->number;
  g_hash_table_remove (shell->callers, &number);
}

/* --- actions --- */

/* Closes the caller's connection in the next loop iteration; on_caller_gone() then notifies the
 * core. */
static void
drop_oversized_answer (Shell *shell, DpEntryCaller *caller)
{
  dp_counters_add (dp_process_counters (shell->process), "dogwoodplank_answers_too_large_total",
                   NULL, NULL, 1);
  dp_http_exchange_disconnect (caller->exchange);
}

static void
forward (Shell *shell, const DpForward *forward)
{
  DpEntryCaller *caller = find_caller (shell, forward->caller);
  if (caller == NULL)
    return;
  const DpChatEvent *chat = forward->data == shell->chat_event_data ? shell->chat_event : NULL;
  if (!dp_entry_caller_forward (caller, forward->data, forward->length, chat,
                                dp_process_now ()))
    drop_oversized_answer (shell, caller);
}

static void
send_problem (Shell *shell, const DpProblem *problem)
{
  DpEntryCaller *caller = find_caller (shell, problem->caller);
  if (caller == NULL)
    return;
  dp_entry_caller_send_problem (caller, problem);
  remove_caller (shell, caller, "refused", dp_reason_name (problem->reason));
}

static void
dispatch (Shell *shell, const DpDispatch *dispatch)
{
  DpEntryCaller *caller = find_caller (shell, dispatch->caller);
  if (caller != NULL)
    {
      dp_attempts_start (shell->attempts, dispatch, caller);
      return;
    }
  /* The request body was freed with the caller. */
  dp_attempts_report_unsent (shell->attempts, dispatch->attempt);
}

static void
perform_action (Shell *shell, DpEntryAction *action)
{
  DpEntryCaller *caller;
  switch (action->type)
    {
    case DP_ENTRY_ACTION_SEND:
      dp_process_send (shell->process, action->to, &action->message);
      break;
    case DP_ENTRY_ACTION_DISPATCH:
      dispatch (shell, &action->dispatch);
      break;
    case DP_ENTRY_ACTION_CANCEL:
      dp_attempts_cancel (shell->attempts, action->cancel);
      break;
    case DP_ENTRY_ACTION_HEAD:
      caller = find_caller (shell, action->head.caller);
      if (caller != NULL)
        dp_entry_caller_start_answer (caller, &action->head);
      break;
    case DP_ENTRY_ACTION_FORWARD:
      forward (shell, &action->forward);
      break;
    case DP_ENTRY_ACTION_END:
      caller = find_caller (shell, action->end);
      if (caller == NULL)
        break;
      dp_entry_caller_end (caller, dp_process_wall_time ());
      remove_caller (shell, caller, "complete", NULL);
      break;
    case DP_ENTRY_ACTION_PROBLEM:
      send_problem (shell, &action->problem);
      break;
    case DP_ENTRY_ACTION_REPLAY:
      caller = find_caller (shell, action->replay.caller);
      if (caller == NULL)
        break;
      dp_entry_caller_send_replay (caller, &action->replay);
      remove_caller (shell, caller, "replayed", NULL);
      break;
    case DP_ENTRY_ACTION_ABORT:
      caller = find_caller (shell, action->abort.caller);
      if (caller == NULL)
        break;
      dp_entry_caller_abort (caller);
      remove_caller (shell, caller, "broken_off", dp_reason_name (action->abort.reason));
      break;
    case DP_ENTRY_ACTION_CLAIM_READ:
      dp_claim_store_read (shell->store, action->claim_read);
      break;
    case DP_ENTRY_ACTION_CLAIM_WRITE:
      dp_claim_store_write (shell->store, &action->claim_write);
      break;
    }
}

/* A stopping entry quits when no request is open and all answers are written. */
static void
quit_if_done (Shell *shell)
{
  if (dp_process_is_stopping (shell->process) && dp_entry_open_requests (shell->core) == 0
      && dp_http_server_is_idle (shell->server))
    dp_process_quit (shell->process);
}

/* Not reentrant: no action may cause another event before the next loop iteration. */
static void
handle_event (Shell *shell, DpEntryEvent *event)
{
  event->now = dp_process_now ();
  event->wall = dp_process_wall_time ();
  dp_entry_handle (shell->core, event, shell->actions);
  for (guint i = 0; i < shell->actions->len; i++)
    perform_action (shell, &g_array_index (shell->actions, DpEntryAction, i));
  g_array_set_size (shell->actions, 0);
}

/* --- events --- */

static void
on_caller_gone (gpointer user)
{
  CallerGoneData *gone = user;
  Shell *shell = gone->shell;
  DpEntryCaller *caller = find_caller (shell, gone->number);
  if (caller == NULL)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = gone->number };
  caller->exchange = NULL;
  remove_caller (shell, caller, "caller_gone", NULL);
  handle_event (shell, &event);
}

static void
refuse_invalid_request (Shell *shell, DpEntryCaller *caller)
{
  const DpProblem problem = { .caller = caller->number,
                              .status = dp_reason_status (DP_REASON_BAD_REQUEST),
                              .reason = DP_REASON_BAD_REQUEST,
                              .outcome = DP_OUTCOME_NOT_RUN,
                              .detail = caller->request->problem };
  dp_counters_add (dp_process_counters (shell->process), "dogwoodplank_refusals_total",
                   "reason", dp_reason_name (DP_REASON_BAD_REQUEST), 1);
  send_problem (shell, &problem);
}

static void
on_exchange (gpointer user, DpHttpExchange *exchange)
{
  Shell *shell = user;
  DpEntryCaller *caller
    = dp_entry_caller_new (++shell->last_caller, exchange, dp_process_now ());
  g_hash_table_insert (shell->callers, &caller->number, caller);
  CallerGoneData *gone = g_new (CallerGoneData, 1);
  *gone = (CallerGoneData){ shell, caller->number };
  dp_http_exchange_set_close_callback (exchange, on_caller_gone, gone, g_free);
  if (caller->request->problem != NULL)
    {
      refuse_invalid_request (shell, caller);
      return;
    }
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_REQUEST };
  event.request = dp_entry_request_event (caller->request, caller->number);
  handle_event (shell, &event);
}

static void
on_attempt_event (gpointer user, DpEntryEvent *event, const DpChatEvent *chat)
{
  Shell *shell = user;
  shell->chat_event = chat;
  shell->chat_event_data = chat != NULL ? event->chunk.data : NULL;
  handle_event (shell, event);
  shell->chat_event = NULL;
  shell->chat_event_data = NULL;
}

static void
on_claim_reply (gpointer user, const DpClaimReply *reply)
{
  handle_event (user, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_CLAIM_REPLY, .claim = *reply });
}

static void
on_manifest (gpointer user, DpManifest *manifest)
{
  handle_event (user, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_MANIFEST, .manifest = manifest });
}

static void
on_view (gpointer user, DpView *view)
{
  handle_event (user, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_VIEW, .view = view });
}

static void
on_message (gpointer user, DpPeer from, const DpMessage *message)
{
  handle_event (
    user, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_MESSAGE, .from = from, .message = message });
}

static void
on_tick (gpointer user)
{
  Shell *shell = user;
  handle_event (shell, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_TICK });
  DpCounters *counters = dp_process_counters (shell->process);
  dp_counters_set (counters, "dogwoodplank_open_requests", NULL, NULL,
                   dp_entry_open_requests (shell->core));
  dp_counters_set (counters, "dogwoodplank_open_attempts", NULL, NULL,
                   dp_attempts_count (shell->attempts));
  quit_if_done (shell);
}

static guint
on_open_requests (gpointer user)
{
  const Shell *shell = user;
  return dp_entry_open_requests (shell->core);
}

static void
on_status (gpointer user, struct json_object *status)
{
  const Shell *shell = user;
  json_object_object_add (status, "open_requests",
                          json_object_new_uint64 (dp_entry_open_requests (shell->core)));
  json_object_object_add (status, "open_attempts",
                          json_object_new_uint64 (dp_attempts_count (shell->attempts)));
}

static void
on_stop (gpointer user)
{
  Shell *shell = user;
  dp_http_server_stop_accepting (shell->server);
  handle_event (shell, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_STOP });
}

static const DpProcessCallbacks callbacks = { .manifest = on_manifest,
                                              .view = on_view,
                                              .message = on_message,
                                              .tick = on_tick,
                                              .open_requests = on_open_requests,
                                              .status = on_status,
                                              .stop = on_stop };

/* --- startup and shutdown --- */

static void
create_core (Shell *shell)
{
  const DpEntrySettings *settings = shell->settings;
  const DpEntryOptions options = { .vm = dp_name (settings->process.name),
                                   .data_centre = dp_name (settings->process.data_centre),
                                   .incarnation = dp_process_incarnation (shell->process),
                                   .seed = dp_process_random (),
                                   .requests_max = settings->requests_max,
                                   .counters = dp_process_counters (shell->process) };
  shell->core = dp_entry_core_new (&options);
  shell->actions = dp_entry_actions_new ();
}

static void
create_attempts (Shell *shell)
{
  const DpEntrySettings *settings = shell->settings;
  const DpAttemptsOptions options
    = { .base = dp_process_base (shell->process),
        .connect_timeout = settings->connect_timeout_ms * DP_USEC_PER_MSEC,
        .first_byte_timeout = settings->first_byte_timeout_ms * DP_USEC_PER_MSEC,
        .idle_timeout = settings->idle_timeout_ms * DP_USEC_PER_MSEC,
        .counters = dp_process_counters (shell->process),
        .handler = on_attempt_event,
        .user = shell };
  shell->attempts = dp_attempts_new (&options);
}

static void
create_store (Shell *shell)
{
  const DpEntrySettings *settings = shell->settings;
  const DpClaimStoreOptions options
    = { .base = dp_process_base (shell->process),
        .address = settings->platform_address,
        .port = settings->platform_port,
        .calls_per_second = settings->platform_calls_per_second,
        .timeout = settings->platform_timeout_ms * DP_USEC_PER_MSEC,
        .counters = dp_process_counters (shell->process),
        .callback = on_claim_reply,
        .user = shell };
  shell->store = dp_claim_store_new (&options);
}

static void
create_server (Shell *shell, DpDiagnostics *diagnostics)
{
  const DpEntrySettings *settings = shell->settings;
  const DpHttpServerOptions options
    = { .base = dp_process_base (shell->process),
        .address = settings->process.address,
        .port = settings->caller_port,
        .name = "callers",
        .head_max = settings->header_bytes_max,
        .body_max = settings->body_bytes_max,
        .read_timeout = settings->read_timeout_ms * DP_USEC_PER_MSEC,
        .write_timeout = settings->write_timeout_ms * DP_USEC_PER_MSEC,
        .write_buffer_max = UNREAD_BYTES_MAX,
        .exchanges_max = settings->requests_max,
        .connections_max = settings->connections_max,
        .request_timeout = settings->request_read_timeout_ms * DP_USEC_PER_MSEC,
        .counters = dp_process_counters (shell->process),
        .handler = on_exchange,
        .user = shell };
  shell->server = dp_http_server_new (&options);
  if (shell->server == NULL)
    dp_diagnostics_add (diagnostics, NULL, 0, NULL, "caller listener: cannot bind %s:%u",
                        settings->process.address, settings->caller_port);
}

static void
free_caller (gpointer data)
{
  dp_entry_caller_free (data);
}

static void
free_members (Shell *shell)
{
  dp_http_server_free (shell->server);
  dp_attempts_free (shell->attempts);
  dp_claim_store_free (shell->store);
  g_hash_table_unref (shell->callers);
  dp_entry_core_unref (shell->core);
  g_array_unref (shell->actions);
}

gboolean
dp_entry_run (const DpEntrySettings *settings, DpDiagnostics *diagnostics)
{
  Shell shell = { .settings = settings };
  const DpProcessOptions options = { .program = "dogwoodplank-entry",
                                     .role = DP_ROLE_ENTRY,
                                     .settings = &settings->process,
                                     .callbacks = &callbacks,
                                     .user = &shell };
  shell.process = dp_process_new (&options, diagnostics);
  if (shell.process == NULL)
    return FALSE;
  shell.callers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_caller);
  create_core (&shell);
  create_attempts (&shell);
  create_store (&shell);
  create_server (&shell, diagnostics);
  gboolean ok = shell.server != NULL && dp_process_load_static (shell.process, diagnostics);
  if (ok)
    dp_process_run (shell.process);
  free_members (&shell);
  dp_process_free (shell.process);
  return ok;
}
