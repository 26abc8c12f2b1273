/* Tests membership: which VMs are seen as live, leaving, suspect or dead, and how soon. */
#include "agent_bench.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Requirement: time until all others know that a VM leaves, crashed or is paused. */
#define DETECTION_BOUND (3 * DP_USEC_PER_SEC)
#define SETTLE (12 * DP_USEC_PER_SEC)
#define DATA_CENTRES 4
#define SEEDS 4

static Bench *
new_settled_bench (guint vms, guint64 seed)
{
  Bench *bench = bench_new (DATA_CENTRES, vms, seed);
  bench_propose (bench, 1, "first");
  bench_run (bench, SETTLE);
  for (guint i = 0; i < vms; i++)
    for (guint j = 0; j < vms; j++)
      ck_assert_msg (bench_vm_state (bench, i, j) == DP_VM_LIVE,
                     "seed %u: VM %u sees VM %u in state %d", (guint)seed, i, j,
                     bench_vm_state (bench, i, j));
  return bench;
}

static void
stop_by_signal (Bench *bench, guint vm)
{
  bench->vms[vm].open_requests = 3;
  bench_stop (bench, vm);
}

static void
list_as_leaving (Bench *bench, guint vm)
{
  gboolean leaving[BENCH_VMS_MAX] = { 0 };
  leaving[vm] = TRUE;
  bench_put_vm_list (bench, NULL, leaving);
}

/* Only the VM announces that it leaves: the platform is down. */
static void
stop_by_signal_during_outage (Bench *bench, guint vm)
{
  bench->faults.down = TRUE;
  stop_by_signal (bench, vm);
}

/* The list shows the VM as leaving, while all messages from the VM are lost. */
static void
list_as_leaving_without_own_messages (Bench *bench, guint vm)
{
  for (guint i = 0; i < bench->vm_count; i++)
    bench->link_down[vm][i] = TRUE;
  list_as_leaving (bench, vm);
}

static void
crash_vm (Bench *bench, guint vm)
{
  bench_crash (bench, vm);
}

static void
pause_vm (Bench *bench, guint vm)
{
  bench_pause (bench, vm);
}

static void
crash_vm_during_outage (Bench *bench, guint vm)
{
  bench->faults.down = TRUE;
  bench_crash (bench, vm);
}

/* How one VM departs, and how the others must see it. Whether the VM is first in the rendezvous
 * order of its data centre varies with the seed. */
typedef struct DepartureCase
{
  const char *name;
  void (*depart) (Bench *bench, guint vm);
  gboolean leaving; /* must be seen as leaving; FALSE: any state but live */
} DepartureCase;

static const DepartureCase departure_cases[] = {
  { "SIGTERM", stop_by_signal, TRUE },
  { "list", list_as_leaving, TRUE },
  { "SIGTERM in a platform outage", stop_by_signal_during_outage, TRUE },
  { "list, messages of the VM lost", list_as_leaving_without_own_messages, FALSE },
  { "crashed", crash_vm, FALSE },
  { "paused", pause_vm, FALSE },
  { "crashed in a platform outage", crash_vm_during_outage, FALSE },
};

static gboolean
is_excluded (const Bench *bench, guint vm, guint about, gboolean leaving)
{
  DpVmState state = bench_vm_state (bench, vm, about);
  return leaving ? state == DP_VM_LEAVING : state != DP_VM_LIVE;
}

static guint
count_excluding (const Bench *bench, guint about, gboolean leaving)
{
  guint excluding = 0;
  for (guint i = 0; i < bench->vm_count; i++)
    if (i != about && is_excluded (bench, i, about, leaving))
      excluding++;
  return excluding;
}

static const guint fleet_sizes[] = { 3, 14, 60 };

START_TEST (departed_vm_gets_no_work_within_bound)
{
  guint row = (guint)_i / SEEDS;
  const DepartureCase *c = &departure_cases[row / G_N_ELEMENTS (fleet_sizes)];
  guint vms = fleet_sizes[row % G_N_ELEMENTS (fleet_sizes)];
  guint64 seed = (guint64)(_i % SEEDS) + 1;
  Bench *bench = new_settled_bench (vms, seed);
  guint vm = (guint)seed % vms;
  c->depart (bench, vm);
  bench_run (bench, DETECTION_BOUND);
  guint excluding = count_excluding (bench, vm, c->leaving);
  ck_assert_msg (excluding == vms - 1, "%s, %u VMs, seed %u: only %u VMs know after 3 s",
                 c->name, vms, (guint)seed, excluding);
  /* All other VMs stay live. */
  for (guint i = 0; i < vms; i++)
    for (guint j = 0; j < vms; j++)
      if (i != vm && j != vm)
        ck_assert_int_eq (bench_vm_state (bench, i, j), DP_VM_LIVE);
  bench_free (bench);
}
END_TEST

