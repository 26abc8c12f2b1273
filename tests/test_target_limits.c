/* Limits that targets state for the requests of all VMs, in virtual time. */
#include "core/dispatcher.h"

#include <check.h>
#include <stdlib.h>

#define POOL "pool"
#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (10 * SEC)
/* The platform's rule for any window, checked from a while after the limit is known. */
#define RULE_WINDOW (4 * SEC)
#define RULE_FACTOR 1.5
#define RULE_EXTRA 5
#define RULE_DELAY (3 * SEC)
#define TARGETS 3
#define SLOTS 5
#define RUN_TIME (40 * MSEC)

/* --- one dispatcher --- */

typedef struct SingleCase
{
  const char *name;
  DpDispatchPolicy policy;
  double limit;
  guint per_second; /* requests for the pool */
} SingleCase;

static const SingleCase single_cases[] = {
  { "one queue", DP_DISPATCH_QUEUE, 7, 75 },
  { "one queue, low limit", DP_DISPATCH_QUEUE, 1.2, 75 },
  { "one queue, high limit", DP_DISPATCH_QUEUE, 40, 300 },
  { "one queue, no requests accepted", DP_DISPATCH_QUEUE, 0, 75 },
  { "two choices", DP_DISPATCH_TWO_CHOICES, 7, 75 },
  { "two choices, low limit", DP_DISPATCH_TWO_CHOICES, 1.2, 75 },
  { "two choices, high limit", DP_DISPATCH_TWO_CHOICES, 40, 300 },
  { "two choices, no requests accepted", DP_DISPATCH_TWO_CHOICES, 0, 75 },
};

typedef struct Single
{
  DpCounters *counters;
  DpDirectory *directory;
  DpDispatcher *dispatcher;
  GArray *sent;  /* DpUsec: requests given to the limited target */
  GQueue open;   /* DpMessage: GRANT_DONE, in the order of their time */
  GQueue due_at; /* DpUsec * */
  DpUsec now;
} Single;

static void
target_id (guint index, char id[8])
{
  g_snprintf (id, 8, "t%u", index);
}

static void
handle_outbox (Single *single, GArray *outbox)
{
  for (guint i = 0; i < outbox->len; i++)
    {
      const DpMessage *message = &g_array_index (outbox, DpDispatchMessage, i).message;
      if (message->type != DP_MESSAGE_GRANT_GIVEN)
        continue;
      if (message->grant_given.target == dp_name ("t0"))
        g_array_append_val (single->sent, single->now);
      DpMessage done = { .type = DP_MESSAGE_GRANT_DONE };
      done.grant_done = (DpGrantDone){ .attempt = message->grant_given.attempt,
                                       .group = dp_name (POOL),
                                       .target = message->grant_given.target,
                                       .time_to_first_token = RUN_TIME / 2,
                                       .duration = RUN_TIME };
      DpUsec due_at = single->now + RUN_TIME;
      g_queue_push_tail (&single->open, g_memdup2 (&done, sizeof done));
      g_queue_push_tail (&single->due_at, g_memdup2 (&due_at, sizeof due_at));
    }
  g_array_unref (outbox);
}

static void
receive (Single *single, const DpMessage *message)
{
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_receive (single->dispatcher, 1, message, single->now, outbox);
  handle_outbox (single, outbox);
}

static void
finish_due (Single *single)
{
  while (single->due_at.length > 0
         && *(DpUsec *)g_queue_peek_head (&single->due_at) <= single->now)
    {
      DpMessage *done = g_queue_pop_head (&single->open);
      g_free (g_queue_pop_head (&single->due_at));
      receive (single, done);
      g_free (done);
    }
}

static void
send_request (Single *single, guint64 id)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 0, id },
                                    .group = dp_name (POOL),
                                    .prompt_tokens = 1000,
                                    .remaining = 2 * SEC,
                                    .objective_left = 300 * MSEC,
                                    .repeatable = TRUE };
  receive (single, &message);
}

static void
set_limit (Single *single, double limit)
{
  const DpLimitReport report = {
    .target = dp_name ("t0"), .is_set = TRUE, .per_second = limit, .observed_at = single->now
  };
  dp_directory_record_limit (single->directory, &report, single->now);
}

static void
apply_targets (Single *single)
{
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_set_targets (single->dispatcher, single->directory, single->now, outbox);
  handle_outbox (single, outbox);
}

static void
set_up (Single *single, DpDispatchPolicy policy)
{
  *single = (Single){ .now = START };
  single->counters = dp_counters_new ();
  single->directory = dp_directory_new ();
  single->sent = g_array_new (FALSE, FALSE, sizeof (DpUsec));
  const DpDispatcherOptions options
    = { .pool = dp_name (POOL), .seed = 5, .policy = policy, .counters = single->counters };
  single->dispatcher = dp_dispatcher_new (&options);
  for (guint i = 0; i < TARGETS; i++)
    {
      DpTargetRecord record = { .pool = POOL, .slots = SLOTS };
      target_id (i, record.id);
      dp_directory_put (single->directory, &record);
    }
  apply_targets (single);
}

static void
tear_down (Single *single)
{
  dp_dispatcher_free (single->dispatcher);
  dp_directory_free (single->directory);
  dp_counters_unref (single->counters);
  g_array_unref (single->sent);
  g_queue_clear_full (&single->open, g_free);
  g_queue_clear_full (&single->due_at, g_free);
}

static void
run_for (Single *single, guint per_second, DpUsec duration)
{
  static guint64 next_id;
  for (DpUsec end = single->now + duration; single->now < end; single->now += MSEC)
    {
      finish_due (single);
      if (single->now * per_second / SEC != (single->now - MSEC) * per_second / SEC)
        send_request (single, ++next_id);
      if (single->now % DP_DISPATCH_TICK_INTERVAL != 0)
        continue;
      GArray *outbox = dp_dispatch_outbox_new ();
      dp_dispatcher_tick (single->dispatcher, single->now, outbox);
      handle_outbox (single, outbox);
    }
}

/* Returns the highest number of entries of `sent` in a window that ends at `start` or later. */
static guint
most_sent (const GArray *sent, DpUsec start)
{
  guint most = 0;
  guint first = 0;
  for (guint i = 0; i < sent->len; i++)
    {
      DpUsec at = g_array_index (sent, DpUsec, i);
      while (g_array_index (sent, DpUsec, first) <= at - RULE_WINDOW)
        first++;
      if (at >= start)
        most = MAX (most, i - first + 1);
    }
  return most;
}

START_TEST (a_target_gets_no_more_than_its_limit)
{
  const SingleCase *row = &single_cases[_i];
  Single single;
  set_up (&single, row->policy);
  run_for (&single, row->per_second, 6 * SEC);
  set_limit (&single, row->limit);
  apply_targets (&single);
  DpUsec start = single.now + RULE_DELAY;
  run_for (&single, row->per_second, 20 * SEC);
  double allowed = RULE_FACTOR * row->limit * (double)RULE_WINDOW / (double)SEC + RULE_EXTRA;
  guint most = most_sent (single.sent, start);
  ck_assert_msg (most <= allowed, "%s: %u in a window, %f allowed", row->name, most, allowed);
  tear_down (&single);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("target_limits");
  TCase *tests = tcase_create ("target_limits");
  tcase_add_loop_test (tests, a_target_gets_no_more_than_its_limit, 0,
                       G_N_ELEMENTS (single_cases));
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
