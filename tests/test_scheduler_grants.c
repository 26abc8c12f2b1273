/* Grants, tier order, target windows, refusals. */
#include "tests/scheduler_fixture.h"

#include <check.h>
#include <stdlib.h>

/* A window of one request. */
static const FixtureEngine narrow[] = { { "e0", 1, 1000, 100, 50, 10000, { "m" } } };
static const FixtureEngine pair[]
  = { { "e0", 2, 1000, 100, 50, 10000, { "m" } }, { "e1", 2, 1000, 100, 50, 10000, { "n" } } };

static void
open_synced (Fixture *f, const FixtureEngine *engines, guint count)
{
  fixture_open (f, &(FixtureOptions){ .engines = engines, .engine_count = count });
  fixture_run (f, 1 * DP_USEC_PER_SEC);
}

START_TEST (a_new_owner_grants_nothing_until_it_is_synced)
{
  Fixture f;
  fixture_open (&f, &(FixtureOptions){ .engines = narrow, .engine_count = 1 });
  fixture_request (&f, (FixtureRequest){ .id = 1 });
  ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_QUEUED, 1));
  fixture_run (&f, 600 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 1), 0);
  fixture_run (&f, 150 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 1), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (reports_of_all_live_entries_end_the_sync_early)
{
  Fixture f;
  fixture_open (&f, &(FixtureOptions){ .engines = narrow, .engine_count = 1 });
  DpHeldGrant running = { .attempt = fixture_id (9),
                          .target = dp_name ("e0"),
                          .tier = dp_name ("batch"),
                          .workspace = dp_name ("w0"),
                          .model = dp_name ("m"),
                          .tokens = 200,
                          .started = TRUE };
  fixture_request (&f, (FixtureRequest){ .id = 1 });
  fixture_held (&f, 0, NULL, 0);
  fixture_held (&f, 1, &running, 1);
  fixture_held (&f, 2, NULL, 0);
  fixture_run (&f, 50 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 1), 0);
  fixture_done (&f, 9, (DpGrantDone){ .target = dp_name ("e0") });
  ck_assert_uint_eq (fixture_target (&f, 1), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (a_repeated_request_is_not_added_again)
{
  Fixture f;
  open_synced (&f, narrow, 1);
  fixture_request (&f, (FixtureRequest){ .id = 1 });
  fixture_request (&f, (FixtureRequest){ .id = 1 });
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_GIVEN), 2);
  fixture_request (&f, (FixtureRequest){ .id = 2 });
  fixture_request (&f, (FixtureRequest){ .id = 2 });
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_QUEUED), 2);
  fixture_done (&f, 1, (DpGrantDone){ 0 });
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_GIVEN), 3);
  fixture_close (&f);
}
END_TEST

/* Requests 1 to 4 arrive in that order while request 100 occupies the only slot. */
typedef struct OrderCase
{
  guint tiers[4];    /* of requests 1 to 4 */
  guint expected[4]; /* requests in the order in which they are granted */
} OrderCase;

static const OrderCase order_cases[] = {
  { { 3, 2, 1, 0 }, { 4, 3, 2, 1 } },
  { { 0, 1, 2, 3 }, { 1, 2, 3, 4 } },
  { { 1, 0, 1, 0 }, { 2, 4, 1, 3 } },
  { { 2, 2, 3, 1 }, { 4, 1, 2, 3 } },
};

START_TEST (tiers_are_served_in_strict_order)
{
  const OrderCase *c = &order_cases[_i];
  Fixture f;
  open_synced (&f, narrow, 1);
  fixture_request (&f, (FixtureRequest){ .id = 100, .tier = 0 });
  for (guint i = 0; i < 4; i++)
    fixture_request (&f, (FixtureRequest){ .id = i + 1, .tier = c->tiers[i] });
  guint previous = 100;
  for (guint i = 0; i < 4; i++)
    {
      fixture_done (&f, previous, (DpGrantDone){ 0 });
      ck_assert_uint_eq (fixture_target (&f, c->expected[i]), dp_name ("e0"));
      ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_GRANT_GIVEN), i + 2);
      previous = c->expected[i];
    }
  fixture_close (&f);
}
END_TEST

