/* Orders to engines: the lease, fencing numbers, loads and unloads. */
#include "tests/orders_simulation.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const guint all_m0[ENGINES] = { 1, 1, 1, 1 };
static const guint mixed[ENGINES] = { 1, 2, 1, 2 };
static const guint swapped[ENGINES] = { 2, 1, 2, 1 };

START_TEST (engines_load_what_the_manifest_lists)
{
  OrdersSimulation *sim = orders_simulation_new (mixed);
  orders_run (sim, 120 * DP_USEC_PER_SEC);
  orders_check_loaded (sim, mixed);
  orders_check_invariants (sim);
  guint orders = sim->engines[0].orders_accepted;
  orders_run (sim, 120 * DP_USEC_PER_SEC);
  ck_assert_msg (sim->engines[0].orders_accepted == orders, "orders continue without a change");
  orders_simulation_free (sim);
}
END_TEST

START_TEST (swapping_models_never_unloads_the_last_copy)
{
  OrdersSimulation *sim = orders_simulation_new (mixed);
  orders_run (sim, 120 * DP_USEC_PER_SEC);
  orders_send_manifest (sim, swapped);
  orders_run (sim, 300 * DP_USEC_PER_SEC);
  orders_check_loaded (sim, swapped);
  orders_check_invariants (sim);
  orders_simulation_free (sim);
}
END_TEST

START_TEST (moving_the_only_copy_loads_before_it_unloads)
{
  static const guint on_first[ENGINES] = { 1, 2, 2, 2 };
  static const guint on_second[ENGINES] = { 0, 1, 2, 2 };
  OrdersSimulation *sim = orders_simulation_new (on_first);
  orders_run (sim, 120 * DP_USEC_PER_SEC);
  orders_check_loaded (sim, on_first);
  orders_send_manifest (sim, on_second);
  orders_run (sim, 300 * DP_USEC_PER_SEC);
  orders_check_loaded (sim, on_second);
  orders_check_invariants (sim);
  orders_simulation_free (sim);
}
END_TEST

/* Slowest order that must be safe: the last one is sent DP_ORDER_DELAY_MAX before the lease
 * expires, and the next holder waits as long again. */
#define SLOWEST_ORDER (2 * DP_ORDER_DELAY_MAX - 1500 * DP_USEC_PER_MSEC)
#define PARTITION_STEPS 90
#define PARTITION_STEP (100 * DP_USEC_PER_MSEC)

/* The holder loses the platform, sends orders while its lease is valid, and its last orders are
 * delayed. None may reach an engine after an order of the next holder. */
START_TEST (delayed_orders_arrive_before_those_of_the_next_holder)
{
  for (guint step = 0; step < PARTITION_STEPS; step++)
    {
      OrdersSimulation *sim = orders_simulation_new (mixed);
      orders_run (sim, 120 * DP_USEC_PER_SEC);
      int holder = orders_holder (sim);
      ck_assert_int_ge (holder, 0);
      sim->store.is_unreachable_from[holder] = TRUE;
      orders_run (sim, step * PARTITION_STEP);
      sim->order_delay[holder] = SLOWEST_ORDER;
      orders_send_manifest (sim, swapped);
      orders_run (sim, 120 * DP_USEC_PER_SEC);
      orders_check_invariants (sim);
      orders_simulation_free (sim);
    }
}
END_TEST

START_TEST (a_resumed_holder_reads_its_lease_before_it_orders)
{
  OrdersSimulation *sim = orders_simulation_new (mixed);
  orders_run (sim, 60 * DP_USEC_PER_SEC);
  int holder = orders_holder (sim);
  ck_assert_int_ge (holder, 0);
  sim->paused[holder] = TRUE;
  orders_run (sim, 3 * DP_USEC_PER_SEC);
  sim->paused[holder] = FALSE;
  sim->store.is_down = TRUE;
  orders_send_manifest (sim, swapped);
  guint sent = sim->orders_sent[holder];
  guint reads = sim->lease_reads[holder];
  orders_run (sim, 3 * DP_USEC_PER_SEC);
  ck_assert_uint_eq (sim->orders_sent[holder], sent);
  ck_assert_uint_gt (sim->lease_reads[holder], reads);
  orders_simulation_free (sim);
}
END_TEST

typedef enum Fault
{
  FAULT_PAUSE,
  FAULT_CRASH,
  FAULT_STORE_DOWN,
  FAULT_STORE_PARTITION,
  FAULT_LOST_REPLIES,
  FAULT_ENGINE_RESTART,
  FAULT_COUNT,
} Fault;

#define FAULT_STEPS 12
#define FAULT_STEP (5900 * DP_USEC_PER_MSEC)

