/* The promises, judged by what callers, targets and the platform saw. */
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

/* Runs of the operation's booking, up to and with `until`. */
static guint
count_bookings (const World *world, guint operation, DpUsec until)
{
  guint count = 0;
  for (guint i = 0; i < world->effects->len; i++)
    {
      const Effect *effect = &g_array_index (world->effects, Effect, i);
      if (effect->kind == KIND_BOOKING && effect->operation == operation && effect->at <= until)
        count++;
    }
  return count;
}

static guint
count_bookings_of_body (const World *world, guint operation, guint64 body, DpUsec until)
{
  guint count = 0;
  for (guint i = 0; i < world->effects->len; i++)
    {
      const Effect *effect = &g_array_index (world->effects, Effect, i);
      if (effect->kind == KIND_BOOKING && effect->operation == operation && effect->body == body
          && effect->at <= until)
        count++;
    }
  return count;
}

static guint
count_runs (const World *world, DpCaller caller)
{
  guint count = 0;
  for (guint i = 0; i < world->effects->len; i++)
    if (g_array_index (world->effects, Effect, i).caller == caller)
      count++;
  return count;
}

/* "A booking is dispatched at most once." */
static void
check_at_most_once (const World *world, const Caller *caller, GString *problems)
{
  guint count = count_bookings (world, caller->operation, G_MAXINT64);
  if (caller->kind == KIND_BOOKING && count > 1)
    add_problem (problems, caller, "its booking ran %u times", count);
}

/* "When the system says not run, that request truly did not run." */
static void
check_not_run (const World *world, const Caller *caller, GString *problems)
{
  if (caller->final != FINAL_PROBLEM || caller->outcome != DP_OUTCOME_NOT_RUN)
    return;
  if (count_runs (world, caller->number) > 0)
    add_problem (problems, caller, "not_run (%s) but its request ran",
                 dp_reason_name (caller->reason));
  if (caller->kind == KIND_BOOKING
      && count_bookings_of_body (world, caller->operation, caller->body, caller->final_at) > 0)
    add_problem (problems, caller, "not_run (%s) but its booking had run",
                 dp_reason_name (caller->reason));
  /* A query's answer is true at some time between question and answer. */
  if (caller->kind == KIND_OUTCOME
      && count_bookings (world, caller->operation, caller->sent_at) > 0)
    add_problem (problems, caller, "outcome not_run but the booking had run");
}

/* "Every caller receives the whole answer to its own request." */
static void
check_answer (const World *world, const Caller *caller, GString *problems)
{
  char *expected = caller_expected (caller->kind, caller->body);
  gboolean is_whole = strcmp (caller->text->str, expected) == 0;
  gboolean claims_whole = caller->final == FINAL_END || caller->final == FINAL_REPLAY;
  if (claims_whole && !is_whole)
    add_problem (problems, caller, "ended with '%s'", caller->text->str);
  if (caller->kind == KIND_CHAT && !g_str_has_prefix (expected, caller->text->str))
    add_problem (problems, caller, "was streamed '%s'", caller->text->str);
  if (caller->final == FINAL_END && count_runs (world, caller->number) == 0)
    add_problem (problems, caller, "was answered without a run");
  if (caller->final == FINAL_REPLAY
      && count_bookings (world, caller->operation, caller->final_at) != 1)
    add_problem (problems, caller, "was given a recorded answer without a run");
  g_free (expected);
}

/* One final answer, by the deadline. */
static void
check_final (const Caller *caller, GString *problems)
{
  if (caller->final == FINAL_NONE)
    add_problem (problems, caller, "got no final answer");
  if (caller->finals > 1)
    add_problem (problems, caller, "got %u final answers", caller->finals);
  DpUsec allowed = MAX (caller->sent_at, caller->excused_until) + CALLER_TIMEOUT + ANSWER_SLACK;
  if (caller->final_at > allowed)
    add_problem (problems, caller, "answered %.3f s after its deadline",
                 (double)(caller->final_at - allowed) / DP_USEC_PER_SEC);
}

/* After `unknown` or an answer, a booking's outcome does not become "not run" and the like:
 * nobody is told a final state that the effects contradict. */
static void
check_after_done (const World *world, const Caller *caller, GString *problems)
{
  if (caller->kind != KIND_BOOKING || caller->final != FINAL_END)
    return;
  if (count_bookings_of_body (world, caller->operation, caller->body, G_MAXINT64) != 1)
    add_problem (problems, caller, "was answered, but its booking did not run exactly once");
}

/* A target that has failed a request does not get it again, and a request under which two
 * targets died is refused in the whole data centre, as far as its entries reach each other. */
static void
check_targets (const World *world, GString *problems)
{
  if (world->repeats > 0)
    add_problem (problems, NULL, "%u requests went to a target that had failed them",
                 world->repeats);
  for (guint i = 0; i < FIXTURE_DATA_CENTRES; i++)
    if (world->fault_count == 1 && world->deaths[i] > 2)
      add_problem (problems, NULL, "%u targets died under one request", world->deaths[i]);
}

char *
matrix_check (const World *world)
{
  GString *problems = g_string_new (NULL);
  for (guint i = 0; i < world->callers->len; i++)
    {
      const Caller *caller = g_ptr_array_index (world->callers, i);
      check_at_most_once (world, caller, problems);
      check_not_run (world, caller, problems);
      check_answer (world, caller, problems);
      check_final (caller, problems);
      check_after_done (world, caller, problems);
    }
  check_targets (world, problems);
  gboolean clean = problems->len == 0;
  return g_string_free (problems, clean);
}
