/* Targets, which record effects, and the entry shell's connections to them. */
#include "tests/matrix.h"

#include <string.h>

#define CONNECT_TIMEOUT DP_USEC_PER_SEC
#define RESPONSE_TIMEOUT (3 * DP_USEC_PER_SEC)
#define PROCESSING_DELAY (3 * DP_USEC_PER_MSEC)
#define TOKEN_INTERVAL (4 * DP_USEC_PER_MSEC)
#define CRASH_DURATION (2 * DP_USEC_PER_SEC)

/* One attempt at one target. Freed with the simulation, as replies may come late. */
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
  gboolean closed;  /* by the shell: nothing more is delivered */
  gboolean broken;  /* by the target */
  gboolean failed;  /* the shell has reported a failure */
  gboolean stalled; /* bytes to the shell were lost: nothing more arrives */
} Connection;

static gboolean
reaches_vm (const Simulation *sim, const Connection *connection)
{
  const SimulatedVm *vm = &sim->vms[connection->vm];
  gboolean crosses
    = connection->vm / FIXTURE_VMS != connection->target / (sim->target_count / 2);
  return sim->now >= vm->inbound_blocked_until
         && !(crosses && sim->now < sim->data_centre_partition_until);
}

static gboolean
reaches_target (const Simulation *sim, const Connection *connection)
{
  const SimulatedVm *vm = &sim->vms[connection->vm];
  gboolean crosses
    = connection->vm / FIXTURE_VMS != connection->target / (sim->target_count / 2);
  return sim->now >= vm->outbound_blocked_until
         && !(crosses && sim->now < sim->data_centre_partition_until);
}

static Connection *
find_connection (const Simulation *sim, DpId attempt)
{
  for (guint i = 0; i < sim->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (sim->connections, i);
      if (dp_id_equal (connection->attempt, attempt))
        return connection;
    }
  return NULL;
}

/* An event of one connection, from the shell to the core. */
typedef struct Report
{
  Connection *connection;
  DpEntryEvent event;
  char *text;
  gboolean late; /* a duplicate, delivered only after the shell has closed the connection */
} Report;

static void
deliver_report (Simulation *sim, gpointer data)
{
  Report *report = data;
  const Connection *connection = report->connection;
  /* An open connection never repeats bytes. */
  if (report->late && !connection->closed)
    {
      g_free (report->text);
      g_free (report);
      return;
    }
  simulation_deliver (sim, connection->vm, connection->generation, report->event, report->text);
  g_free (report);
}

static void
deliver (
  Simulation *sim, Connection *connection, DpEntryEvent event, const char *text, DpUsec delay)
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
    simulation_schedule (sim, sim->now + delay, deliver_report, report);
  else
    deliver_report (sim, report);
}

static void
fail (Simulation *sim, Connection *connection, DpReason reason, gboolean nothing_sent)
{
  if (connection->closed)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_FAILED };
  event.failed.attempt = connection->attempt;
  event.failed.reason = reason;
  event.failed.nothing_sent = nothing_sent;
  connection->closed = TRUE;
  connection->failed = TRUE;
  deliver (sim, connection, event, NULL, 0);
}

static void
on_response_timeout (Simulation *sim, gpointer data)
{
  Connection *connection = data;
  fail (sim, connection, DP_REASON_TARGET_SILENT, FALSE);
}

/* Delivers the event and, with `duplicates`, late copies once the connection is closed. After a
 * loss the connection delivers nothing more: its bytes arrive in order or not at all. */
static void
report_event (Simulation *sim, Connection *connection, DpEntryEvent event, const char *text)
{
  if (connection->closed || connection->stalled)
    return;
  if (!reaches_vm (sim, connection))
    {
      connection->stalled = TRUE;
      simulation_schedule (sim, sim->now + RESPONSE_TIMEOUT, on_response_timeout, connection);
      return;
    }
  deliver (sim, connection, event, text, 0);
  if (!sim->duplicates)
    return;
  deliver (sim, connection, event, text, g_rand_int_range (sim->rand, 1000, 40000));
  deliver (sim, connection, event, text, 2600 * DP_USEC_PER_MSEC);
}

static void
abort_answer (Simulation *sim, Connection *connection)
{
  if (connection->next_token == 0)
    {
      fail (sim, connection, DP_REASON_TARGET_BROKE, FALSE);
      return;
    }
  /* A chunked answer that breaks off ends with incomplete framing. */
  if (connection->closed)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_END };
  event.end.attempt = connection->attempt;
  connection->closed = TRUE;
  connection->failed = TRUE;
  deliver (sim, connection, event, NULL, 0);
}

