/* Ownership: reports, crashed entries and owners, pauses, view changes. */
#include "tests/scheduler_fixture.h"

#include <check.h>
#include <stdlib.h>

static const FixtureEngine narrow[] = { { "e0", 1, 1000, 100, 50, 10000, { "m" } } };

static void
open_synced (Fixture *f)
{
  fixture_open (f, &(FixtureOptions){ .engines = narrow, .engine_count = 1 });
  fixture_run (f, 1 * DP_USEC_PER_SEC);
}

static DpHeldGrant
held_row (guint id, const char *target, guint tokens, gboolean started)
{
  return (DpHeldGrant){ .attempt = fixture_id (id),
                        .target = dp_name (target),
                        .tier = dp_name ("dawn"),
                        .workspace = dp_name ("w0"),
                        .model = dp_name ("m"),
                        .tokens = tokens,
                        .started = started };
}

START_TEST (grants_of_a_crashed_entry_expire_after_three_seconds)
{
  Fixture f;
  open_synced (&f);
  fixture_request (&f, (FixtureRequest){ .id = 1, .entry = 1 });
  fixture_request (&f, (FixtureRequest){ .id = 2, .entry = 2 });
  fixture_progress (&f, 1);
  f.silent[1] = TRUE;
  fixture_run (&f, 2900 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 2), 0);
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 2), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (a_grant_missing_from_a_report_has_ended)
{
  Fixture f;
  open_synced (&f);
  fixture_request (&f, (FixtureRequest){ .id = 1, .entry = 1 });
  fixture_progress (&f, 1);
  fixture_request (&f, (FixtureRequest){ .id = 2, .entry = 2 });
  /* a report sent before the grant arrived does not end the grant */
  fixture_held (&f, 1, NULL, 0);
  ck_assert_uint_eq (fixture_target (&f, 2), 0);
  fixture_run (&f, 1100 * DP_USEC_PER_MSEC);
  fixture_held (&f, 1, NULL, 0);
  ck_assert_uint_eq (fixture_target (&f, 2), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (a_new_owner_learns_running_grants_before_it_gives_any)
{
  Fixture f;
  fixture_open (&f, &(FixtureOptions){ .engines = narrow, .engine_count = 1 });
  DpHeldGrant running = held_row (1, "e0", 200, TRUE);
  fixture_request (&f, (FixtureRequest){ .id = 2, .entry = 2 });
  fixture_run (&f, 300 * DP_USEC_PER_MSEC);
  fixture_held (&f, 1, &running, 1);
  fixture_run (&f, 1 * DP_USEC_PER_SEC);
  ck_assert_uint_eq (fixture_target (&f, 2), 0);
  fixture_done (&f, 1, (DpGrantDone){ .target = dp_name ("e0") });
  ck_assert_uint_eq (fixture_target (&f, 2), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (a_resumed_owner_discards_its_state)
{
  Fixture f;
  open_synced (&f);
  fixture_request (&f, (FixtureRequest){ .id = 1, .entry = 1 });
  fixture_request (&f, (FixtureRequest){ .id = 2, .entry = 1 });
  fixture_clear_actions (&f);
  f.now += 20 * DP_USEC_PER_SEC;
  /* messages sent before the pause are delivered first */
  fixture_done (&f, 1, (DpGrantDone){ .target = dp_name ("e0") });
  fixture_run (&f, 100 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 2), 0);
  ck_assert_uint_eq (
    dp_counters_get (f.counters, "dogwoodplank_scheduler_pauses_total", NULL, NULL), 1);
  /* the entry still reports the request as waiting: a revocation makes it send it again */
  DpHeldGrant waiting = held_row (2, NULL, 200, FALSE);
  fixture_held (&f, 1, &waiting, 1);
  const DpMessage *revoked = fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 2);
  ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_NO_OWNER);
  fixture_close (&f);
}
END_TEST

START_TEST (an_owner_that_loses_its_group_revokes_the_queue)
{
  Fixture f;
  open_synced (&f);
  fixture_request (&f, (FixtureRequest){ .id = 1 });
  fixture_request (&f, (FixtureRequest){ .id = 2 });
  fixture_view (&f, (DpVmState[FIXTURE_VMS]){ DP_VM_LEAVING, DP_VM_LIVE, DP_VM_LIVE });
  ck_assert_ptr_null (fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 1));
  const DpMessage *revoked = fixture_last (&f, DP_MESSAGE_GRANT_REVOKED, 2);
  ck_assert_int_eq (revoked->grant_revoked.reason, DP_REASON_NO_OWNER);
  fixture_close (&f);
}
END_TEST

START_TEST (a_vm_that_is_not_first_serves_requests_sent_to_it)
{
  Fixture f;
  fixture_open (&f,
                &(FixtureOptions){ .engines = narrow, .engine_count = 1, .other_owner = TRUE });
  fixture_run (&f, 5 * DP_USEC_PER_SEC);
  fixture_request (&f, (FixtureRequest){ .id = 1 });
  ck_assert_uint_eq (fixture_target (&f, 1), 0);
  fixture_run (&f, 800 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 1), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (an_owner_after_a_view_change_learns_grants_first)
{
  Fixture f;
  fixture_open (&f,
                &(FixtureOptions){ .engines = narrow, .engine_count = 1, .other_owner = TRUE });
  fixture_run (&f, 5 * DP_USEC_PER_SEC);
  fixture_view (&f, (DpVmState[FIXTURE_VMS]){ DP_VM_LIVE, DP_VM_DEAD, DP_VM_DEAD });
  fixture_request (&f, (FixtureRequest){ .id = 1 });
  fixture_run (&f, 600 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 1), 0);
  fixture_run (&f, 200 * DP_USEC_PER_MSEC);
  ck_assert_uint_eq (fixture_target (&f, 1), dp_name ("e0"));
  fixture_close (&f);
}
END_TEST

START_TEST (an_advert_counts_running_and_waiting_requests)
{
  Fixture f;
  open_synced (&f);
  fixture_request (&f, (FixtureRequest){ .id = 1, .tier = 0 });
  fixture_request (&f, (FixtureRequest){ .id = 2, .tier = 2 });
  fixture_clear_actions (&f);
  fixture_held (&f, 2, NULL, 0);
  ck_assert_uint_eq (fixture_count (&f, DP_MESSAGE_ADVERT), 1);
  const DpAdvert *advert
    = &g_array_index (f.actions, DpSchedulerAction, f.actions->len - 1).message.advert;
  ck_assert_uint_eq (advert->group, f.group);
  ck_assert_uint_eq (advert->free_slots, 0);
  ck_assert_uint_eq (advert->tier_count, FIXTURE_TIERS);
  ck_assert_uint_eq (advert->running[0], 1);
  ck_assert_uint_eq (advert->waiting[2], 1);
  ck_assert_int_gt (advert->wait, 0);
  fixture_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("scheduler_owners");
  TCase *tcase = tcase_create ("scheduler_owners");
  tcase_add_test (tcase, grants_of_a_crashed_entry_expire_after_three_seconds);
  tcase_add_test (tcase, a_grant_missing_from_a_report_has_ended);
  tcase_add_test (tcase, a_new_owner_learns_running_grants_before_it_gives_any);
  tcase_add_test (tcase, a_resumed_owner_discards_its_state);
  tcase_add_test (tcase, an_owner_that_loses_its_group_revokes_the_queue);
  tcase_add_test (tcase, a_vm_that_is_not_first_serves_requests_sent_to_it);
  tcase_add_test (tcase, an_owner_after_a_view_change_learns_grants_first);
  tcase_add_test (tcase, an_advert_counts_running_and_waiting_requests);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
