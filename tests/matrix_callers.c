/* Simulated callers, which retry failed requests with the same key on another VM. */
#include "tests/matrix.h"

#include <string.h>

#define RETRY_DELAY (300 * DP_USEC_PER_MSEC)
#define RETRIES 3

Caller *
caller_find (Simulation *sim, DpCaller number)
{
  g_assert (number >= 1 && number <= sim->callers->len);
  return g_ptr_array_index (sim->callers, number - 1);
}

char *
caller_expected_answer (RequestKind kind, guint64 body)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < ANSWER_TOKENS; i++)
    g_string_append_printf (text, "%" G_GUINT64_FORMAT "-%u;", body, i);
  if (kind == KIND_CHAT)
    g_string_append (text, "[END]");
  return g_string_free (text, FALSE);
}

static DpRequestIn
make_request (const Caller *caller)
{
  static const char *const paths[] = {
    [KIND_BOOKING] = "/services/rota/bookings",
    [KIND_CHAT] = "/v1/chat/completions",
    [KIND_REPEATABLE] = "/services/rota/verges",
    [KIND_OUTCOME_QUERY] = "/services/rota/bookings",
  };
  gboolean is_post = caller->kind == KIND_BOOKING || caller->kind == KIND_CHAT;
  DpRequestIn in = {
    .caller = caller->number,
    .key_sha256 = FIXTURE_KEY,
    .method = is_post ? "POST" : "GET",
    .path = paths[caller->kind],
    .model = caller->kind == KIND_CHAT ? "verge" : NULL,
    .stream = caller->kind == KIND_CHAT,
    .timeout = CALLER_TIMEOUT,
    .idempotency_key = caller->key,
    .body_hash = caller->body,
    .prompt_tokens = CALLER_PROMPT_TOKENS,
    .outcome_query = caller->kind == KIND_OUTCOME_QUERY,
  };
  return in;
}

static void
retry (Simulation *sim, const Caller *caller)
{
  if (caller->retries_left == 0 || sim->stopping)
    return;
  guint vm = (caller->vm + 1 + (guint)g_rand_int_range (sim->rand, 0, SIMULATED_VMS - 1))
             % SIMULATED_VMS;
  guint retries_left = caller->retries_left - 1;
  guint64 body = caller->body;
  Caller *next = caller_add (sim, caller->kind, caller->operation, vm, sim->now + RETRY_DELAY);
  next->retries_left = retries_left;
  next->body = body;
}

static void
record_final_answer (Simulation *sim, Caller *caller, FinalAnswer final)
{
  caller->final_count += 1;
  caller->final = final;
  caller->final_at = sim->now;
  simulation_log (sim, "caller %" G_GUINT64_FORMAT " (operation %u, vm %u): final %d %s %s",
                  caller->number, caller->operation, caller->vm, final,
                  final == FINAL_PROBLEM ? dp_reason_name (caller->reason) : "",
                  final == FINAL_PROBLEM ? dp_outcome_name (caller->outcome) : "");
  if (final == FINAL_PROBLEM || final == FINAL_ENTRY_CRASHED || final == FINAL_ABORT)
    retry (sim, caller);
}

static void
send_request (Simulation *sim, gpointer data)
{
  Caller *caller = data;
  if (sim->stopping)
    return;
  caller->sent_at = sim->now;
  SimulatedVm *vm = &sim->vms[caller->vm];
  caller->vm_frozen_until = vm->frozen_until;
  if (!vm->alive)
    {
      record_final_answer (sim, caller, FINAL_ENTRY_CRASHED);
      return;
    }
  caller->connected = TRUE;
  if (!simulation_reach_step (sim, caller->vm, caller->kind, STEP_ARRIVAL)
      || caller->final != FINAL_NONE)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_REQUEST, .request = make_request (caller) };
  simulation_deliver (sim, caller->vm, vm->generation, event, NULL);
}

