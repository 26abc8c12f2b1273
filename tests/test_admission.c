/* Admission control: the rate of arriving work, and callers that come back after a refusal. */
#include "core/admission/admission.h"

#include <check.h>
#include <stdlib.h>

#define MSEC DP_USEC_PER_MSEC
#define START (10 * DP_USEC_PER_SEC)

/* --- work that arrives --- */

typedef struct InflowCase
{
  const char *name;
  guint urgency;  /* of the requests */
  guint interval; /* ms between them */
  guint count;
  guint pause; /* ms after the last one */
  guint above; /* urgency that is asked for */
  double min;  /* slots */
  double max;
} InflowCase;

/* Requests of 100 ms. */
static const InflowCase inflow_cases[] = {
  { "steady work of a more urgent tier", 0, 10, 300, 0, 1, 9, 11 },
  { "work of the same tier", 1, 10, 300, 0, 1, 0, 0 },
  { "work of a less urgent tier", 2, 10, 300, 0, 1, 0, 0 },
  { "a few requests at one moment tell no rate", 0, 0, 5, 0, 1, 0, 0 },
  { "a few requests after a pause tell no rate", 0, 2000, 3, 0, 1, 0, 0 },
  { "the rate is forgotten", 0, 10, 300, 3000, 1, 0, 0.1 },
};

START_TEST (the_slots_that_more_urgent_work_takes_are_estimated)
{
  const InflowCase *row = &inflow_cases[_i];
  DpInflow inflow = { 0 };
  DpUsec now = START;
  for (guint i = 0; i < row->count; i++)
    {
      now += i > 0 ? row->interval * MSEC : 0;
      dp_inflow_add (&inflow, row->urgency, 100, now);
    }
  double slots = dp_inflow_slots_above (&inflow, row->above, now + row->pause * MSEC);
  ck_assert_msg (slots >= row->min && slots <= row->max, "%s: %.2f slots", row->name, slots);
}
END_TEST

/* --- refused requests --- */

typedef struct ReturnCase
{
  const char *name;
  DpGrantAsk refused;
  DpGrantAsk ask;
  DpUsec after; /* the refusal */
  gboolean is_known;
} ReturnCase;

#define ASK(session_, prompt, output)                                                          \
  {                                                                                            \
    .session = (session_), .prompt_tokens = (prompt), .output_tokens = (output)                \
  }

/* The caller may come back for two seconds. */
static const ReturnCase return_cases[] = {
  { "the same request", ASK (7, 500, 40), ASK (7, 500, 40), 400 * MSEC, TRUE },
  { "another request of the session", ASK (7, 500, 40), ASK (7, 620, 40), 400 * MSEC, FALSE },
  { "another length of the response", ASK (7, 500, 40), ASK (7, 500, 80), 400 * MSEC, FALSE },
  { "another session", ASK (7, 500, 40), ASK (8, 500, 40), 400 * MSEC, FALSE },
  { "after its deadline", ASK (7, 500, 40), ASK (7, 500, 40), 2100 * MSEC, FALSE },
  { "requests without a prompt", ASK (0, 0, 0), ASK (0, 0, 0), 400 * MSEC, FALSE },
};

START_TEST (a_caller_that_comes_back_is_recognized_once)
{
  const ReturnCase *row = &return_cases[_i];
  DpReturns *returns = dp_returns_new ();
  dp_returns_expect (returns, &row->refused, START + 2 * DP_USEC_PER_SEC, START);
  gboolean is_known = dp_returns_take (returns, &row->ask, START + row->after);
  ck_assert_msg (is_known == row->is_known, "%s", row->name);
  ck_assert_msg (!dp_returns_take (returns, &row->ask, START + row->after), "%s: again",
                 row->name);
  dp_returns_free (returns);
}
END_TEST

/* Callers that never come back must not fill the memory. */
START_TEST (refused_requests_are_bounded_and_expire)
{
  DpReturns *returns = dp_returns_new ();
  for (guint64 i = 1; i <= 60000; i++)
    {
      const DpGrantAsk ask = ASK (i, 500, 40);
      DpUsec now = START + (DpUsec)i * MSEC;
      dp_returns_expect (returns, &ask, now + 2 * DP_USEC_PER_SEC, now);
    }
  const DpGrantAsk last = ASK (60000, 500, 40);
  ck_assert_uint_le (dp_returns_count (returns), 20000);
  ck_assert (dp_returns_take (returns, &last, START + 60001 * MSEC));
  dp_returns_free (returns);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission");
  TCase *tests = tcase_create ("admission");
  tcase_add_loop_test (tests, the_slots_that_more_urgent_work_takes_are_estimated, 0,
                       G_N_ELEMENTS (inflow_cases));
  tcase_add_loop_test (tests, a_caller_that_comes_back_is_recognized_once, 0,
                       G_N_ELEMENTS (return_cases));
  tcase_add_test (tests, refused_requests_are_bounded_and_expire);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
