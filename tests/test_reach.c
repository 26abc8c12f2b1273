/* Paths of VMs to targets: lost links, gateways, blame; several VMs in virtual time. */
#include "core/reach.h"

#include <check.h>
#include <stdlib.h>

#define MSEC DP_USEC_PER_MSEC
#define START (10 * DP_USEC_PER_SEC)
#define VMS_MAX 300
#define TARGETS 18
#define DATA_CENTRES 3
#define SEEDS 20
/* Between two requests of a VM. */
#define REQUEST_INTERVAL (40 * MSEC)
/* Round trips and timeouts of connections. */
#define DIRECT_TIME (2 * MSEC)
#define TUNNEL_TIME (5 * MSEC)
#define DIRECT_TIMEOUT (120 * MSEC)
#define GATEWAY_TIMEOUT (200 * MSEC)

typedef enum Trouble
{
  NO_TROUBLE,
  HANG,   /* connections to targets are not answered */
  REFUSE, /* connections to targets are refused */
  DOWN,   /* the VM doesn't respond, and has no requests */
} Trouble;

typedef struct Vm
{
  DpName name;
  guint data_centre;
  Trouble trouble;
  DpReach *reach;
} Vm;

typedef struct Outcome
{
  guint requests;
  guint served;
  guint direct; /* connections that were tried directly */
  guint blamed; /* targets that were reported as unreachable */
  guint down;   /* requests to targets that are down or unknown */
  DpUsec time;  /* sum over the served requests */
} Outcome;

typedef struct World
{
  guint vm_count;
  guint target_count;
  Vm vms[VMS_MAX];
  gboolean target_down[TARGETS];
  gboolean target_unknown[TARGETS]; /* to gateways */
  DpOwners *owners;                 /* knows nothing: all VMs count as available */
  guint64 random;
} World;

static guint
draw (World *world, guint below)
{
  world->random = dp_hash_bytes (&world->random, sizeof world->random, 3);
  return (guint)(world->random % below);
}

static DpName
data_centre_name (guint index)
{
  return 500 + index;
}

static DpName
target_name (guint index)
{
  return 900 + index;
}

static World *
world_new (guint vm_count, guint64 seed)
{
  World *world = g_new0 (World, 1);
  world->vm_count = vm_count;
  world->target_count = TARGETS;
  world->random = seed;
  world->owners = dp_owners_new (1, START);
  DpVm rows[VMS_MAX] = { 0 };
  for (guint i = 0; i < vm_count; i++)
    {
      Vm *vm = &world->vms[i];
      vm->name = 1000 + i;
      vm->data_centre = i * DATA_CENTRES / vm_count;
      rows[i] = (DpVm){ .name = vm->name, .data_centre = data_centre_name (vm->data_centre) };
    }
  DpView *view = dp_view_new (1, rows, vm_count);
  for (guint i = 0; i < vm_count; i++)
    {
      Vm *vm = &world->vms[i];
      const DpReachOptions options = { .self = vm->name,
                                       .data_centre = data_centre_name (vm->data_centre),
                                       .seed = seed + i,
                                       .owners = world->owners };
      vm->reach = dp_reach_new (&options);
      dp_reach_set_view (vm->reach, view);
    }
  dp_view_unref (view);
  return world;
}

static void
world_free (World *world)
{
  for (guint i = 0; i < world->vm_count; i++)
    dp_reach_free (world->vms[i].reach);
  dp_owners_free (world->owners);
  g_free (world);
}

/* Opens a connection from the VM to the target; adds the time that this takes. */
static gboolean
connect_directly (const World *world, const Vm *vm, guint target, DpUsec *now)
{
  gboolean hangs = vm->trouble == HANG;
  *now += hangs ? DIRECT_TIMEOUT : DIRECT_TIME;
  return vm->trouble == NO_TROUBLE && !world->target_down[target];
}

