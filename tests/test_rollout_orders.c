/* Orders to roll out versions as one VM knows them: which state counts, and which versions must
 * not be used. No I/O; versions of the store stand for the order of events. */
#include "core/rollout/rollout_orders.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define NOW (1000 * DP_USEC_PER_SEC)
#define DURATION (60 * DP_USEC_PER_SEC)

static DpName
pool_name (void)
{
  return dp_name ("app");
}

static DpRolloutRow
make_row (const char *target, guint64 created, guint64 revision, DpRolloutState state)
{
  DpRolloutRow row
    = { .duration = DURATION, .created = created, .revision = revision, .state = state };
  g_strlcpy (row.service, "app", sizeof row.service);
  g_strlcpy (row.target, target, sizeof row.target);
  return row;
}

static void
put (DpRolloutOrders *orders, const char *target, guint64 revision, DpRolloutState state)
{
  const DpRolloutRow row = make_row (target, 10, revision, state);
  dp_rollout_orders_put (orders, &row, NOW);
}

static void
hear (DpRolloutOrders *orders, DpRolloutState state, DpUsec age)
{
  const DpRolloutNotice notice = { .pool = pool_name (),
                                   .order = dp_rollout_orders_find (orders, pool_name ())->id,
                                   .state = state,
                                   .age = age };
  dp_rollout_orders_hear (orders, &notice, NOW);
}

static DpRolloutState
state_of (const DpRolloutOrders *orders)
{
  return dp_rollout_entry_state (dp_rollout_orders_find (orders, pool_name ()));
}

/* --- precedence --- */

#define STATES_MAX 4

typedef struct StateCase
{
  const char *name;
  DpRolloutState stored;            /* when the order is read */
  DpRolloutState heard[STATES_MAX]; /* in this order; NONE: no more */
  DpRolloutState read_afterwards;   /* NONE: nothing */
  DpRolloutState state;
} StateCase;

static const StateCase state_cases[] = {
  { "an order without a status", DP_ROLLOUT_NONE, { 0 }, DP_ROLLOUT_NONE, DP_ROLLOUT_RUNNING },
  { "the store says running", DP_ROLLOUT_RUNNING, { 0 }, DP_ROLLOUT_NONE, DP_ROLLOUT_RUNNING },
  { "the stricter one wins, heard last",
    DP_ROLLOUT_RUNNING,
    { DP_ROLLOUT_RUNNING, DP_ROLLOUT_SWITCHING },
    DP_ROLLOUT_NONE,
    DP_ROLLOUT_SWITCHING },
  { "the stricter one wins, heard first",
    DP_ROLLOUT_RUNNING,
    { DP_ROLLOUT_UNCERTAIN, DP_ROLLOUT_SWITCHING, DP_ROLLOUT_RUNNING },
    DP_ROLLOUT_NONE,
    DP_ROLLOUT_UNCERTAIN },
  { "rolled back never changes",
    DP_ROLLOUT_RUNNING,
    { DP_ROLLOUT_ROLLED_BACK, DP_ROLLOUT_UNCERTAIN, DP_ROLLOUT_SWITCHING },
    DP_ROLLOUT_RUNNING,
    DP_ROLLOUT_ROLLED_BACK },
  { "completed counts only when it is read",
    DP_ROLLOUT_RUNNING,
    { DP_ROLLOUT_COMPLETED },
    DP_ROLLOUT_NONE,
    DP_ROLLOUT_SWITCHING },
  { "a final state in the store takes precedence over messages",
    DP_ROLLOUT_RUNNING,
    { DP_ROLLOUT_ROLLED_BACK },
    DP_ROLLOUT_COMPLETED,
    DP_ROLLOUT_COMPLETED },
  { "the store tells how an uncertain one ended",
    DP_ROLLOUT_RUNNING,
    { DP_ROLLOUT_UNCERTAIN },
    DP_ROLLOUT_ROLLED_BACK,
    DP_ROLLOUT_ROLLED_BACK },
  { "a final state is kept, whatever is heard later",
    DP_ROLLOUT_COMPLETED,
    { DP_ROLLOUT_ROLLED_BACK, DP_ROLLOUT_UNCERTAIN },
    DP_ROLLOUT_NONE,
    DP_ROLLOUT_COMPLETED },
  { "a final state that the store has lost is kept",
    DP_ROLLOUT_ROLLED_BACK,
    { 0 },
    DP_ROLLOUT_RUNNING,
    DP_ROLLOUT_ROLLED_BACK },
};