START_TEST (ineligible_targets_are_skipped)
{
  Fixture f;
  open_synced (&f, pair, 2);
  fixture_request (&f, (FixtureRequest){ .id = 1, .model = "n" });
  ck_assert_uint_eq (fixture_target (&f, 1), dp_name ("e1"));
  fixture_request (&f, (FixtureRequest){ .id = 2, .model = "n", .excluded = "e1" });
  const DpMessage *refused = fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 2);
  ck_assert_int_eq (refused->grant_refused.reason, DP_REASON_NO_TARGET);
  fixture_request (&f, (FixtureRequest){ .id = 3, .model = "no-such-model" });
  refused = fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 3);
  ck_assert_int_eq (refused->grant_refused.reason, DP_REASON_NO_TARGET);
  fixture_close (&f);
}
END_TEST

typedef struct DeadlineCase
{
  guint prompt;
  guint output;
  DpUsec remaining;
  gboolean refused;
} DeadlineCase;

/* e0 alone computes 1000 prompt tokens per second and generates 50 tokens per second for a
 * single request. */
static const DeadlineCase deadline_cases[] = {
  { 1000, 50, 2100 * DP_USEC_PER_MSEC, FALSE },
  { 1000, 50, 1900 * DP_USEC_PER_MSEC, TRUE },
  { 100, 100, 2200 * DP_USEC_PER_MSEC, FALSE },
  { 100, 100, 2000 * DP_USEC_PER_MSEC, TRUE },
};

START_TEST (a_request_that_cannot_finish_in_time_is_refused)
{
  const DeadlineCase *c = &deadline_cases[_i];
  Fixture f;
  open_synced (&f, narrow, 1);
  fixture_request (
    &f, (FixtureRequest){
          .id = 1, .prompt = c->prompt, .output = c->output, .remaining = c->remaining });
  const DpMessage *refused = fixture_last (&f, DP_MESSAGE_GRANT_REFUSED, 1);
  if (!c->refused)
    {
      ck_assert_ptr_null (refused);
      ck_assert_uint_eq (fixture_target (&f, 1), dp_name ("e0"));
    }
  else
    {
      ck_assert_int_eq (refused->grant_refused.reason, DP_REASON_DEADLINE_UNREACHABLE);
      ck_assert_int_gt (refused->grant_refused.retry_after, 0);
    }
  fixture_close (&f);
}
END_TEST

START_TEST (a_waiting_request_is_revoked_once_it_cannot_finish_in_time)
{
  Fixture f;
  open_synced (&f, narrow, 1);
  fixture_request (&f, (FixtureRequest){ .id = 1, .prompt = 1000 });
  fixture_request (
    &f, (FixtureRequest){ .id = 2, .tier = 1, .remaining = 4000 * DP_USEC_PER_MSEC });
  ck_assert_ptr_nonnull (fixture_last (&f, DP_MESSAGE_GRANT_QUEUED, 2));
  /* its service takes 2.1 s of the 4 s, so it must start within 1.9 s */
  fixture_run (&f, 1850 * DP_USEC_PER_MSEC);
  ck_assert_ptr_null (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 2));
  fixture_run (&f, 100 * DP_USEC_PER_MSEC);
  const DpMessage *revoked = fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 2);
  ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_DEADLINE_UNREACHABLE);
  ck_assert_int_gt (revoked->grant_revoked.retry_after, 0);
  fixture_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler_grants");
  TCase *tcase = tcase_create ("scheduler_grants");
  tcase_add_test (tcase, a_new_owner_grants_nothing_until_it_is_synced);
  tcase_add_test (tcase, reports_of_all_live_entries_end_the_sync_early);
  tcase_add_test (tcase, a_repeated_request_is_not_added_again);
  tcase_add_loop_test (tcase, tiers_are_served_in_strict_order, 0, G_N_ELEMENTS (order_cases));
  tcase_add_test (tcase, ineligible_targets_are_skipped);
  tcase_add_loop_test (tcase, a_request_that_cannot_finish_in_time_is_refused, 0,
                       G_N_ELEMENTS (deadline_cases));
  tcase_add_test (tcase, a_waiting_request_is_revoked_once_it_cannot_finish_in_time);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