START_TEST (stopping_vm_exits_once_no_request_is_open)
{
  Bench *bench = new_settled_bench (14, (guint64)_i + 1);
  bench->vms[5].open_requests = 2;
  bench_stop (bench, 5);
  bench_run (bench, 60 * DP_USEC_PER_SEC);
  ck_assert (!bench->vms[5].exited);
  bench->vms[5].open_requests = 0;
  bench_run (bench, DETECTION_BOUND);
  ck_assert (bench->vms[5].exited);
  bench_free (bench);
}
END_TEST

/* A VM that only the list shows as leaving announces that it leaves, but keeps running. */
START_TEST (vm_listed_as_leaving_announces_it)
{
  Bench *bench = new_settled_bench (14, (guint64)_i + 1);
  list_as_leaving (bench, 6);
  bench_run (bench, DETECTION_BOUND);
  ck_assert_int_eq (bench_vm_state (bench, 6, 6), DP_VM_LEAVING);
  ck_assert (!bench->vms[6].exited);
  bench_free (bench);
}
END_TEST

/* A restarted VM is live again for all others, although older updates show it as leaving. */
START_TEST (restarted_vm_is_live_again)
{
  Bench *bench = new_settled_bench (14, (guint64)_i + 1);
  bench_stop (bench, 4);
  bench_run (bench, SETTLE);
  ck_assert (bench->vms[4].exited);
  bench_start (bench, 4, TRUE);
  bench_run (bench, SETTLE);
  ck_assert_uint_eq (count_excluding (bench, 4, FALSE), 0);
  bench_free (bench);
}
END_TEST

START_TEST (resumed_vm_is_live_again)
{
  Bench *bench = new_settled_bench (14, (guint64)_i + 1);
  bench_pause (bench, 4);
  bench_run (bench, 60 * DP_USEC_PER_SEC);
  ck_assert_uint_eq (count_excluding (bench, 4, FALSE), 13);
  bench_resume (bench, 4);
  /* Probes that timed out during its pause don't make other VMs suspect. */
  bench_run (bench, BENCH_STEP);
  for (guint i = 0; i < 14; i++)
    ck_assert_int_eq (bench_vm_state (bench, 4, i), DP_VM_LIVE);
  bench_run (bench, SETTLE);
  ck_assert_uint_eq (count_excluding (bench, 4, FALSE), 0);
  bench_free (bench);
}
END_TEST

/* After a link between two VMs fails in one or both directions, these two don't see each other
 * as live; all other pairs do. */
START_TEST (broken_link_affects_only_its_two_vms)
{
  gboolean both_ways = _i % 2 == 1;
  Bench *bench = new_settled_bench (14, (guint64)_i + 1);
  bench->link_down[1][5] = TRUE;
  bench->link_down[5][1] = both_ways;
  for (int second = 0; second < 60; second++)
    {
      bench_run (bench, DP_USEC_PER_SEC);
      for (guint i = 0; i < 14; i++)
        for (guint j = 0; j < 14; j++)
          if (!(i == 1 && j == 5) && !(i == 5 && j == 1))
            ck_assert_int_eq (bench_vm_state (bench, i, j), DP_VM_LIVE);
    }
  ck_assert_int_ne (bench_vm_state (bench, 1, 5), DP_VM_LIVE);
  ck_assert_int_ne (bench_vm_state (bench, 5, 1), DP_VM_LIVE);
  bench->link_down[1][5] = FALSE;
  bench->link_down[5][1] = FALSE;
  bench_run (bench, SETTLE);
  ck_assert_int_eq (bench_vm_state (bench, 1, 5), DP_VM_LIVE);
  ck_assert_int_eq (bench_vm_state (bench, 5, 1), DP_VM_LIVE);
  bench_free (bench);
}
END_TEST

/* During a partition, each side sees its own VMs as live and the others as dead; after it, all
 * see each other as live. */
START_TEST (partitioned_data_centre_recovers)
{
  Bench *bench = new_settled_bench (14, (guint64)_i + 1);
  bench_partition_data_centre (bench, 1, TRUE);
  bench_run (bench, SETTLE);
  for (guint i = 0; i < 14; i++)
    for (guint j = 0; j < 14; j++)
      if ((i % DATA_CENTRES == 1) == (j % DATA_CENTRES == 1))
        ck_assert_int_eq (bench_vm_state (bench, i, j), DP_VM_LIVE);
      else
        ck_assert_int_eq (bench_vm_state (bench, i, j), DP_VM_DEAD);
  bench_partition_data_centre (bench, 1, FALSE);
  bench_run (bench, SETTLE);
  for (guint i = 0; i < 14; i++)
    for (guint j = 0; j < 14; j++)
      ck_assert_int_eq (bench_vm_state (bench, i, j), DP_VM_LIVE);
  bench_free (bench);
}
END_TEST