START_TEST (the_strictest_state_counts)
{
  const StateCase *row = &state_cases[_i];
  DpRolloutOrders *orders = dp_rollout_orders_new ();
  put (orders, "v2", 10, row->stored);
  for (guint i = 0; i < STATES_MAX && row->heard[i] != DP_ROLLOUT_NONE; i++)
    hear (orders, row->heard[i], 0);
  if (row->read_afterwards != DP_ROLLOUT_NONE)
    put (orders, "v2", 11, row->read_afterwards);
  ck_assert_msg (state_of (orders) == row->state, "%s: %d", row->name, state_of (orders));
  dp_rollout_orders_free (orders);
}
END_TEST

/* A notice of another order, or for a pool without one, must not change the state. */
START_TEST (a_notice_of_another_order_is_ignored)
{
  DpRolloutOrders *orders = dp_rollout_orders_new ();
  const DpRolloutNotice notice
    = { .pool = pool_name (), .order = 7, .state = DP_ROLLOUT_ROLLED_BACK };
  ck_assert (!dp_rollout_orders_hear (orders, &notice, NOW));
  put (orders, "v2", 10, DP_ROLLOUT_RUNNING);
  ck_assert (!dp_rollout_orders_hear (orders, &notice, NOW));
  ck_assert_int_eq (state_of (orders), DP_ROLLOUT_RUNNING);
  dp_rollout_orders_free (orders);
}
END_TEST

/* A VM that has just started learns the age from others; it must not take the order for newer
 * than it is. */
START_TEST (the_oldest_age_counts)
{
  DpRolloutOrders *orders = dp_rollout_orders_new ();
  put (orders, "v2", 10, DP_ROLLOUT_RUNNING);
  hear (orders, DP_ROLLOUT_RUNNING, 30 * DP_USEC_PER_SEC);
  hear (orders, DP_ROLLOUT_RUNNING, 20 * DP_USEC_PER_SEC);
  const DpRolloutEntry *entry = dp_rollout_orders_find (orders, pool_name ());
  ck_assert_int_eq (dp_rollout_entry_age (entry, NOW), 30 * DP_USEC_PER_SEC);
  GArray *rows = dp_rollout_orders_list (orders, NOW + DP_USEC_PER_SEC);
  ck_assert_int_eq (g_array_index (rows, DpRolloutRow, 0).age, 31 * DP_USEC_PER_SEC);
  g_array_unref (rows);
  dp_rollout_orders_free (orders);
}
END_TEST

/* --- versions --- */

/* Events, in the order in which a VM sees them. */
typedef enum Step
{
  STEP_END,
  STEP_OLD_TARGETS, /* those of v1 alone are listed, at revision 10 */
  STEP_NEW_TARGETS, /* those of v2 too, at revision 20 */
  STEP_ALL_AT_ONCE, /* both are in the first list, at revision 20 */
  STEP_OLD_GONE,    /* those of v2 alone */
  STEP_LIST_OLDER,  /* the list of orders is that of revision 15 */
  STEP_LIST_NEWER,  /* of revision 30 */
  STEP_ORDER,       /* for v2 */
  STEP_ROLLED_BACK, /* the store says so */
  STEP_COMPLETED,
  STEP_UNCERTAIN, /* a VM says so */
  STEP_WITHDRAWN,
  STEP_OTHER_ORDER, /* for v3 */
  STEP_NO_DURATION, /* an order for v2 that can't be followed */
  STEP_NO_VERSION,  /* an order whose version can't be read */
  STEP_AGAIN,       /* another order for v2 */
  STEP_BACK_TO_OLD, /* an order for v1 that can't be followed */
} Step;

static void
add_target (DpDirectory *directory, const char *id, const char *version, guint64 started)
{
  DpTargetRecord record = { .port_number = 80, .slots = 1, .started = started };
  g_strlcpy (record.id, id, sizeof record.id);
  g_strlcpy (record.pool, "app", sizeof record.pool);
  record.version = dp_software_version (version);
  g_strlcpy (record.address, "127.0.0.1", sizeof record.address);
  dp_directory_put (directory, &record);
}

static void
observe (DpRolloutOrders *orders, DpDirectory *directory, guint64 revision)
{
  dp_rollout_orders_observe (orders, directory, (DpStoreVersion){ .revision = revision });
}

static void
play_targets (DpRolloutOrders *orders, DpDirectory *directory, Step step)
{
  if (step != STEP_OLD_GONE)
    add_target (directory, "t1", "v1", 5000);
  else
    dp_directory_remove (directory, dp_name ("t1"), NOW);
  if (step != STEP_OLD_TARGETS)
    add_target (directory, "t2", "v2", 9000);
  observe (orders, directory, step == STEP_OLD_TARGETS ? 10 : 20);
}

