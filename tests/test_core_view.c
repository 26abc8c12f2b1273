/* Rendezvous order of the VMs in a view. */
#include "core/view.h"

#include <check.h>
#include <stdlib.h>

#define VM_COUNT 14
#define KEY_COUNT 2000

static DpView *
build_view (DpVmState state_of_first)
{
  DpVm vms[VM_COUNT] = { 0 };
  for (guint i = 0; i < VM_COUNT; i++)
    {
      vms[i].name = dp_hash_bytes (&i, sizeof i, 1);
      vms[i].data_centre = 1 + i % 2;
      vms[i].state = i == 0 ? state_of_first : DP_VM_LIVE;
    }
  return dp_view_new (1, vms, VM_COUNT);
}

START_TEST (a_leaving_vm_moves_only_its_own_keys)
{
  DpView *before = build_view (DP_VM_LIVE);
  DpView *after = build_view (DP_VM_LEAVING);
  guint zero = 0;
  DpName leaving = dp_hash_bytes (&zero, sizeof zero, 1);
  for (guint64 key = 1; key <= KEY_COUNT; key++)
    {
      const DpVm *old_owner, *new_owner;
      ck_assert_uint_eq (dp_view_rank (before, key, 0, &old_owner, 1), 1);
      ck_assert_uint_eq (dp_view_rank (after, key, 0, &new_owner, 1), 1);
      ck_assert (new_owner->name != leaving);
      if (old_owner->name != leaving)
        ck_assert_uint_eq (old_owner->name, new_owner->name);
    }
  dp_view_unref (before);
  dp_view_unref (after);
}
END_TEST

START_TEST (rankings_are_complete_ordered_and_local)
{
  DpView *view = build_view (DP_VM_SUSPECT);
  const DpVm *ranked[VM_COUNT];
  ck_assert_uint_eq (dp_view_rank (view, 77, 0, ranked, VM_COUNT), VM_COUNT);
  ck_assert_int_eq (ranked[VM_COUNT - 1]->state, DP_VM_SUSPECT);
  guint local = dp_view_rank (view, 77, 1, ranked, VM_COUNT);
  ck_assert_uint_eq (local, VM_COUNT / 2);
  for (guint i = 0; i < local; i++)
    ck_assert_uint_eq (ranked[i]->data_centre, 1);
  const DpVm *best[2];
  ck_assert_uint_eq (dp_view_rank (view, 77, 1, best, 2), 2);
  ck_assert_ptr_eq (best[0], ranked[0]);
  ck_assert_ptr_eq (best[1], ranked[1]);
  dp_view_unref (view);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core_view");
  TCase *tcase = tcase_create ("core_view");
  tcase_add_test (tcase, a_leaving_vm_moves_only_its_own_keys);
  tcase_add_test (tcase, rankings_are_complete_ordered_and_local);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