Caller *
caller_add (Simulation *sim, RequestKind kind, guint operation, guint vm, DpUsec at)
{
  Caller *caller = g_new0 (Caller, 1);
  g_ptr_array_add (sim->callers, caller);
  caller->number = sim->callers->len;
  caller->kind = kind;
  caller->operation = operation;
  caller->vm = vm;
  caller->sent_at = at;
  caller->key = fixture_uuid (FIXTURE_WALL, operation);
  caller->body = operation;
  caller->retries_left = RETRIES;
  caller->text = g_string_new (NULL);
  simulation_schedule (sim, at, send_request, caller);
  return caller;
}

void
caller_on_action (Simulation *sim, const DpEntryAction *action)
{
  Caller *caller;
  switch (action->type)
    {
    case DP_ENTRY_ACTION_HEAD:
      caller = caller_find (sim, action->head.caller);
      if (!action->head.stream)
        g_string_truncate (caller->text, 0);
      else if (caller->text->len > 0)
        g_string_append (caller->text, "<second head>");
      break;
    case DP_ENTRY_ACTION_FORWARD:
      caller = caller_find (sim, action->forward.caller);
      if (caller->final_count > 0)
        g_string_append (caller->text, "<after the end>");
      g_string_append_len (caller->text, action->forward.data, (gssize)action->forward.length);
      break;
    case DP_ENTRY_ACTION_END:
      record_final_answer (sim, caller_find (sim, action->end), FINAL_END);
      break;
    case DP_ENTRY_ACTION_PROBLEM:
      caller = caller_find (sim, action->problem.caller);
      caller->reason = action->problem.reason;
      caller->outcome = action->problem.outcome;
      record_final_answer (sim, caller, FINAL_PROBLEM);
      break;
    case DP_ENTRY_ACTION_REPLAY:
      caller = caller_find (sim, action->replay.caller);
      g_string_truncate (caller->text, 0);
      if (action->replay.body != NULL)
        g_string_append_len (caller->text, g_bytes_get_data (action->replay.body, NULL),
                             (gssize)g_bytes_get_size (action->replay.body));
      record_final_answer (sim, caller, FINAL_REPLAY);
      break;
    case DP_ENTRY_ACTION_ABORT:
      record_final_answer (sim, caller_find (sim, action->abort.caller), FINAL_ABORT);
      break;
    default:
      break;
    }
}

void
callers_on_vm_crash (Simulation *sim, guint vm)
{
  /* record_final_answer() appends retries to the callers. */
  guint count = sim->callers->len;
  for (guint i = 0; i < count; i++)
    {
      Caller *caller = g_ptr_array_index (sim->callers, i);
      if (caller->vm == vm && caller->connected && caller->final == FINAL_NONE)
        record_final_answer (sim, caller, FINAL_ENTRY_CRASHED);
    }
}

void
callers_on_vm_freeze (Simulation *sim, guint vm, DpUsec until)
{
  for (guint i = 0; i < sim->callers->len; i++)
    {
      Caller *caller = g_ptr_array_index (sim->callers, i);
      if (caller->vm == vm && caller->final == FINAL_NONE)
        caller->vm_frozen_until = until;
    }
}

void
callers_disconnect (Simulation *sim, guint vm)
{
  guint count = sim->callers->len;
  for (guint i = 0; i < count; i++)
    {
      Caller *caller = g_ptr_array_index (sim->callers, i);
      if (caller->vm != vm || !caller->connected || caller->final != FINAL_NONE)
        continue;
      caller->final = FINAL_DISCONNECTED;
      caller->final_at = sim->now;
      DpEntryEvent event
        = { .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = caller->number };
      simulation_queue_event (sim, vm, event);
    }
}

void
callers_clear (Simulation *sim)
{
  for (guint i = 0; i < sim->callers->len; i++)
    {
      Caller *caller = g_ptr_array_index (sim->callers, i);
      g_free (caller->key);
      g_string_free (caller->text, TRUE);
      g_free (caller);
    }
  g_ptr_array_unref (sim->callers);
}
