/* Buckets of claims may be deleted only when no entry accepts their keys any more. */
#include "core/sweep.h"

#include <check.h>
#include <stdlib.h>

#define NOW (1796345127 * DP_USEC_PER_SEC)
#define DAY (86400 * DP_USEC_PER_SEC)

/* Error of an entry's clock, relative to the VM that deletes. */
static const DpUsec clock_errors[] = { 0, DAY, -DAY, 6 * DAY, -6 * DAY };

START_TEST (accepted_keys_are_never_in_a_deletable_bucket)
{
  DpUsec entry_wall = NOW + clock_errors[_i];
  DpUsec oldest = entry_wall - DP_KEY_RETENTION_MAX;
  for (DpUsec created = oldest; created <= entry_wall + DP_KEY_CLOCK_SKEW_MAX;
       created += DP_CLAIM_SLOT_USEC / 2)
    {
      DpBucketId bucket = dp_idempotency_key_bucket ((DpId){ 1, 2 }, created);
      ck_assert_uint_gt (bucket.slot, dp_sweep_newest_deletable_slot (NOW));
    }
}
END_TEST

START_TEST (old_buckets_become_deletable)
{
  DpUsec created = NOW - DP_KEY_RETENTION_MAX - DP_KEY_CLOCK_SKEW_MAX - DP_SWEEP_MARGIN - DAY;
  DpBucketId bucket = dp_idempotency_key_bucket ((DpId){ 1, 2 }, created);
  ck_assert_uint_le (bucket.slot, dp_sweep_newest_deletable_slot (NOW));
  ck_assert_uint_eq (dp_sweep_newest_deletable_slot (0), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sweep");
  TCase *tcase = tcase_create ("sweep");
  tcase_add_loop_test (tcase, accepted_keys_are_never_in_a_deletable_bucket, 0,
                       G_N_ELEMENTS (clock_errors));
  tcase_add_test (tcase, old_buckets_become_deletable);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
