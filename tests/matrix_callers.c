/* Callers: they send, see answers, and send again under the same key. */
#include "tests/matrix.h"

#include <string.h>

#define RETRY_PAUSE (300 * DP_USEC_PER_MSEC)
#define TRIES 3

Caller *
caller_find (World *world, DpCaller number)
{
  g_assert (number >= 1 && number <= world->callers->len);
  return g_ptr_array_index (world->callers, number - 1);
}

char *
caller_expected (RequestKind kind, guint64 body)
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
    [KIND_VERGES] = "/services/rota/verges",
    [KIND_OUTCOME] = "/services/rota/bookings",
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
    .outcome_query = caller->kind == KIND_OUTCOME,
  };
  return in;
}

static void
retry (World *world, const Caller *caller)
{
  if (caller->tries_left == 0 || world->closing)
    return;
  guint vm
    = (caller->vm + 1 + (guint)g_rand_int_range (world->rand, 0, WORLD_VMS - 1)) % WORLD_VMS;
  guint tries_left = caller->tries_left - 1;
  guint64 body = caller->body;
  Caller *next
    = caller_add (world, caller->kind, caller->operation, vm, world->now + RETRY_PAUSE);
  next->tries_left = tries_left;
  next->body = body;
}

static void
finish (World *world, Caller *caller, FinalAnswer final)
{
  caller->finals += 1;
  caller->final = final;
  caller->final_at = world->now;
  world_log (world, "caller %" G_GUINT64_FORMAT " (operation %u, vm %u): final %d %s %s",
             caller->number, caller->operation, caller->vm, final,
             final == FINAL_PROBLEM ? dp_reason_name (caller->reason) : "",
             final == FINAL_PROBLEM ? dp_outcome_name (caller->outcome) : "");
  if (final == FINAL_PROBLEM || final == FINAL_LOST || final == FINAL_BREAK)
    retry (world, caller);
}

static void
send_request (World *world, gpointer data)
{
  Caller *caller = data;
  if (world->closing)
    return;
  caller->sent_at = world->now;
  WorldVm *vm = &world->vms[caller->vm];
  caller->excused_until = vm->frozen_until;
  if (!vm->alive)
    {
      finish (world, caller, FINAL_LOST);
      return;
    }
  caller->on_its_way = TRUE;
  if (!world_step (world, caller->vm, caller->kind, STEP_ARRIVAL)
      || caller->final != FINAL_NONE)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_REQUEST, .request = make_request (caller) };
  world_deliver (world, caller->vm, vm->generation, event, NULL);
}

Caller *
caller_add (World *world, RequestKind kind, guint operation, guint vm, DpUsec at)
{
  Caller *caller = g_new0 (Caller, 1);
  g_ptr_array_add (world->callers, caller);
  caller->number = world->callers->len;
  caller->kind = kind;
  caller->operation = operation;
  caller->vm = vm;
  caller->sent_at = at;
  caller->key = fixture_uuid (FIXTURE_WALL, operation);
  caller->body = operation;
  caller->tries_left = TRIES;
  caller->text = g_string_new (NULL);
  world_at (world, at, send_request, caller);
  return caller;
}

void
caller_action (World *world, const DpEntryAction *action)
{
  Caller *caller;
  switch (action->type)
    {
    case DP_ENTRY_ACTION_HEAD:
      caller = caller_find (world, action->head.caller);
      if (!action->head.stream)
        g_string_truncate (caller->text, 0);
      else if (caller->text->len > 0)
        g_string_append (caller->text, "<second head>");
      break;
    case DP_ENTRY_ACTION_FORWARD:
      caller = caller_find (world, action->forward.caller);
      if (caller->finals > 0)
        g_string_append (caller->text, "<after the end>");
      g_string_append_len (caller->text, action->forward.data, (gssize)action->forward.length);
      break;
    case DP_ENTRY_ACTION_END:
      finish (world, caller_find (world, action->end), FINAL_END);
      break;
    case DP_ENTRY_ACTION_PROBLEM:
      caller = caller_find (world, action->problem.caller);
      caller->reason = action->problem.reason;
      caller->outcome = action->problem.outcome;
      finish (world, caller, FINAL_PROBLEM);
      break;
    case DP_ENTRY_ACTION_REPLAY:
      caller = caller_find (world, action->replay.caller);
      g_string_truncate (caller->text, 0);
      if (action->replay.body != NULL)
        g_string_append_len (caller->text, g_bytes_get_data (action->replay.body, NULL),
                             (gssize)g_bytes_get_size (action->replay.body));
      finish (world, caller, FINAL_REPLAY);
      break;
    case DP_ENTRY_ACTION_ABORT:
      finish (world, caller_find (world, action->abort.caller), FINAL_BREAK);
      break;
    default:
      break;
    }
}

void
callers_vm_died (World *world, guint vm)
{
  /* Retries are appended meanwhile. */
  guint count = world->callers->len;
  for (guint i = 0; i < count; i++)
    {
      Caller *caller = g_ptr_array_index (world->callers, i);
      if (caller->vm == vm && caller->on_its_way && caller->final == FINAL_NONE)
        finish (world, caller, FINAL_LOST);
    }
}

void
callers_vm_frozen (World *world, guint vm, DpUsec until)
{
  for (guint i = 0; i < world->callers->len; i++)
    {
      Caller *caller = g_ptr_array_index (world->callers, i);
      if (caller->vm == vm && caller->final == FINAL_NONE)
        caller->excused_until = until;
    }
}

void
callers_leave (World *world, guint vm)
{
  guint count = world->callers->len;
  for (guint i = 0; i < count; i++)
    {
      Caller *caller = g_ptr_array_index (world->callers, i);
      if (caller->vm != vm || !caller->on_its_way || caller->final != FINAL_NONE)
        continue;
      caller->final = FINAL_LEFT;
      caller->final_at = world->now;
      DpEntryEvent event
        = { .type = DP_ENTRY_EVENT_CALLER_GONE, .caller_gone = caller->number };
      world_deliver_later (world, vm, event);
    }
}

void
callers_clear (World *world)
{
  for (guint i = 0; i < world->callers->len; i++)
    {
      Caller *caller = g_ptr_array_index (world->callers, i);
      g_free (caller->key);
      g_string_free (caller->text, TRUE);
      g_free (caller);
    }
  g_ptr_array_unref (world->callers);
}