typedef enum TunnelResult
{
  TUNNEL_OPEN,
  TUNNEL_UNREACHED,
  TUNNEL_FAILED,
  TUNNEL_REFUSED,
} TunnelResult;

static TunnelResult
open_tunnel (World *world, DpName gateway, guint target, DpUsec *now)
{
  Vm *vm = &world->vms[gateway - 1000];
  if (vm->trouble == DOWN)
    {
      *now += GATEWAY_TIMEOUT;
      return TUNNEL_FAILED;
    }
  *now += TUNNEL_TIME - DIRECT_TIME;
  if (!dp_reach_may_serve (vm->reach, *now))
    return TUNNEL_FAILED;
  if (world->target_unknown[target])
    return TUNNEL_REFUSED;
  if (dp_reach_has_lost_link (vm->reach, target_name (target), *now))
    return TUNNEL_FAILED;
  gboolean is_open = connect_directly (world, vm, target, now);
  dp_reach_record_direct (vm->reach, target_name (target), is_open, *now);
  return is_open ? TUNNEL_OPEN : TUNNEL_UNREACHED;
}

static gboolean
try_path (World *world, Vm *vm, DpPathSearch *search, guint target, DpUsec *now)
{
  if (search->path.kind == DP_PATH_DIRECT)
    {
      if (connect_directly (world, vm, target, now))
        return TRUE;
      dp_reach_next (vm->reach, search, DP_PATH_UNREACHED, *now);
      return FALSE;
    }
  switch (open_tunnel (world, search->path.gateway, target, now))
    {
    case TUNNEL_OPEN:
      return TRUE;
    case TUNNEL_UNREACHED:
      dp_reach_next (vm->reach, search, DP_PATH_UNREACHED, *now);
      return FALSE;
    case TUNNEL_FAILED:
      dp_reach_next (vm->reach, search, DP_PATH_GATEWAY_FAILED, *now);
      return FALSE;
    case TUNNEL_REFUSED:
      dp_reach_next (vm->reach, search, DP_PATH_GATEWAY_REFUSED, *now);
      return FALSE;
    }
  return FALSE;
}

static void
request (World *world, Vm *vm, guint target, DpUsec start, Outcome *outcome)
{
  DpUsec now = start;
  DpPathSearch search = dp_reach_begin (vm->reach, target_name (target),
                                        data_centre_name (target % DATA_CENTRES), now);
  gboolean is_open = FALSE;
  while (!is_open && search.path.kind != DP_PATH_NONE)
    {
      outcome->direct += search.path.kind == DP_PATH_DIRECT;
      is_open = try_path (world, vm, &search, target, &now);
    }
  outcome->requests++;
  outcome->down += world->target_down[target] || world->target_unknown[target];
  outcome->served += is_open;
  outcome->blamed += search.is_target_unreached;
  if (!is_open)
    return;
  outcome->time += now - start;
  dp_reach_succeeded (vm->reach, &search, now);
}

/* Requests of all VMs from `start` on; those of VMs in trouble and the others separately. */
static void
run (World *world, DpUsec start, DpUsec span, Outcome *troubled, Outcome *others)
{
  for (DpUsec now = start; now < start + span; now += REQUEST_INTERVAL)
    for (guint i = 0; i < world->vm_count; i++)
      {
        Vm *vm = &world->vms[i];
        if (vm->trouble == DOWN)
          continue;
        /* The order in which arguments are evaluated differs between machines. */
        guint target = draw (world, world->target_count);
        DpUsec delay = draw (world, REQUEST_INTERVAL);
        request (world, vm, target, now + delay, vm->trouble == NO_TROUBLE ? others : troubled);
      }
}

/* --- VMs without links --- */

typedef struct CutCase
{
  const char *name;
  guint vm_count;
  guint cut_share;         /* percent of all VMs, at random */
  gboolean is_data_centre; /* all VMs of one data centre instead */
  Trouble trouble;
  guint down_share;   /* percent of the others that don't respond at all */
  guint target_count; /* 0: TARGETS */
} CutCase;

