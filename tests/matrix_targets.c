/* Targets that count effects, and the shell's connections to them. */
#include "tests/matrix.h"

#include <string.h>

#define CONNECT_TIMEOUT DP_USEC_PER_SEC
#define SILENCE_TIMEOUT (3 * DP_USEC_PER_SEC)
#define WORK_TIME (3 * DP_USEC_PER_MSEC)
#define TOKEN_TIME (4 * DP_USEC_PER_MSEC)
#define CRASH_TIME (2 * DP_USEC_PER_SEC)

/* One attempt at one target. Lives until the world ends: replies may come late. */
typedef struct Connection
{
  guint vm;
  guint generation;
  DpId attempt;
  guint target;
  DpCaller caller;
  RequestKind kind;
  guint operation;
  guint64 body;
  guint next_token;
  gboolean closed;  /* by the shell: nothing is delivered any more */
  gboolean broken;  /* by the target */
  gboolean failed;  /* the shell has reported a failure */
  gboolean stalled; /* something was lost on the way to the shell */
} Connection;

static gboolean
reaches_vm (const World *world, const Connection *connection)
{
  const WorldVm *vm = &world->vms[connection->vm];
  gboolean crosses
    = connection->vm / FIXTURE_VMS != connection->target / (world->target_count / 2);
  return world->now >= vm->cut_in_until && !(crosses && world->now < world->centre_cut_until);
}

static gboolean
reaches_target (const World *world, const Connection *connection)
{
  const WorldVm *vm = &world->vms[connection->vm];
  gboolean crosses
    = connection->vm / FIXTURE_VMS != connection->target / (world->target_count / 2);
  return world->now >= vm->cut_out_until && !(crosses && world->now < world->centre_cut_until);
}

static Connection *
find_connection (const World *world, DpId attempt)
{
  for (guint i = 0; i < world->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (world->connections, i);
      if (dp_id_equal (connection->attempt, attempt))
        return connection;
    }
  return NULL;
}

/* What the shell tells the core of one connection. */
typedef struct Report
{
  Connection *connection;
  DpEntryEvent event;
  char *text;
  gboolean late; /* a copy that comes when the shell has closed the connection */
} Report;

static void
deliver_report (World *world, gpointer data)
{
  Report *report = data;
  const Connection *connection = report->connection;
  /* One connection's bytes are never repeated while it is open. */
  if (report->late && !connection->closed)
    {
      g_free (report->text);
      g_free (report);
      return;
    }
  world_deliver (world, connection->vm, connection->generation, report->event, report->text);
  g_free (report);
}

static void
deliver (
  World *world, Connection *connection, DpEntryEvent event, const char *text, DpUsec delay)
{
  Report *report = g_new0 (Report, 1);
  report->connection = connection;
  report->event = event;
  report->text = g_strdup (text);
  if (event.type == DP_ENTRY_EVENT_TARGET_CHUNK)
    {
      report->event.chunk.data = report->text;
      report->event.chunk.length = strlen (report->text);
    }
  report->late = delay > 0;
  if (report->late)
    world_at (world, world->now + delay, deliver_report, report);
  else
    deliver_report (world, report);
}

static void
fail (World *world, Connection *connection, DpReason reason, gboolean nothing_sent)
{
  if (connection->closed)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_FAILED };
  event.failed.attempt = connection->attempt;
  event.failed.reason = reason;
  event.failed.nothing_sent = nothing_sent;
  connection->closed = TRUE;
  connection->failed = TRUE;
  deliver (world, connection, event, NULL, 0);
}

static void
check_silence (World *world, gpointer data)
{
  Connection *connection = data;
  fail (world, connection, DP_REASON_TARGET_SILENT, FALSE);
}

/* Delivers now and, if the world says so, again later, when the connection is closed. After a
 * loss nothing more comes of a connection: its bytes arrive in order or not at all. */
static void
tell (World *world, Connection *connection, DpEntryEvent event, const char *text)
{
  if (connection->closed || connection->stalled)
    return;
  if (!reaches_vm (world, connection))
    {
      connection->stalled = TRUE;
      world_at (world, world->now + SILENCE_TIMEOUT, check_silence, connection);
      return;
    }
  deliver (world, connection, event, text, 0);
  if (!world->duplicates)
    return;
  deliver (world, connection, event, text, g_rand_int_range (world->rand, 1000, 40000));
  deliver (world, connection, event, text, 2600 * DP_USEC_PER_MSEC);
}