static void
crash_target (Simulation *sim, guint target)
{
  simulation_log (sim, "target %u crashes", target);
  sim->targets[target].down_until = sim->now + CRASH_DURATION;
  for (guint i = 0; i < sim->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (sim->connections, i);
      if (connection->target != target || connection->broken)
        continue;
      connection->broken = TRUE;
      if (reaches_vm (sim, connection))
        abort_answer (sim, connection);
    }
}

/* The request crashes the target. */
static void
crash_under_request (Simulation *sim, const Connection *connection)
{
  sim->crashes[connection->vm / FIXTURE_VMS] += 1;
  crash_target (sim, connection->target);
}

static void
end_answer (Simulation *sim, Connection *connection, gboolean framing_complete)
{
  if (!simulation_reach_step (sim, connection->vm, connection->kind, STEP_END))
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_END };
  event.end.attempt = connection->attempt;
  event.end.framing_complete = framing_complete;
  event.end.prompt_tokens = CALLER_PROMPT_TOKENS;
  event.end.output_tokens = connection->kind == KIND_CHAT ? connection->next_token : 0;
  report_event (sim, connection, event, NULL);
  connection->closed = connection->closed || !connection->stalled;
}

static void
report_chunk (
  Simulation *sim, Connection *connection, const char *text, guint tokens, gboolean terminal)
{
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_CHUNK };
  event.chunk.attempt = connection->attempt;
  event.chunk.tokens = tokens;
  event.chunk.terminal = terminal;
  report_event (sim, connection, event, text);
}

/* Applies the target's planned fault to the answer in progress. TRUE: the answer has ended. */
static gboolean
apply_answer_fault (Simulation *sim, Connection *connection)
{
  SimulatedTarget *target = &sim->targets[connection->target];
  AnswerFault fault = target->next_answer_fault;
  if (fault != ANSWER_COMPLETE)
    simulation_log (sim, "target %u: answer fault %d", connection->target, fault);
  target->next_answer_fault = ANSWER_COMPLETE;
  switch (fault)
    {
    case ANSWER_COMPLETE:
      return FALSE;
    case ANSWER_DISCONNECTED:
      fail (sim, connection, DP_REASON_TARGET_BROKE, FALSE);
      break;
    case ANSWER_UNTERMINATED:
      end_answer (sim, connection, FALSE);
      break;
    case ANSWER_NO_END_EVENT:
      end_answer (sim, connection, connection->kind == KIND_CHAT);
      break;
    case ANSWER_STALLED:
      simulation_schedule (sim, sim->now + RESPONSE_TIMEOUT, on_response_timeout, connection);
      break;
    }
  connection->broken = TRUE;
  return TRUE;
}

static void
answer_next (Simulation *sim, gpointer data)
{
  Connection *connection = data;
  const SimulatedVm *vm = &sim->vms[connection->vm];
  if (connection->broken || vm->generation != connection->generation || sim->stopping)
    return;
  if (connection->next_token > 0 && connection->body == sim->poison_body)
    {
      crash_under_request (sim, connection);
      return;
    }
  if (connection->next_token > 0 && apply_answer_fault (sim, connection))
    return;
  if (!simulation_reach_step (sim, connection->vm, connection->kind, STEP_CHUNK)
      || connection->broken)
    return;
  if (connection->next_token < ANSWER_TOKENS)
    {
      char *text = g_strdup_printf ("%" G_GUINT64_FORMAT "-%u;", connection->body,
                                    connection->next_token++);
      report_chunk (sim, connection, text, 1, FALSE);
      g_free (text);
      simulation_schedule (sim, sim->now + TOKEN_INTERVAL, answer_next, connection);
      return;
    }
  if (connection->kind == KIND_CHAT)
    report_chunk (sim, connection, "[END]", 0, TRUE);
  end_answer (sim, connection, TRUE);
}

static void
answer_head (Simulation *sim, gpointer data)
{
  Connection *connection = data;
  const SimulatedVm *vm = &sim->vms[connection->vm];
  if (connection->broken || vm->generation != connection->generation || sim->stopping)
    return;
  if (!simulation_reach_step (sim, connection->vm, connection->kind, STEP_HEAD)
      || connection->broken)
    return;
  DpEntryEvent event = { .type = DP_ENTRY_EVENT_TARGET_HEAD };
  event.head.attempt = connection->attempt;
  event.head.status = 200;
  event.head.content_type = "text/plain";
  report_event (sim, connection, event, NULL);
  simulation_schedule (sim, sim->now + TOKEN_INTERVAL, answer_next, connection);
}