static void
begin_fault (OrdersSimulation *sim, Fault fault, int holder)
{
  switch (fault)
    {
    case FAULT_PAUSE:
      sim->paused[holder] = TRUE;
      break;
    case FAULT_CRASH:
      sim->crashed[holder] = TRUE;
      break;
    case FAULT_STORE_DOWN:
      sim->store.is_down = TRUE;
      break;
    case FAULT_STORE_PARTITION:
      sim->store.is_unreachable_from[holder] = TRUE;
      break;
    case FAULT_LOST_REPLIES:
      sim->store.replies_to_drop = 3;
      break;
    case FAULT_ENGINE_RESTART:
      memset (sim->engines[3].loaded, 0, sizeof sim->engines[3].loaded);
      memset (sim->engines[3].ready_at, 0, sizeof sim->engines[3].ready_at);
      sim->engines[3].restarted_unread = TRUE;
      break;
    default:
      break;
    }
}

static void
end_faults (OrdersSimulation *sim)
{
  sim->store.is_down = FALSE;
  for (int i = 0; i < CONTROLLERS; i++)
    {
      sim->paused[i] = FALSE;
      sim->store.is_unreachable_from[i] = FALSE;
    }
}

/* Each fault and each pair of faults, at regular steps while models are swapped. */
START_TEST (faults_at_every_step_keep_the_invariants)
{
  Fault first = (Fault)(_i / FAULT_COUNT);
  Fault second = (Fault)(_i % FAULT_COUNT);
  for (guint step = 0; step < FAULT_STEPS; step++)
    {
      OrdersSimulation *sim = orders_simulation_new (mixed);
      orders_run (sim, 60 * DP_USEC_PER_SEC);
      orders_send_manifest (sim, swapped);
      orders_run (sim, step * FAULT_STEP);
      int holder = orders_holder (sim);
      begin_fault (sim, first, MAX (holder, 0));
      orders_run (sim, 3 * DP_USEC_PER_SEC);
      if (second != first)
        begin_fault (sim, second, MAX (holder, 0));
      orders_run (sim, 40 * DP_USEC_PER_SEC);
      end_faults (sim);
      orders_run (sim, 400 * DP_USEC_PER_SEC);
      (void)orders_holder (sim);
      orders_check_invariants (sim);
      orders_check_loaded (sim, swapped);
      orders_simulation_free (sim);
    }
}
END_TEST

START_TEST (no_orders_are_sent_without_the_platform)
{
  OrdersSimulation *sim = orders_simulation_new (all_m0);
  orders_run (sim, 5 * DP_USEC_PER_SEC);
  sim->store.is_down = TRUE;
  orders_run (sim, DP_LEASE_DURATION + DP_USEC_PER_SEC);
  guint before = 0;
  for (guint i = 0; i < ENGINES; i++)
    before += sim->engines[i].orders_accepted;
  orders_run (sim, 120 * DP_USEC_PER_SEC);
  guint after = 0;
  for (guint i = 0; i < ENGINES; i++)
    after += sim->engines[i].orders_accepted;
  ck_assert_uint_eq (before, after);
  ck_assert_int_eq (orders_holder (sim), -1);
  orders_simulation_free (sim);
}
END_TEST

START_TEST (a_leaving_holder_releases_the_lease_at_once)
{
  OrdersSimulation *sim = orders_simulation_new (all_m0);
  orders_run (sim, 5 * DP_USEC_PER_SEC);
  int holder = orders_holder (sim);
  ck_assert_int_ge (holder, 0);
  orders_send_view (sim, holder, TRUE);
  orders_run (sim, 4 * DP_USEC_PER_SEC);
  ck_assert_int_eq (orders_holder (sim), 1 - holder);
  orders_check_invariants (sim);
  orders_simulation_free (sim);
}
END_TEST

START_TEST (an_old_fencing_number_is_refused)
{
  OrdersSimulation *sim = orders_simulation_new (all_m0);
  sim->engines[ENGINES - 1].fence_seen = 1000;
  sim->store.next_version = 10;
  orders_run (sim, 60 * DP_USEC_PER_SEC);
  ck_assert_uint_gt (sim->engines[ENGINES - 1].orders_refused, 0);
  ck_assert_uint_eq (sim->engines[ENGINES - 1].orders_accepted, 0);
  orders_simulation_free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("orders");
  TCase *tcase = tcase_create ("orders");
  tcase_add_test (tcase, engines_load_what_the_manifest_lists);
  tcase_add_test (tcase, swapping_models_never_unloads_the_last_copy);
  tcase_add_test (tcase, moving_the_only_copy_loads_before_it_unloads);
  tcase_add_test (tcase, delayed_orders_arrive_before_those_of_the_next_holder);
  tcase_add_test (tcase, a_resumed_holder_reads_its_lease_before_it_orders);
  tcase_add_loop_test (tcase, faults_at_every_step_keep_the_invariants, 0,
                       FAULT_COUNT * FAULT_COUNT);
  tcase_add_test (tcase, no_orders_are_sent_without_the_platform);
  tcase_add_test (tcase, a_leaving_holder_releases_the_lease_at_once);
  tcase_add_test (tcase, an_old_fencing_number_is_refused);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