static void
break_off (World *world, Connection *connection)
{
  if (connection->next_token == 0)
    {
      fail (world, connection, DP_REASON_TARGET_BROKE, FALSE);
      return;
    }
  /* A chunked answer that is cut short ends without the framing's end. */
  if (connection->closed)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_END };
  event.end.attempt = connection->attempt;
  connection->closed = TRUE;
  connection->failed = TRUE;
  deliver (world, connection, event, NULL, 0);
}

static void
crash_target (World *world, guint target)
{
  world_log (world, "target %u crashes", target);
  world->targets[target].down_until = world->now + CRASH_TIME;
  for (guint i = 0; i < world->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (world->connections, i);
      if (connection->target != target || connection->broken)
        continue;
      connection->broken = TRUE;
      if (reaches_vm (world, connection))
        break_off (world, connection);
    }
}

/* The target dies under the request. */
static void
die_of (World *world, const Connection *connection)
{
  world->deaths[connection->vm / FIXTURE_VMS] += 1;
  crash_target (world, connection->target);
}

static void
end_answer (World *world, Connection *connection, gboolean framing_complete)
{
  if (!world_step (world, connection->vm, connection->kind, STEP_END))
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_END };
  event.end.attempt = connection->attempt;
  event.end.framing_complete = framing_complete;
  event.end.prompt_tokens = CALLER_PROMPT_TOKENS;
  event.end.output_tokens = connection->kind == KIND_CHAT ? connection->next_token : 0;
  tell (world, connection, event, NULL);
  connection->closed = connection->closed || !connection->stalled;
}

static void
tell_chunk (
  World *world, Connection *connection, const char *text, guint tokens, gboolean terminal)
{
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_CHUNK };
  event.chunk.attempt = connection->attempt;
  event.chunk.tokens = tokens;
  event.chunk.terminal = terminal;
  tell (world, connection, event, text);
}

/* Strikes in the middle of an answer. TRUE: the answer is over. */
static gboolean
answer_is_cut (World *world, Connection *connection)
{
  WorldTarget *target = &world->targets[connection->target];
  AnswerFault fault = target->answer_fault;
  if (fault != ANSWER_WHOLE)
    world_log (world, "target %u: answer fault %d", connection->target, fault);
  target->answer_fault = ANSWER_WHOLE;
  switch (fault)
    {
    case ANSWER_WHOLE:
      return FALSE;
    case ANSWER_BROKEN:
      fail (world, connection, DP_REASON_TARGET_BROKE, FALSE);
      break;
    case ANSWER_NO_FRAMING:
      end_answer (world, connection, FALSE);
      break;
    case ANSWER_NO_TERMINAL:
      end_answer (world, connection, connection->kind == KIND_CHAT);
      break;
    case ANSWER_SILENT:
      world_at (world, world->now + SILENCE_TIMEOUT, check_silence, connection);
      break;
    }
  connection->broken = TRUE;
  return TRUE;
}

static void
answer_next (World *world, gpointer data)
{
  Connection *connection = data;
  const WorldVm *vm = &world->vms[connection->vm];
  if (connection->broken || vm->generation != connection->generation || world->closing)
    return;
  if (connection->next_token > 0 && connection->body == world->poison)
    {
      die_of (world, connection);
      return;
    }
  if (connection->next_token > 0 && answer_is_cut (world, connection))
    return;
  if (!world_step (world, connection->vm, connection->kind, STEP_CHUNK) || connection->broken)
    return;
  if (connection->next_token < ANSWER_TOKENS)
    {
      char *text = g_strdup_printf ("%" G_GUINT64_FORMAT "-%u;", connection->body,
                                    connection->next_token++);
      tell_chunk (world, connection, text, 1, FALSE);
      g_free (text);
      world_at (world, world->now + TOKEN_TIME, answer_next, connection);
      return;
    }
  if (connection->kind == KIND_CHAT)
    tell_chunk (world, connection, "[END]", 0, TRUE);
  end_answer (world, connection, TRUE);
}

static void
answer_head (World *world, gpointer data)
{
  Connection *connection = data;
  const WorldVm *vm = &world->vms[connection->vm];
  if (connection->broken || vm->generation != connection->generation || world->closing)
    return;
  if (!world_step (world, connection->vm, connection->kind, STEP_HEAD) || connection->broken)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_HEAD };
  event.head.attempt = connection->attempt;
  event.head.status = 200;
  event.head.content_type = "text/plain";
  tell (world, connection, event, NULL);
  world_at (world, world->now + TOKEN_TIME, answer_next, connection);
}