static const CutCase cut_cases[] = {
  { "one of three, silent", 3, 34, FALSE, HANG, 0 },
  { "most, silent", 15, 60, FALSE, HANG, 0 },
  { "most, refused", 15, 60, FALSE, REFUSE, 0 },
  { "a data centre, silent", 15, 0, TRUE, HANG, 0 },
  { "a data centre, refused", 15, 0, TRUE, REFUSE, 0 },
  { "all but one", 15, 93, FALSE, HANG, 0 },
  { "most of a large fleet", 300, 80, FALSE, HANG, 0 },
  { "a data centre of a large fleet", 300, 0, TRUE, HANG, 0 },
  { "most, and others are dead", 15, 50, FALSE, HANG, 40, 0 },
  { "most, one target", 15, 60, FALSE, HANG, 0, 1 },
  { "most, two targets", 15, 60, FALSE, HANG, 0, 2 },
  { "a data centre, two targets, refused", 15, 0, TRUE, REFUSE, 0, 2 },
};

/* The last rows, in which one target is a large part of all. */
#define FEW_TARGETS_CASES 3
#define MANY_TARGETS_CASES (G_N_ELEMENTS (cut_cases) - FEW_TARGETS_CASES)

static void
apply_cut (World *world, const CutCase *row)
{
  guint cut = (world->vm_count * row->cut_share + 50) / 100;
  for (guint i = 0; i < world->vm_count; i++)
    if (row->is_data_centre && world->vms[i].data_centre == 0)
      world->vms[i].trouble = row->trouble;
  while (!row->is_data_centre && cut > 0)
    {
      Vm *vm = &world->vms[draw (world, world->vm_count)];
      cut -= vm->trouble == NO_TROUBLE;
      vm->trouble = row->trouble;
    }
  guint down = (guint)((double)world->vm_count * row->down_share / 100 / 2);
  for (guint i = 0; i < world->vm_count && down > 0; i++)
    if (world->vms[i].trouble == NO_TROUBLE)
      {
        world->vms[i].trouble = DOWN;
        down--;
      }
}

static World *
make_cut_world (const CutCase *row, guint64 seed)
{
  World *world = world_new (row->vm_count, seed);
  if (row->target_count > 0)
    world->target_count = row->target_count;
  return world;
}

static void
heal (World *world)
{
  for (guint i = 0; i < world->vm_count; i++)
    world->vms[i].trouble = NO_TROUBLE;
}

/* The bounds are the users' rule RECOVER: from 3 s on at least two thirds as often as the
 * others, or no more than 1 in 50 fails; no target may be blamed then. */
START_TEST (callers_of_vms_without_links_are_served_through_others)
{
  const CutCase *row = &cut_cases[_i / SEEDS];
  World *world = make_cut_world (row, 11 + (guint64)_i % SEEDS);
  Outcome before = { 0 }, early = { 0 }, cut = { 0 }, others = { 0 };
  run (world, START, DP_USEC_PER_SEC, &before, &before);
  ck_assert_uint_eq (before.served, before.requests);
  ck_assert_uint_eq (before.direct, before.requests);
  apply_cut (world, row);
  run (world, START + 2 * DP_USEC_PER_SEC, 3 * DP_USEC_PER_SEC, &early, &early);
  run (world, START + 5 * DP_USEC_PER_SEC, 5 * DP_USEC_PER_SEC, &cut, &others);
  ck_assert_msg (cut.served * 50 >= cut.requests * 49, "%s: %u of %u served", row->name,
                 cut.served, cut.requests);
  ck_assert_uint_eq (others.served, others.requests);
  ck_assert_msg (cut.blamed + others.blamed == 0, "%s: %u blamed", row->name, cut.blamed);
  ck_assert_msg (cut.direct * 10 <= cut.requests, "%s: %u direct of %u", row->name, cut.direct,
                 cut.requests);
  heal (world);
  Outcome healing = { 0 }, after = { 0 };
  run (world, START + 10 * DP_USEC_PER_SEC, 3 * DP_USEC_PER_SEC, &healing, &healing);
  ck_assert_uint_eq (healing.served, healing.requests);
  run (world, START + 13 * DP_USEC_PER_SEC, 3 * DP_USEC_PER_SEC, &after, &after);
  ck_assert_uint_eq (after.served, after.requests);
  ck_assert_uint_eq (after.direct, after.requests);
  world_free (world);
}
END_TEST