static void
play_order (DpRolloutOrders *orders, Step step)
{
  DpRolloutRow row = make_row ("v2", 12, 12, DP_ROLLOUT_NONE);
  switch (step)
    {
    case STEP_ROLLED_BACK:
    case STEP_COMPLETED:
      row.revision = 22;
      row.state = step == STEP_COMPLETED ? DP_ROLLOUT_COMPLETED : DP_ROLLOUT_ROLLED_BACK;
      break;
    case STEP_OTHER_ORDER:
      row = make_row ("v3", 12, 23, DP_ROLLOUT_NONE);
      break;
    case STEP_NO_DURATION:
      row.duration = 0;
      break;
    case STEP_NO_VERSION:
      row.target[0] = '\0';
      break;
    case STEP_AGAIN:
      row = make_row ("v2", 25, 25, DP_ROLLOUT_NONE);
      break;
    case STEP_BACK_TO_OLD:
      row = make_row ("v1", 12, 12, DP_ROLLOUT_NONE);
      row.duration = 0;
      break;
    default:
      break;
    }
  dp_rollout_orders_put (orders, &row, NOW);
}

static void
play (DpRolloutOrders *orders, DpDirectory *directory, Step step)
{
  switch (step)
    {
    case STEP_END:
      break;
    case STEP_OLD_TARGETS:
    case STEP_NEW_TARGETS:
    case STEP_ALL_AT_ONCE:
    case STEP_OLD_GONE:
      play_targets (orders, directory, step);
      break;
    case STEP_LIST_OLDER:
    case STEP_LIST_NEWER:
      dp_rollout_orders_confirm (
        orders, (DpStoreVersion){ .revision = step == STEP_LIST_OLDER ? 15 : 30 });
      break;
    case STEP_UNCERTAIN:
      hear (orders, DP_ROLLOUT_UNCERTAIN, 0);
      break;
    case STEP_WITHDRAWN:
      dp_rollout_orders_withdraw (orders, pool_name ());
      break;
    default:
      play_order (orders, step);
      break;
    }
}

#define STEPS_MAX 7

typedef struct VersionCase
{
  const char *name;
  Step steps[STEPS_MAX];
  gboolean may_use_old;
  gboolean may_use_new;
  gboolean is_active; /* the pool's owner assigns all requests */
} VersionCase;

static const VersionCase version_cases[] = {
  { "one version, no list of orders", { STEP_OLD_TARGETS }, TRUE, TRUE, FALSE },
  { "a version joins, no list of orders",
    { STEP_OLD_TARGETS, STEP_NEW_TARGETS },
    TRUE,
    FALSE,
    FALSE },
  { "a version joins, the list is older than its target",
    { STEP_OLD_TARGETS, STEP_LIST_OLDER, STEP_NEW_TARGETS },
    TRUE,
    FALSE,
    FALSE },
  { "the list is newer and has no order",
    { STEP_OLD_TARGETS, STEP_NEW_TARGETS, STEP_LIST_NEWER },
    TRUE,
    TRUE,
    FALSE },
  { "two versions in the first list of a VM that has just started",
    { STEP_ALL_AT_ONCE },
    TRUE,
    FALSE,
    FALSE },
  { "the old version leaves while the new one is held back",
    { STEP_OLD_TARGETS, STEP_NEW_TARGETS, STEP_OLD_GONE },
    FALSE,
    TRUE,
    FALSE },
  { "an order, the list is older than the target",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_LIST_OLDER, STEP_NEW_TARGETS },
    TRUE,
    FALSE,
    TRUE },
  { "an order, the list is newer",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER },
    TRUE,
    TRUE,
    TRUE },
  { "uncertain",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_UNCERTAIN },
    TRUE,
    FALSE,
    TRUE },
  { "rolled back",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_ROLLED_BACK },
    TRUE,
    FALSE,
    FALSE },
  { "completed, the old targets are still listed",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_COMPLETED },
    TRUE,
    TRUE,
    TRUE },
  { "completed, the old targets are gone",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_COMPLETED,
      STEP_OLD_GONE },
    TRUE,
    TRUE,
    FALSE },
  { "withdrawn halfway",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_WITHDRAWN },
    TRUE,
    FALSE,
    FALSE },
  { "withdrawn after it was completed",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_COMPLETED,
      STEP_WITHDRAWN },
    TRUE,
    TRUE,
    FALSE },
  { "replaced by an order for another version",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_OTHER_ORDER },
    TRUE,
    FALSE,
    TRUE },
  { "withdrawn, then ordered again",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_WITHDRAWN,
      STEP_AGAIN },
    TRUE,
    TRUE,
    TRUE },
  { "rolled back, then ordered again",
    { STEP_OLD_TARGETS, STEP_ORDER, STEP_NEW_TARGETS, STEP_LIST_NEWER, STEP_ROLLED_BACK,
      STEP_AGAIN },
    TRUE,
    TRUE,
    TRUE },
  { "an order that can't be followed",
    { STEP_OLD_TARGETS, STEP_NO_DURATION, STEP_NEW_TARGETS, STEP_LIST_NEWER },
    TRUE,
    FALSE,
    FALSE },
  { "an order whose version can't be read",
    { STEP_OLD_TARGETS, STEP_NO_VERSION, STEP_NEW_TARGETS, STEP_LIST_NEWER },
    TRUE,
    FALSE,
    FALSE },
  { "an order for the version that serves, which can't be followed",
    { STEP_OLD_TARGETS, STEP_BACK_TO_OLD, STEP_NEW_TARGETS, STEP_LIST_NEWER },
    TRUE,
    TRUE,
    FALSE },
};