/* The whole request has arrived: from here on it has run. */
static void
arrive (World *world, gpointer data)
{
  Connection *connection = data;
  if (world->closing || !reaches_target (world, connection))
    {
      world_at (world, world->now + SILENCE_TIMEOUT, check_silence, connection);
      return;
    }
  if (world->now < world->targets[connection->target].down_until)
    {
      fail (world, connection, DP_REASON_TARGET_BROKE, FALSE);
      return;
    }
  Effect effect = { .caller = connection->caller, .kind = connection->kind };
  effect.operation = connection->operation;
  effect.body = connection->body;
  effect.at = world->now;
  g_array_append_val (world->effects, effect);
  world_log (world, "target %u runs operation %u of caller %" G_GUINT64_FORMAT,
             connection->target, connection->operation, connection->caller);
  if (connection->body == world->poison && !world->poison_is_slow)
    {
      die_of (world, connection);
      return;
    }
  if (!world_step (world, connection->vm, connection->kind, STEP_EFFECT) || connection->broken)
    return;
  world_at (world, world->now + WORK_TIME, answer_head, connection);
}

static void
connect_timeout (World *world, gpointer data)
{
  fail (world, data, DP_REASON_CONNECT_FAILED, TRUE);
}

static void
open_connection (World *world, gpointer data)
{
  Connection *connection = data;
  WorldTarget *target = &world->targets[connection->target];
  const WorldVm *vm = &world->vms[connection->vm];
  if (connection->closed || vm->generation != connection->generation)
    return;
  if (!reaches_target (world, connection) || !reaches_vm (world, connection))
    {
      world_at (world, world->now + CONNECT_TIMEOUT, connect_timeout, connection);
      return;
    }
  if (target->refuses || world->now < target->down_until)
    {
      target->refuses = FALSE;
      fail (world, connection, DP_REASON_CONNECT_FAILED, TRUE);
      return;
    }
  world_at (world, world->now + world_delay (world), arrive, connection);
}

static guint
target_index (const World *world, DpName name)
{
  for (guint i = 0; i < world->target_count; i++)
    if (world->targets[i].name == name)
      return i;
  g_assert_not_reached ();
}

static void
count_repeat (World *world, const Connection *connection)
{
  for (guint i = 0; i < world->connections->len; i++)
    {
      const Connection *other = g_ptr_array_index (world->connections, i);
      if (other->failed && other->caller == connection->caller
          && other->target == connection->target)
        world->repeats += 1;
    }
}

void
target_dispatch (World *world, guint vm, const DpDispatch *dispatch)
{
  const Caller *caller = caller_find (world, dispatch->caller);
  if (!world_step (world, vm, caller->kind, STEP_DISPATCH))
    return;
  Connection *connection = g_new0 (Connection, 1);
  connection->vm = vm;
  connection->generation = world->vms[vm].generation;
  connection->attempt = dispatch->attempt;
  connection->target = target_index (world, dispatch->target);
  connection->caller = dispatch->caller;
  connection->kind = caller->kind;
  connection->operation = caller->operation;
  connection->body = caller->body;
  connection->next_token = dispatch->sent_tokens;
  count_repeat (world, connection);
  g_ptr_array_add (world->connections, connection);
  world_log (world, "vm %u sends caller %" G_GUINT64_FORMAT " to target %u", vm,
             dispatch->caller, connection->target);
  world_at (world, world_ready_at (world, vm) + world_delay (world), open_connection,
            connection);
}

void
target_cancel (World *world, DpId attempt)
{
  Connection *connection = find_connection (world, attempt);
  if (connection == NULL)
    return;
  connection->closed = TRUE;
}

void
target_vm_died (World *world, guint vm)
{
  for (guint i = 0; i < world->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (world->connections, i);
      if (connection->vm == vm)
        connection->closed = TRUE;
    }
}

gboolean
target_is_up (const World *world, guint vm, DpName name)
{
  guint target = target_index (world, name);
  Connection probe = { .vm = vm, .target = target };
  return world->now >= world->targets[target].down_until && reaches_target (world, &probe)
         && reaches_vm (world, &probe);
}