/* A VM that the list doesn't show yet is live through its probes. A crashed VM that the list
 * still shows is dead, and is removed once the list omits it. */
START_TEST (lagging_list_is_tolerated)
{
  Bench *bench = new_settled_bench (14, (guint64)_i + 1);
  gboolean absent[BENCH_VMS_MAX] = { [7] = TRUE };
  bench_put_vm_list (bench, absent, NULL);
  bench_run (bench, SETTLE);
  ck_assert_uint_eq (count_excluding (bench, 7, FALSE), 0);
  bench_crash (bench, 9);
  bench_run (bench, 120 * DP_USEC_PER_SEC);
  ck_assert_uint_eq (bench->vms[0].view->vms->len, 14);
  ck_assert_int_eq (bench_vm_state (bench, 0, 9), DP_VM_DEAD);
  absent[9] = TRUE;
  bench_put_vm_list (bench, absent, NULL);
  bench_run (bench, SETTLE);
  guint watchers_without_vm = 0;
  for (guint i = 0; i < 14; i++)
    if (i != 9 && dp_agent_is_watcher (bench->vms[i].core))
      watchers_without_vm += bench->vms[i].view->vms->len == 13;
  ck_assert_uint_ge (watchers_without_vm, DATA_CENTRES);
  bench_free (bench);
}
END_TEST

/* The status may be read before the first tick; without a view by then, the agent crashed. */
START_TEST (status_is_available_before_first_tick)
{
  Bench *bench = bench_new (DATA_CENTRES, 14, 1);
  char *status = dp_agent_format_status (bench->vms[3].core);
  ck_assert_ptr_nonnull (strstr (status, "\"watches_platform\":true"));
  g_free (status);
  bench_free (bench);
}
END_TEST

/* Rows with a missing or wrong name, or without an IP address. */
typedef struct BadRowCase
{
  const char *text;
  const char *address;
} BadRowCase;

static const BadRowCase bad_rows[] = {
  { "", "10.0.0.9" },
  { "other", "10.0.0.9" }, /* doesn't match the row's name, a hash of "ghost" */
  { "ghost", "not an address" },
};

START_TEST (invalid_rows_are_refused)
{
  const BadRowCase *c = &bad_rows[_i];
  Bench *bench = new_settled_bench (3, 1);
  DpVm row = { .name = dp_name ("ghost"), .data_centre = 5, .announcement = 7 };
  g_strlcpy (row.text, c->text, sizeof row.text);
  g_strlcpy (row.address, c->address, sizeof row.address);
  DpMessage message = { .type = DP_MESSAGE_PROBE };
  message.probe.updates = g_array_new (FALSE, TRUE, sizeof (DpVm));
  g_array_append_val (message.probe.updates, row);
  bench_deliver (bench, 0, (DpPeer){ bench->vms[1].row.name, DP_ROLE_AGENT }, &message);
  bench_run (bench, DP_USEC_PER_SEC);
  ck_assert_uint_eq (bench->vms[0].view->vms->len, 3);
  ck_assert_uint_eq (bench_counter_sum (bench, "dogwoodplank_agent_bad_rows_total", NULL, NULL),
                     1);
  dp_message_clear (&message);
  bench_free (bench);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("agent_members");
  TCase *tcase = tcase_create ("agent_members");
  tcase_add_loop_test (tcase, departed_vm_gets_no_work_within_bound, 0,
                       SEEDS * G_N_ELEMENTS (departure_cases) * G_N_ELEMENTS (fleet_sizes));
  tcase_add_loop_test (tcase, stopping_vm_exits_once_no_request_is_open, 0, SEEDS);
  tcase_add_loop_test (tcase, vm_listed_as_leaving_announces_it, 0, SEEDS);
  tcase_add_loop_test (tcase, restarted_vm_is_live_again, 0, SEEDS);
  tcase_add_loop_test (tcase, resumed_vm_is_live_again, 0, SEEDS);
  tcase_add_loop_test (tcase, broken_link_affects_only_its_two_vms, 0, 2 * SEEDS);
  tcase_add_loop_test (tcase, partitioned_data_centre_recovers, 0, SEEDS);
  tcase_add_loop_test (tcase, lagging_list_is_tolerated, 0, SEEDS);
  tcase_add_test (tcase, status_is_available_before_first_tick);
  tcase_add_loop_test (tcase, invalid_rows_are_refused, 0, G_N_ELEMENTS (bad_rows));
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