START_TEST (a_version_is_used_only_where_that_is_known_to_be_right)
{
  const VersionCase *row = &version_cases[_i];
  DpRolloutOrders *orders = dp_rollout_orders_new ();
  DpDirectory *directory = dp_directory_new ();
  for (guint i = 0; i < STEPS_MAX && row->steps[i] != STEP_END; i++)
    play (orders, directory, row->steps[i]);
  gboolean has_old = dp_directory_find (directory, dp_name ("t1")) != NULL;
  gboolean old = dp_rollout_orders_may_use (orders, pool_name (), dp_name ("v1"));
  gboolean new = dp_rollout_orders_may_use (orders, pool_name (), dp_name ("v2"));
  ck_assert_msg (!has_old || old == row->may_use_old, "%s: old", row->name);
  ck_assert_msg (new == row->may_use_new, "%s: new", row->name);
  ck_assert_msg (dp_rollout_orders_is_active (orders, pool_name ()) == row->is_active, "%s",
                 row->name);
  /* The dispatcher keeps the same. */
  DpRolloutOrder order;
  gboolean is_kept = dp_rollout_orders_for_dispatcher (orders, pool_name (), NOW, &order);
  ck_assert_msg (is_kept == (row->is_active || !new), "%s: dispatcher", row->name);
  dp_directory_free (directory);
  dp_rollout_orders_free (orders);
}
END_TEST

/* A watch returns changes again that are known from a later call, oldest first. They must not
 * undo what was decided since. */
START_TEST (older_changes_undo_nothing)
{
  DpRolloutOrders *orders = dp_rollout_orders_new ();
  put (orders, "v2", 10, DP_ROLLOUT_NONE);
  put (orders, "v2", 12, DP_ROLLOUT_RUNNING);
  hear (orders, DP_ROLLOUT_ROLLED_BACK, 0);
  put (orders, "v2", 10, DP_ROLLOUT_NONE);
  const DpRolloutRow other = make_row ("v1", 3, 5, DP_ROLLOUT_NONE);
  ck_assert (!dp_rollout_orders_put (orders, &other, NOW));
  const DpRolloutEntry *entry = dp_rollout_orders_find (orders, pool_name ());
  ck_assert_int_eq (state_of (orders), DP_ROLLOUT_ROLLED_BACK);
  ck_assert_uint_eq (entry->row.revision, 12);
  ck_assert_int_eq (entry->row.state, DP_ROLLOUT_RUNNING);
  dp_rollout_orders_free (orders);
}
END_TEST

/* Revisions are given out again after a restore. */
START_TEST (an_order_written_again_after_a_restore_is_read)
{
  DpRolloutOrders *orders = dp_rollout_orders_new ();
  dp_rollout_orders_confirm (orders, (DpStoreVersion){ 1, 50 });
  put (orders, "v2", 50, DP_ROLLOUT_RUNNING);
  dp_rollout_orders_begin_era (orders, 2);
  ck_assert_uint_eq (dp_rollout_orders_find (orders, pool_name ())->row.revision, 0);
  put (orders, "v2", 20, DP_ROLLOUT_NONE);
  ck_assert_uint_eq (dp_rollout_orders_find (orders, pool_name ())->row.revision, 20);
  dp_rollout_orders_confirm (orders, (DpStoreVersion){ 2, 20 });
  ck_assert_uint_eq (dp_rollout_orders_version (orders).revision, 20);
  dp_rollout_orders_confirm (orders, (DpStoreVersion){ 1, 60 });
  ck_assert_uint_eq (dp_rollout_orders_version (orders).revision, 20);
  dp_rollout_orders_free (orders);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rollout_orders");
  TCase *tests = tcase_create ("rollout_orders");
  tcase_add_loop_test (tests, the_strictest_state_counts, 0, G_N_ELEMENTS (state_cases));
  tcase_add_loop_test (tests, a_version_is_used_only_where_that_is_known_to_be_right, 0,
                       G_N_ELEMENTS (version_cases));
  tcase_add_test (tests, a_notice_of_another_order_is_ignored);
  tcase_add_test (tests, the_oldest_age_counts);
  tcase_add_test (tests, older_changes_undo_nothing);
  tcase_add_test (tests, an_order_written_again_after_a_restore_is_read);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
