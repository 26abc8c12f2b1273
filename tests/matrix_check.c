/* Invariants, checked by what callers, targets and the platform observed. */
#include "tests/matrix.h"

#include <string.h>

static void G_GNUC_PRINTF (3, 4)
  add_problem (GString *problems, const Caller *caller, const char *format, ...)
{
  if (caller != NULL)
    g_string_append_printf (problems, "caller %" G_GUINT64_FORMAT " (operation %u, vm %u): ",
                            caller->number, caller->operation, caller->vm);
  va_list args;
  va_start (args, format);
  g_string_append_vprintf (problems, format, args);
  va_end (args);
  g_string_append_c (problems, '\n');
}

/* Executions of the operation's booking up to and including `until`. */
static guint
count_bookings (const Simulation *sim, guint operation, DpUsec until)
{
  guint count = 0;
  for (guint i = 0; i < sim->effects->len; i++)
    {
      const Effect *effect = &g_array_index (sim->effects, Effect, i);
      if (effect->kind == KIND_BOOKING && effect->operation == operation && effect->at <= until)
        count++;
    }
  return count;
}

static guint
count_bookings_of_body (const Simulation *sim, guint operation, guint64 body, DpUsec until)
{
  guint count = 0;
  for (guint i = 0; i < sim->effects->len; i++)
    {
      const Effect *effect = &g_array_index (sim->effects, Effect, i);
      if (effect->kind == KIND_BOOKING && effect->operation == operation && effect->body == body
          && effect->at <= until)
        count++;
    }
  return count;
}

static guint
count_runs (const Simulation *sim, DpCaller caller)
{
  guint count = 0;
  for (guint i = 0; i < sim->effects->len; i++)
    if (g_array_index (sim->effects, Effect, i).caller == caller)
      count++;
  return count;
}

/* "A booking is dispatched at most once." */
static void
check_at_most_once (const Simulation *sim, const Caller *caller, GString *problems)
{
  guint count = count_bookings (sim, caller->operation, G_MAXINT64);
  if (caller->kind == KIND_BOOKING && count > 1)
    add_problem (problems, caller, "its booking ran %u times", count);
}

/* "When the system says not run, that request truly did not run." */
static void
check_not_run (const Simulation *sim, const Caller *caller, GString *problems)
{
  if (caller->final != FINAL_PROBLEM || caller->outcome != DP_OUTCOME_NOT_RUN)
    return;
  if (count_runs (sim, caller->number) > 0)
    add_problem (problems, caller, "not_run (%s) but its request ran",
                 dp_reason_name (caller->reason));
  if (caller->kind == KIND_BOOKING
      && count_bookings_of_body (sim, caller->operation, caller->body, caller->final_at) > 0)
    add_problem (problems, caller, "not_run (%s) but its booking had run",
                 dp_reason_name (caller->reason));
  /* A query's answer has to be true at some time between query and answer. */
  if (caller->kind == KIND_OUTCOME_QUERY
      && count_bookings (sim, caller->operation, caller->sent_at) > 0)
    add_problem (problems, caller, "outcome not_run but the booking had run");
}

/* "Every caller receives the whole answer to its own request." Streams may break off, but only
 * after a correct prefix. */
static void
check_answer (const Simulation *sim, const Caller *caller, GString *problems)
{
  char *expected = caller_expected_answer (caller->kind, caller->body);
  gboolean is_complete = strcmp (caller->text->str, expected) == 0;
  gboolean claims_complete = caller->final == FINAL_END || caller->final == FINAL_REPLAY;
  if (claims_complete && !is_complete)
    add_problem (problems, caller, "ended with '%s'", caller->text->str);
  if (caller->kind == KIND_CHAT && !g_str_has_prefix (expected, caller->text->str))
    add_problem (problems, caller, "was streamed '%s'", caller->text->str);
  if (caller->final == FINAL_END && count_runs (sim, caller->number) == 0)
    add_problem (problems, caller, "was answered without a run");
  if (caller->final == FINAL_REPLAY
      && count_bookings (sim, caller->operation, caller->final_at) != 1)
    add_problem (problems, caller, "was given a recorded answer without a run");
  g_free (expected);
}

/* Each request gets exactly one final answer, by its deadline. */
static void
check_final (const Caller *caller, GString *problems)
{
  if (caller->final == FINAL_NONE)
    add_problem (problems, caller, "got no final answer");
  if (caller->final_count > 1)
    add_problem (problems, caller, "got %u final answers", caller->final_count);
  DpUsec allowed
    = MAX (caller->sent_at, caller->vm_frozen_until) + CALLER_TIMEOUT + ANSWER_SLACK;
  if (caller->final_at > allowed)
    add_problem (problems, caller, "answered %.3f s after its deadline",
                 (double)(caller->final_at - allowed) / DP_USEC_PER_SEC);
}

/* A booking that was answered ran exactly once: a final answer never contradicts the effects.
 */
static void
check_answered_booking (const Simulation *sim, const Caller *caller, GString *problems)
{
  if (caller->kind != KIND_BOOKING || caller->final != FINAL_END)
    return;
  if (count_bookings_of_body (sim, caller->operation, caller->body, G_MAXINT64) != 1)
    add_problem (problems, caller, "was answered, but its booking did not run exactly once");
}

/* A request is not sent again to a target that failed it. A request that crashed two targets is
 * refused in the whole data centre, as far as its entries reach each other. */
static void
check_targets (const Simulation *sim, GString *problems)
{
  if (sim->repeated_dispatches > 0)
    add_problem (problems, NULL, "%u requests went to a target that had failed them",
                 sim->repeated_dispatches);
  for (guint i = 0; i < FIXTURE_DATA_CENTRES; i++)
    if (sim->fault_count == 1 && sim->crashes[i] > 2)
      add_problem (problems, NULL, "%u targets died under one request", sim->crashes[i]);
}

char *
matrix_check (const Simulation *sim)
{
  GString *problems = g_string_new (NULL);
  for (guint i = 0; i < sim->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (sim->callers, i);
      check_at_most_once (sim, caller, problems);
      check_not_run (sim, caller, problems);
      check_answer (sim, caller, problems);
      check_final (caller, problems);
      check_answered_booking (sim, caller, problems);
    }
  check_targets (sim, problems);
  gboolean clean = problems->len == 0;
  return g_string_free (problems, clean);
}