/* The complete request has arrived at the target, and runs. */
static void
on_arrival (Simulation *sim, gpointer data)
{
  Connection *connection = data;
  if (sim->stopping || !reaches_target (sim, connection))
    {
      simulation_schedule (sim, sim->now + RESPONSE_TIMEOUT, on_response_timeout, connection);
      return;
    }
  if (sim->now < sim->targets[connection->target].down_until)
    {
      fail (sim, connection, DP_REASON_TARGET_BROKE, FALSE);
      return;
    }
  Effect effect = { .caller = connection->caller, .kind = connection->kind };
  effect.operation = connection->operation;
  effect.body = connection->body;
  effect.at = sim->now;
  g_array_append_val (sim->effects, effect);
  simulation_log (sim, "target %u runs operation %u of caller %" G_GUINT64_FORMAT,
                  connection->target, connection->operation, connection->caller);
  if (connection->body == sim->poison_body && !sim->poison_after_first_token)
    {
      crash_under_request (sim, connection);
      return;
    }
  if (!simulation_reach_step (sim, connection->vm, connection->kind, STEP_EFFECT)
      || connection->broken)
    return;
  simulation_schedule (sim, sim->now + PROCESSING_DELAY, answer_head, connection);
}

static void
connect_timeout (Simulation *sim, gpointer data)
{
  fail (sim, data, DP_REASON_CONNECT_FAILED, TRUE);
}

static void
open_connection (Simulation *sim, gpointer data)
{
  Connection *connection = data;
  SimulatedTarget *target = &sim->targets[connection->target];
  const SimulatedVm *vm = &sim->vms[connection->vm];
  if (connection->closed || vm->generation != connection->generation)
    return;
  if (!reaches_target (sim, connection) || !reaches_vm (sim, connection))
    {
      simulation_schedule (sim, sim->now + CONNECT_TIMEOUT, connect_timeout, connection);
      return;
    }
  if (target->refuse_next_connection || sim->now < target->down_until)
    {
      target->refuse_next_connection = FALSE;
      fail (sim, connection, DP_REASON_CONNECT_FAILED, TRUE);
      return;
    }
  simulation_schedule (sim, sim->now + simulation_random_delay (sim), on_arrival, connection);
}

static guint
target_index (const Simulation *sim, DpName name)
{
  for (guint i = 0; i < sim->target_count; i++)
    if (sim->targets[i].name == name)
      return i;
  g_assert_not_reached ();
}

static void
count_repeated_dispatches (Simulation *sim, const Connection *connection)
{
  for (guint i = 0; i < sim->connections->len; i++)
    {
      const Connection *other = g_ptr_array_index (sim->connections, i);
      if (other->failed && other->caller == connection->caller
          && other->target == connection->target)
        sim->repeated_dispatches += 1;
    }
}

void
target_dispatch (Simulation *sim, guint vm, const DpDispatch *dispatch)
{
  const Caller *caller = caller_find (sim, dispatch->caller);
  if (!simulation_reach_step (sim, vm, caller->kind, STEP_DISPATCH))
    return;
  Connection *connection = g_new0 (Connection, 1);
  connection->vm = vm;
  connection->generation = sim->vms[vm].generation;
  connection->attempt = dispatch->attempt;
  connection->target = target_index (sim, dispatch->target);
  connection->caller = dispatch->caller;
  connection->kind = caller->kind;
  connection->operation = caller->operation;
  connection->body = caller->body;
  connection->next_token = dispatch->sent_tokens;
  count_repeated_dispatches (sim, connection);
  g_ptr_array_add (sim->connections, connection);
  simulation_log (sim, "vm %u sends caller %" G_GUINT64_FORMAT " to target %u", vm,
                  dispatch->caller, connection->target);
  simulation_schedule (sim, simulation_vm_ready_at (sim, vm) + simulation_random_delay (sim),
                       open_connection, connection);
}

void
target_cancel (Simulation *sim, DpId attempt)
{
  Connection *connection = find_connection (sim, attempt);
  if (connection == NULL)
    return;
  connection->closed = TRUE;
}

void
target_on_vm_crash (Simulation *sim, guint vm)
{
  for (guint i = 0; i < sim->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (sim->connections, i);
      if (connection->vm == vm)
        connection->closed = TRUE;
    }
}

gboolean
target_is_up (const Simulation *sim, guint vm, DpName name)
{
  guint target = target_index (sim, name);
  Connection probe = { .vm = vm, .target = target };
  return sim->now >= sim->targets[target].down_until && reaches_target (sim, &probe)
         && reaches_vm (sim, &probe);
}