/* --- targets that are down --- */

START_TEST (a_target_that_is_down_is_blamed_by_all)
{
  World *world = world_new (15, 12);
  world->target_down[4] = TRUE;
  Outcome outcome = { 0 };
  for (guint i = 0; i < world->vm_count; i++)
    request (world, &world->vms[i], 4, START, &outcome);
  ck_assert_uint_eq (outcome.blamed, world->vm_count);
  ck_assert_uint_eq (outcome.served, 0);
  for (guint i = 0; i < world->vm_count; i++)
    ck_assert (!dp_reach_is_cut_off (world->vms[i].reach));
  world_free (world);
}
END_TEST

START_TEST (a_target_that_is_down_costs_vms_without_links_no_gateway)
{
  const CutCase *row = &cut_cases[_i / SEEDS];
  World *world = make_cut_world (row, 21 + (guint64)_i % SEEDS);
  Outcome early = { 0 }, cut = { 0 }, others = { 0 };
  apply_cut (world, row);
  world->target_down[world->target_count - 1] = TRUE;
  run (world, START, 3 * DP_USEC_PER_SEC, &early, &early);
  run (world, START + 3 * DP_USEC_PER_SEC, 5 * DP_USEC_PER_SEC, &cut, &others);
  ck_assert_msg (cut.served * 50 >= (cut.requests - cut.down) * 49, "%s: %u of %u served",
                 row->name, cut.served, cut.requests - cut.down);
  ck_assert_uint_eq (others.served, others.requests - others.down);
  world_free (world);
}
END_TEST

/* A target that has just registered, or that a gateway already knows to be leaving. */
START_TEST (a_target_that_gateways_refuse_costs_vms_without_links_no_gateway)
{
  const CutCase *row = &cut_cases[_i / SEEDS];
  World *world = make_cut_world (row, 31 + (guint64)_i % SEEDS);
  Outcome early = { 0 }, cut = { 0 }, others = { 0 };
  apply_cut (world, row);
  run (world, START, 3 * DP_USEC_PER_SEC, &early, &early);
  world->target_unknown[world->target_count - 1] = TRUE;
  run (world, START + 3 * DP_USEC_PER_SEC, 5 * DP_USEC_PER_SEC, &cut, &others);
  ck_assert_msg (cut.served * 50 >= (cut.requests - cut.down) * 49, "%s: %u of %u served",
                 row->name, cut.served, cut.requests - cut.down);
  ck_assert_uint_eq (cut.blamed + others.blamed, 0);
  ck_assert_uint_eq (others.served, others.requests);
  world_free (world);
}
END_TEST

START_TEST (without_other_vms_a_failed_connection_blames_the_target)
{
  const guint vm_counts[] = { 1, 3 };
  World *world = world_new (vm_counts[_i], 13);
  for (guint i = 1; i < world->vm_count; i++)
    world->vms[i].trouble = DOWN;
  world->target_down[4] = TRUE;
  Outcome outcome = { 0 };
  request (world, &world->vms[0], 3, START, &outcome);
  request (world, &world->vms[0], 4, START + DP_USEC_PER_SEC, &outcome);
  ck_assert_uint_eq (outcome.blamed, 1);
  ck_assert_uint_eq (outcome.served, 1);
  world_free (world);
}
END_TEST

START_TEST (without_any_path_requests_fail_at_once)
{
  World *world = world_new (15, 14);
  for (guint i = 0; i < world->vm_count; i++)
    world->vms[i].trouble = HANG;
  Outcome early = { 0 }, outcome = { 0 };
  run (world, START, DP_USEC_PER_SEC, &early, &early);
  run (world, START + DP_USEC_PER_SEC, 4 * DP_USEC_PER_SEC, &outcome, &outcome);
  ck_assert_uint_eq (outcome.served, 0);
  ck_assert_uint_eq (outcome.blamed, 0);
  ck_assert (outcome.direct * 3 <= outcome.requests);
  heal (world);
  Outcome after = { 0 };
  run (world, START + 6 * DP_USEC_PER_SEC, DP_USEC_PER_SEC, &after, &after);
  run (world, START + 7 * DP_USEC_PER_SEC, DP_USEC_PER_SEC, &outcome, &after);
  ck_assert (after.served * 10 >= after.requests * 9);
  world_free (world);
}
END_TEST

/* --- gateways that fail once --- */

/* Several attempts use the gateway at the same moment, when it pauses or restarts. */
START_TEST (attempts_that_fail_together_at_a_gateway_count_once)
{
  World *world = world_new (2, 16);
  DpReach *reach = world->vms[0].reach;
  DpUsec now = START;
  for (guint i = 0; i < 2; i++)
    {
      DpPathSearch search = dp_reach_begin (reach, target_name (i), data_centre_name (0), now);
      ck_assert_int_eq (search.path.kind, DP_PATH_DIRECT);
      ck_assert (dp_reach_next (reach, &search, DP_PATH_UNREACHED, now));
      dp_reach_succeeded (reach, &search, now);
    }
  ck_assert (dp_reach_is_cut_off (reach));
  DpPathSearch searches[12];
  for (guint i = 0; i < G_N_ELEMENTS (searches); i++)
    {
      searches[i] = dp_reach_begin (reach, target_name (i), data_centre_name (0), now);
      ck_assert_int_eq (searches[i].path.kind, DP_PATH_GATEWAY);
    }
  now += GATEWAY_TIMEOUT;
  for (guint i = 0; i < G_N_ELEMENTS (searches); i++)
    dp_reach_next (reach, &searches[i], DP_PATH_GATEWAY_FAILED, now);
  world->vms[0].trouble = HANG;
  Outcome cut = { 0 }, others = { 0 };
  run (world, now + DP_USEC_PER_SEC, 3 * DP_USEC_PER_SEC, &cut, &others);
  ck_assert_msg (cut.served * 50 >= cut.requests * 49, "%u of %u served", cut.served,
                 cut.requests);
  world_free (world);
}
END_TEST

/* --- a single lost link --- */

START_TEST (a_single_lost_link_is_bypassed_and_tried_again)
{
  World *world = world_new (3, 15);
  DpReach *reach = world->vms[0].reach;
  DpUsec now = START;
  DpPathSearch search = dp_reach_begin (reach, target_name (0), data_centre_name (0), now);
  ck_assert_int_eq (search.path.kind, DP_PATH_DIRECT);
  ck_assert (dp_reach_next (reach, &search, DP_PATH_UNREACHED, now));
  ck_assert_int_eq (search.path.kind, DP_PATH_GATEWAY);
  dp_reach_succeeded (reach, &search, now);
  ck_assert (!dp_reach_is_cut_off (reach));
  ck_assert (dp_reach_may_serve (reach, now));
  search = dp_reach_begin (reach, target_name (0), data_centre_name (0), now + 10 * MSEC);
  ck_assert_int_eq (search.path.kind, DP_PATH_GATEWAY);
  search = dp_reach_begin (reach, target_name (1), data_centre_name (1), now + 20 * MSEC);
  ck_assert_int_eq (search.path.kind, DP_PATH_DIRECT);
  now += DP_USEC_PER_SEC;
  search = dp_reach_begin (reach, target_name (0), data_centre_name (0), now);
  ck_assert_int_eq (search.path.kind, DP_PATH_DIRECT);
  DpPathSearch other = dp_reach_begin (reach, target_name (0), data_centre_name (0), now);
  ck_assert_int_eq (other.path.kind, DP_PATH_GATEWAY);
  dp_reach_succeeded (reach, &search, now);
  other = dp_reach_begin (reach, target_name (0), data_centre_name (0), now);
  ck_assert_int_eq (other.path.kind, DP_PATH_DIRECT);
  world_free (world);
}
END_TEST

/* Without requests of its own, only tunnels tell it that targets are back. */
START_TEST (an_idle_gateway_that_failed_at_several_targets_is_asked_again)
{
  World *world = world_new (2, 17);
  DpReach *reach = world->vms[1].reach;
  for (guint i = 0; i < 3; i++)
    {
      ck_assert (dp_reach_may_serve (reach, START));
      dp_reach_record_direct (reach, target_name (i), FALSE, START);
    }
  DpUsec now = START;
  for (guint i = 0; i < 5; i++)
    {
      ck_assert (!dp_reach_may_serve (reach, now + 400 * MSEC));
      now += 10 * DP_USEC_PER_SEC;
      ck_assert (dp_reach_may_serve (reach, now));
      dp_reach_record_direct (reach, target_name (i), FALSE, now);
    }
  dp_reach_record_direct (reach, target_name (0), TRUE, now);
  ck_assert (dp_reach_may_serve (reach, now));
  world_free (world);
}
END_TEST

/* A VM that was cut off and has had no requests since learns of the end by tunnels only. */
START_TEST (an_idle_vm_that_was_cut_off_is_asked_as_gateway_again)
{
  World *world = world_new (3, 18);
  world->vms[0].trouble = REFUSE;
  Outcome outcome = { 0 };
  for (guint i = 0; i < 4; i++)
    request (world, &world->vms[0], i, START + i * MSEC, &outcome);
  ck_assert (dp_reach_is_cut_off (world->vms[0].reach));
  ck_assert (!dp_reach_may_serve (world->vms[0].reach, START + DP_USEC_PER_SEC));
  ck_assert (dp_reach_may_serve (world->vms[0].reach, START + 10 * DP_USEC_PER_SEC));
  world_free (world);
}
END_TEST

static Suite *
make_suite (void)
{
  Suite *suite = suite_create ("reach");
  TCase *tests = tcase_create ("reach");
  tcase_add_loop_test (tests, callers_of_vms_without_links_are_served_through_others, 0,
                       G_N_ELEMENTS (cut_cases) * SEEDS);
  tcase_add_test (tests, a_target_that_is_down_is_blamed_by_all);
  tcase_add_loop_test (tests, a_target_that_is_down_costs_vms_without_links_no_gateway, 0,
                       MANY_TARGETS_CASES * SEEDS);
  tcase_add_loop_test (tests, a_target_that_gateways_refuse_costs_vms_without_links_no_gateway,
                       0, MANY_TARGETS_CASES * SEEDS);
  tcase_add_loop_test (tests, without_other_vms_a_failed_connection_blames_the_target, 0, 2);
  tcase_add_test (tests, without_any_path_requests_fail_at_once);
  tcase_add_test (tests, attempts_that_fail_together_at_a_gateway_count_once);
  tcase_add_test (tests, an_idle_vm_that_was_cut_off_is_asked_as_gateway_again);
  tcase_add_test (tests, a_single_lost_link_is_bypassed_and_tried_again);
  tcase_add_test (tests, an_idle_gateway_that_failed_at_several_targets_is_asked_again);
  suite_add_tcase (suite, tests);
  return suite;
}

int
main (void)
{
  SRunner *runner = srunner_create (make_suite ());
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
