/* Decisions of a node apart from the dispatcher: owners, the target directory, retries, memory,
 * quarantine and pruning. */
#include "core/directory.h"
#include "core/memory.h"
#include "core/owners.h"
#include "core/prune.h"
#include "core/quarantine.h"
#include "core/retry.h"
#include "core/store_version.h"

#include <check.h>
#include <stdlib.h>

#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (10 * DP_USEC_PER_SEC)

/* --- retries --- */

typedef struct RetryCase
{
  const char *name;
  DpAttemptFacts facts;
  DpNextStep step;
} RetryCase;

/* Facts of a first attempt with time and budget left, except for the given ones. */
#define FACTS(end_is, ...)                                                                     \
  {                                                                                            \
    .end = DP_ATTEMPT_##end_is, .runs_max = 2, .time_left = SEC, __VA_ARGS__                   \
  }
#define FIRST .attempt_count = 1, .within_budget = TRUE
#define RAN .runs = 1, .may_have_run = TRUE

static const RetryCase retry_cases[] = {
  { "unsent, not repeatable", FACTS (UNSENT, FIRST), DP_STEP_RETRY },
  { "no path, repeatable", FACTS (NO_PATH, FIRST, .is_repeatable = TRUE), DP_STEP_NOT_RUN },
  { "no path, but an earlier attempt may have run",
    FACTS (NO_PATH, FIRST, .may_have_run = TRUE, .is_repeatable = TRUE), DP_STEP_UNKNOWN },
  { "no path to continue a stream",
    FACTS (NO_PATH, FIRST, RAN, .is_repeatable = TRUE, .answer_started = TRUE), DP_STEP_ABORT },
  { "declined, not repeatable", FACTS (DECLINED, FIRST), DP_STEP_RETRY },
  { "declined, no budget", FACTS (DECLINED, .attempt_count = 1), DP_STEP_NOT_RUN },
  { "declined too often", FACTS (DECLINED, .attempt_count = 4, .within_budget = TRUE),
    DP_STEP_NOT_RUN },
  { "declined, but an earlier attempt may have run",
    FACTS (DECLINED, .attempt_count = 4, .within_budget = TRUE, .may_have_run = TRUE),
    DP_STEP_UNKNOWN },
  { "broke, not repeatable", FACTS (BROKE, FIRST, RAN), DP_STEP_UNKNOWN },
  { "broke, repeatable", FACTS (BROKE, FIRST, RAN, .is_repeatable = TRUE), DP_STEP_RETRY },
  { "broke, repeatable, as often as the route allows",
    FACTS (BROKE, FIRST, .runs = 2, .may_have_run = TRUE, .is_repeatable = TRUE),
    DP_STEP_UNKNOWN },
  { "broke in a stream that can be resumed",
    FACTS (
      BROKE, FIRST, RAN, .is_repeatable = TRUE, .answer_started = TRUE, .can_resume = TRUE),
    DP_STEP_RETRY },
  { "broke in a stream that can't be resumed",
    FACTS (BROKE, FIRST, RAN, .answer_started = TRUE), DP_STEP_ABORT },
  { "error, not repeatable", FACTS (ERROR, FIRST, RAN), DP_STEP_FORWARD },
  { "silent, repeatable", FACTS (SILENT, FIRST, RAN, .is_repeatable = TRUE), DP_STEP_RETRY },
  { "silent for a second before its first event, as often as the route allows",
    FACTS (
      SILENT, FIRST, .runs = 2, .may_have_run = TRUE, .is_repeatable = TRUE, .silence = SEC),
    DP_STEP_WAIT },
  { "silent for two seconds before its first event, as often as the route allows",
    FACTS (SILENT,
           FIRST,
           .runs = 2,
           .may_have_run = TRUE,
           .is_repeatable = TRUE,
           .silence = 2 * SEC),
    DP_STEP_UNKNOWN },
  { "silent in a stream that can be resumed",
    FACTS (
      SILENT, FIRST, RAN, .is_repeatable = TRUE, .answer_started = TRUE, .can_resume = TRUE),
    DP_STEP_RETRY },
  { "silent in a stream that was resumed as often as the route allows",
    FACTS (SILENT,
           FIRST,
           .runs = 2,
           .may_have_run = TRUE,
           .is_repeatable = TRUE,
           .answer_started = TRUE,
           .can_resume = TRUE),
    DP_STEP_WAIT },
  { "silent in a stream, no budget",
    FACTS (SILENT,
           .attempt_count = 1,
           RAN,
           .is_repeatable = TRUE,
           .answer_started = TRUE,
           .can_resume = TRUE),
    DP_STEP_WAIT },
  { "error, repeatable", FACTS (ERROR, FIRST, RAN, .is_repeatable = TRUE), DP_STEP_RETRY },
};

START_TEST (retry_decision_after_a_failed_attempt)
{
  const RetryCase *row = &retry_cases[_i];
  ck_assert_msg (dp_retry_decide (&row->facts) == row->step, "%s", row->name);
}
END_TEST

START_TEST (repeats_keep_to_their_budget_in_any_window)
{
  DpRetryBudget budget = { 0 };
  dp_retry_budget_init (&budget, 0.2, 10 * SEC);
  /* The VM knows only itself at first, as after a start, and then learns of the others. */
  dp_retry_budget_set_slack (&budget, 24, 1);
  dp_retry_budget_set_slack (&budget, 24, 12);
  DpUsec spent[4000] = { 0 };
  guint count = 0;
  for (DpUsec now = START; now < START + 30 * SEC; now += 10 * MSEC)
    {
      dp_retry_budget_count_request (&budget, now);
      if (dp_retry_budget_spend (&budget, now))
        spent[count++] = now;
    }
  ck_assert_uint_gt (count, 100);
  for (guint first = 0; first < count; first++)
    {
      guint within = 0;
      while (first + within < count && spent[first + within] - spent[first] < 10 * SEC)
        within++;
      /* 1,000 requests in the window: 200, plus 24 / 12 of the spare budget. */
      ck_assert_uint_le (within, 202);
    }
}
END_TEST

/* --- memory --- */

typedef struct MemoryCase
{
  const char *name;
  gsize used; /* of a limit of 100 */
  gboolean was_short;
  gboolean is_short;
} MemoryCase;

static const MemoryCase memory_cases[] = {
  { "at half", 50, FALSE, FALSE },
  { "at the bound", 60, FALSE, FALSE },
  { "above the bound", 61, FALSE, TRUE },
  { "decreasing, still above the lower bound", 55, TRUE, TRUE },
  { "back at the lower bound", 50, TRUE, FALSE },
};

START_TEST (memory_shortage_starts_and_ends_at_its_bounds)
{
  const MemoryCase *row = &memory_cases[_i];
  ck_assert_msg (dp_memory_is_short (row->used, 100, row->was_short) == row->is_short, "%s",
                 row->name);
  ck_assert (!dp_memory_is_short (row->used, 0, row->was_short));
}
END_TEST

/* --- directory --- */

typedef struct DirectoryStep
{
  gboolean is_removal;
  gboolean is_draining;
  guint64 started;
  gboolean after_outage; /* the platform was unreachable for longer than entries live */
} DirectoryStep;

typedef struct DirectoryCase
{
  const char *name;
  DirectoryStep steps[3];
  guint count;
  gboolean may_use;
} DirectoryCase;

static const DirectoryCase directory_cases[] = {
  { "ready", { { FALSE, FALSE, 5, FALSE } }, 1, TRUE },
  { "draining", { { FALSE, FALSE, 5, FALSE }, { FALSE, TRUE, 5, FALSE } }, 2, FALSE },
  { "an older answer does not end a drain",
    { { FALSE, FALSE, 5, FALSE }, { FALSE, TRUE, 5, FALSE }, { FALSE, FALSE, 5, FALSE } },
    3,
    FALSE },
  { "a drain is remembered after the entry was removed",
    { { FALSE, TRUE, 5, FALSE }, { TRUE, FALSE, 0, FALSE }, { FALSE, FALSE, 5, FALSE } },
    3,
    FALSE },
  { "a new start under the same id is a new incarnation",
    { { FALSE, TRUE, 5, FALSE }, { FALSE, FALSE, 6, FALSE } },
    2,
    TRUE },
  { "a late entry of an earlier incarnation",
    { { FALSE, FALSE, 6, FALSE }, { FALSE, TRUE, 5, FALSE } },
    2,
    TRUE },
  { "removed", { { FALSE, FALSE, 5, FALSE }, { TRUE, FALSE, 0, FALSE } }, 2, FALSE },
  { "expired while the platform was unreachable",
    { { FALSE, FALSE, 5, FALSE }, { TRUE, FALSE, 0, TRUE } },
    2,
    TRUE },
  { "draining, and expired then",
    { { FALSE, TRUE, 5, FALSE }, { TRUE, FALSE, 0, TRUE } },
    2,
    FALSE },
};

START_TEST (records_determine_which_targets_are_usable)
{
  const DirectoryCase *row = &directory_cases[_i];
  DpDirectory *directory = dp_directory_new ();
  for (guint i = 0; i < row->count; i++)
    {
      const DirectoryStep *step = &row->steps[i];
      DpTargetRecord record = { .id = "t",
                                .pool = "p",
                                .slots = 1,
                                .is_draining = step->is_draining,
                                .started = step->started };
      if (step->is_removal)
        {
          dp_directory_record_contact (directory, 3 * SEC, START);
          dp_directory_record_contact (directory, 3 * SEC,
                                       START + (step->after_outage ? 4 : 2) * SEC);
          dp_directory_remove (directory, dp_name ("t"), START + 5 * SEC);
        }
      else
        dp_directory_put (directory, &record);
    }
  ck_assert_msg (dp_directory_may_use (directory, dp_name ("t"), START) == row->may_use, "%s",
                 row->name);
  dp_directory_free (directory);
}
END_TEST

/* What the directory learns about a target, from the target itself or from the platform. */
typedef enum TargetEvent
{
  EVENT_NONE,
  EVENT_LEAVING,       /* the target reports that it is leaving */
  EVENT_OTHER_LEAVING, /* another VM reports that an earlier incarnation is leaving */
  EVENT_PAUSE,         /* the target takes no requests for two seconds */
  EVENT_LISTED,        /* the platform lists it as ready */
  EVENT_STARTED,       /* the same for a new incarnation */
} TargetEvent;

typedef struct TargetEventCase
{
  const char *name;
  TargetEvent events[3];
  DpUsec checked_after;
  gboolean may_use;
} TargetEventCase;

static const TargetEventCase target_event_cases[] = {
  { "leaves", { EVENT_LEAVING }, SEC, FALSE },
  { "leaves, and is still listed as ready", { EVENT_LEAVING, EVENT_LISTED }, SEC, FALSE },
  { "left, and started again", { EVENT_LEAVING, EVENT_STARTED }, SEC, TRUE },
  { "an earlier incarnation left", { EVENT_OTHER_LEAVING }, SEC, TRUE },
  { "reported as leaving twice", { EVENT_LEAVING, EVENT_LEAVING }, SEC, FALSE },
  { "pauses", { EVENT_PAUSE }, SEC, FALSE },
  { "pauses, and is listed again", { EVENT_PAUSE, EVENT_LISTED }, SEC, FALSE },
  { "pauses, and starts again", { EVENT_PAUSE, EVENT_STARTED }, SEC, TRUE },
  { "after the pause", { EVENT_PAUSE }, 2 * SEC, TRUE },
  { "leaves while paused", { EVENT_PAUSE, EVENT_LEAVING }, 3 * SEC, FALSE },
};

static void
apply_event (DpDirectory *directory, TargetEvent event)
{
  DpTargetRecord record
    = { .id = "t", .pool = "pool", .address = "127.0.0.1", .port_number = 80, .started = 5 };
  switch (event)
    {
    case EVENT_LEAVING:
      dp_directory_record_leaving (directory, dp_name ("t"), 5);
      break;
    case EVENT_OTHER_LEAVING:
      dp_directory_record_leaving (directory, dp_name ("t"), 4);
      break;
    case EVENT_PAUSE:
      dp_directory_pause (directory, dp_name ("t"), START + 2 * SEC);
      break;
    case EVENT_STARTED:
      record.started = 6;
      dp_directory_put (directory, &record);
      break;
    case EVENT_LISTED:
      dp_directory_put (directory, &record);
      break;
    case EVENT_NONE:
      break;
    }
}

/* --- versions of the store --- */

typedef struct VersionCase
{
  const char *name;
  DpStoreVersion a;
  DpStoreVersion b;
  int sign;
} VersionCase;

static const VersionCase version_cases[] = {
  { "same", { 2, 7 }, { 2, 7 }, 0 },
  { "newer revision", { 2, 8 }, { 2, 7 }, 1 },
  { "newer era, older revision", { 3, 1 }, { 2, 7 }, 1 },
  { "older era, newer revision", { 2, 90 }, { 3, 7 }, -1 },
  { "same revision of two eras", { 2, 7 }, { 3, 7 }, -1 },
  { "one era unknown", { 0, 8 }, { 3, 7 }, 1 },
  { "both eras unknown", { 0, 6 }, { 0, 7 }, -1 },
};

START_TEST (versions_are_ordered_by_era_and_revision)
{
  const VersionCase *row = &version_cases[_i];
  int forward = dp_store_version_compare (row->a, row->b);
  int backward = dp_store_version_compare (row->b, row->a);
  ck_assert_msg ((forward > 0) - (forward < 0) == row->sign, "%s: %d", row->name, forward);
  ck_assert_msg ((backward > 0) - (backward < 0) == -row->sign, "%s: %d", row->name, backward);
}
END_TEST

START_TEST (a_restored_store_removes_no_live_target)
{
  DpDirectory *directory = dp_directory_new ();
  DpTargetRecord record = { .id = "t", .pool = "pool", .started = 5 };
  DpName name = dp_name ("t");
  dp_directory_record_contact (directory, 3 * SEC, START);
  dp_directory_put (directory, &record);
  dp_directory_begin_grace_period (directory, START);
  dp_directory_remove (directory, name, START + MSEC);
  dp_directory_expire (directory, START + SEC);
  ck_assert (dp_directory_may_use (directory, name, START + SEC));
  ck_assert (!dp_directory_is_gone (directory, name, 5));
  dp_directory_expire (directory, START + DP_RECONNECT_GRACE_PERIOD);
  ck_assert (!dp_directory_may_use (directory, name, START + DP_RECONNECT_GRACE_PERIOD));
  /* A restored entry of this incarnation is out of date, one of a new incarnation is not. */
  ck_assert (dp_directory_is_gone (directory, name, 5));
  ck_assert (!dp_directory_is_gone (directory, name, 6));
  dp_directory_put (directory, &record);
  ck_assert (!dp_directory_is_gone (directory, name, 5));
  dp_directory_free (directory);
}
END_TEST

/* --- limits of targets --- */

typedef struct LimitEvent
{
  gboolean is_listing; /* the target is listed as incarnation `started` */
  guint64 started;
  gboolean is_set;
  double per_second;
  DpUsec observed_at;
  gboolean is_change;
} LimitEvent;

typedef struct LimitCase
{
  const char *name;
  LimitEvent events[3]; /* after the listing of incarnation 5; ends with observed_at 0 */
  double per_second;    /* afterwards; -1: no limit */
} LimitCase;

#define LISTED(incarnation)                                                                    \
  {                                                                                            \
    .is_listing = TRUE, .started = incarnation, .observed_at = 1, .is_change = TRUE            \
  }
#define STATED(limit, at, change)                                                              \
  {                                                                                            \
    .started = 5, .is_set = TRUE, .per_second = limit, .observed_at = at, .is_change = change  \
  }
#define ENDED(at, change)                                                                      \
  {                                                                                            \
    .started = 5, .observed_at = at, .is_change = change                                       \
  }

static const LimitCase limit_cases[] = {
  { "stated", { STATED (2, SEC, TRUE) }, 2 },
  { "stated as zero", { STATED (0, SEC, TRUE) }, 0 },
  { "repeated", { STATED (2, SEC, TRUE), STATED (2, 2 * SEC, FALSE) }, 2 },
  { "lowered", { STATED (2, SEC, TRUE), STATED (1, 2 * SEC, TRUE) }, 1 },
  { "ended", { STATED (2, SEC, TRUE), ENDED (2 * SEC, TRUE) }, -1 },
  { "an older end arrives late", { STATED (2, 2 * SEC, TRUE), ENDED (SEC, FALSE) }, 2 },
  { "an older limit arrives late",
    { STATED (2, SEC, TRUE), ENDED (3 * SEC, TRUE), STATED (2, 2 * SEC, FALSE) },
    -1 },
  { "of another incarnation",
    { { .started = 4, .is_set = TRUE, .per_second = 2, .observed_at = SEC } },
    -1 },
  { "the target has restarted", { STATED (2, SEC, TRUE), LISTED (6) }, -1 },
  { "listed again",
    { STATED (2, SEC, TRUE), { .is_listing = TRUE, .started = 5, .observed_at = 1 } },
    2 },
};

static void
check_limit_event (DpDirectory *directory, const LimitCase *row, const LimitEvent *event)
{
  DpTargetRecord record = { .id = "t", .pool = "pool", .started = event->started };
  const DpLimitReport report = { .target = dp_name ("t"),
                                 .started = event->started,
                                 .is_set = event->is_set,
                                 .per_second = event->per_second,
                                 .observed_at = event->observed_at };
  gboolean is_change = event->is_listing
                         ? dp_directory_put (directory, &record)
                         : dp_directory_record_limit (directory, &report, START);
  ck_assert_msg (is_change == event->is_change, "%s", row->name);
}

START_TEST (the_latest_response_determines_a_targets_limit)
{
  const LimitCase *row = &limit_cases[_i];
  DpDirectory *directory = dp_directory_new ();
  DpTargetRecord record = { .id = "t", .pool = "pool", .started = 5 };
  dp_directory_put (directory, &record);
  for (guint i = 0; i < G_N_ELEMENTS (row->events) && row->events[i].observed_at != 0; i++)
    check_limit_event (directory, row, &row->events[i]);
  const DpDirectoryRow *found = dp_directory_find (directory, dp_name ("t"));
  double per_second = found->limit.is_set ? found->limit.per_second : -1;
  ck_assert_msg (per_second == row->per_second, "%s: %f", row->name, per_second);
  dp_directory_free (directory);
}
END_TEST

/* --- brittle targets --- */

typedef enum BrittleEventType
{
  BRITTLE_END,
  BRITTLE_STATED,
  BRITTLE_OVER,   /* a response without a statement */
  BRITTLE_LISTED, /* as a new incarnation */
  BRITTLE_REMOVED,
} BrittleEventType;

typedef struct BrittleEvent
{
  BrittleEventType type;
  const char *target;
  guint rejections_max;
  DpUsec observed_at;
  gboolean is_no_change;
} BrittleEvent;

typedef struct BrittleCase
{
  const char *name;
  BrittleEvent events[5]; /* after the listing of targets t and u of one pool */
  int t;                  /* rejections_max afterwards; -1: not brittle, -2: no such target */
  int u;
  gboolean was_brittle; /* when its targets were last seen */
} BrittleCase;

static const BrittleCase brittle_cases[] = {
  { "the first brittle target speaks for its pool", { { BRITTLE_STATED, "t", 3, SEC } }, 3, 3 },
  { "one that accepts no rejection", { { BRITTLE_STATED, "t", 0, SEC } }, 0, 0 },
  { "stated again",
    { { BRITTLE_STATED, "t", 3, SEC }, { BRITTLE_STATED, "t", 3, 2 * SEC, TRUE } },
    3,
    3 },
  { "changed", { { BRITTLE_STATED, "t", 3, SEC }, { BRITTLE_STATED, "t", 5, 2 * SEC } }, 5, 3 },
  { "over at one",
    { { BRITTLE_STATED, "t", 3, SEC }, { BRITTLE_OVER, "u", 0, 2 * SEC } },
    3,
    -1 },
  { "stated again after it was over at another",
    { { BRITTLE_STATED, "t", 3, SEC },
      { BRITTLE_OVER, "u", 0, 2 * SEC },
      { BRITTLE_STATED, "t", 3, 3 * SEC, TRUE } },
    3,
    -1 },
  { "an older end arrives late",
    { { BRITTLE_STATED, "t", 3, 2 * SEC }, { BRITTLE_OVER, "t", 0, SEC, TRUE } },
    3,
    3 },
  { "an older statement arrives late",
    { { BRITTLE_STATED, "t", 3, SEC },
      { BRITTLE_OVER, "t", 0, 3 * SEC },
      { BRITTLE_STATED, "t", 3, 2 * SEC, TRUE } },
    -1,
    3 },
  { "a target is back after a fall",
    { { BRITTLE_STATED, "t", 3, SEC }, { BRITTLE_LISTED, "t" } },
    3,
    3 },
  { "both are back after falls, which nobody saw between",
    { { BRITTLE_STATED, "t", 3, SEC },
      { BRITTLE_REMOVED, "t" },
      { BRITTLE_REMOVED, "u" },
      { BRITTLE_LISTED, "t" },
      { BRITTLE_LISTED, "u" } },
    3,
    3 },
  { "a target that starts after the end",
    { { BRITTLE_STATED, "t", 3, SEC },
      { BRITTLE_OVER, "t", 0, 2 * SEC },
      { BRITTLE_OVER, "u", 0, 2 * SEC },
      { BRITTLE_LISTED, "t" } },
    -1,
    -1 },
  { "all removed",
    { { BRITTLE_STATED, "t", 3, SEC }, { BRITTLE_REMOVED, "t" }, { BRITTLE_REMOVED, "u" } },
    -2,
    -2,
    TRUE },
  { "removed", { { BRITTLE_STATED, "t", 3, SEC }, { BRITTLE_REMOVED, "u" } }, 3, -2 },
};

static void
put_incarnation (DpDirectory *directory, const char *target, guint64 started)
{
  DpTargetRecord record = { .pool = "pool", .started = started };
  g_strlcpy (record.id, target, sizeof record.id);
  dp_directory_put (directory, &record);
}

static void
apply_brittle_event (DpDirectory *directory, const BrittleCase *row, const BrittleEvent *event)
{
  static guint64 started = 10;
  const DpDirectoryRow *target = dp_directory_find (directory, dp_name (event->target));
  const DpBrittleReport report = { .target = dp_name (event->target),
                                   .started = target != NULL ? target->record.started : 0,
                                   .is_set = event->type == BRITTLE_STATED,
                                   .rejections_max = event->rejections_max,
                                   .observed_at = event->observed_at };
  if (event->type == BRITTLE_LISTED)
    put_incarnation (directory, event->target, ++started);
  else if (event->type == BRITTLE_REMOVED)
    dp_directory_remove (directory, dp_name (event->target), START);
  else
    ck_assert_msg (dp_directory_record_brittle (directory, &report, START)
                     == !event->is_no_change,
                   "%s", row->name);
}

static int
rejections_max_of (const DpDirectory *directory, const char *target)
{
  const DpDirectoryRow *row = dp_directory_find (directory, dp_name (target));
  if (row == NULL)
    return -2;
  return row->brittle.is_set ? (int)row->brittle.rejections_max : -1;
}

START_TEST (the_latest_response_determines_whether_a_target_is_brittle)
{
  const BrittleCase *row = &brittle_cases[_i];
  DpDirectory *directory = dp_directory_new ();
  put_incarnation (directory, "t", 5);
  put_incarnation (directory, "u", 5);
  for (guint i = 0; i < G_N_ELEMENTS (row->events) && row->events[i].type != BRITTLE_END; i++)
    apply_brittle_event (directory, row, &row->events[i]);
  ck_assert_msg (dp_directory_is_pool_brittle (directory, dp_name ("pool"))
                   == (row->t >= 0 || row->u >= 0 || row->was_brittle),
                 "%s", row->name);
  ck_assert_msg (rejections_max_of (directory, "t") == row->t
                   && rejections_max_of (directory, "u") == row->u,
                 "%s: %d, %d", row->name, rejections_max_of (directory, "t"),
                 rejections_max_of (directory, "u"));
  dp_directory_free (directory);
}
END_TEST

START_TEST (a_targets_own_report_overrides_its_listing)
{
  const TargetEventCase *row = &target_event_cases[_i];
  DpDirectory *directory = dp_directory_new ();
  apply_event (directory, EVENT_LISTED);
  for (guint i = 0; i < G_N_ELEMENTS (row->events); i++)
    apply_event (directory, row->events[i]);
  ck_assert_msg (dp_directory_may_use (directory, dp_name ("t"), START + row->checked_after)
                   == row->may_use,
                 "%s", row->name);
  dp_directory_free (directory);
}
END_TEST

/* The platform is unreachable for 6 s; the removal of the target's entry is seen some time
 * after that. */
typedef struct LapseCase
{
  const char *name;
  DpUsec removed_after;
  DpUsec checked_after;
  gboolean may_use;
} LapseCase;

static const LapseCase lapse_cases[] = {
  { "missing at reconnection", 0, 1 * SEC, TRUE },
  { "still missing after the grace time", 0, 2 * SEC, FALSE },
  { "removed late in the grace time", 1900 * MSEC, 1950 * MSEC, TRUE },
  { "removed late, no second grace time", 1900 * MSEC, 2 * SEC, FALSE },
  { "removed after the grace time", 2100 * MSEC, 2100 * MSEC, FALSE },
};

START_TEST (a_lapsed_target_is_dropped_in_time)
{
  const LapseCase *row = &lapse_cases[_i];
  DpDirectory *directory = dp_directory_new ();
  DpTargetRecord record = { .id = "t", .pool = "p", .slots = 1 };
  DpUsec back = START + 6 * SEC;
  dp_directory_record_contact (directory, 3 * SEC, START);
  dp_directory_put (directory, &record);
  dp_directory_record_contact (directory, 3 * SEC, back);
  dp_directory_replace (directory, NULL, 0, back + row->removed_after);
  dp_directory_expire (directory, back + row->checked_after);
  ck_assert_msg (dp_directory_may_use (directory, dp_name ("t"), START) == row->may_use, "%s",
                 row->name);
  dp_directory_free (directory);
}
END_TEST

/* --- quarantine --- */

#define FINGERPRINT 77

typedef enum QuarantineStep
{
  Q_END,
  Q_BROKE_OFF, /* a target broke off at this process */
  Q_MESSAGE,   /* another process sent its count */
  Q_SERVED,
  Q_WAIT,
} QuarantineStep;

typedef struct QuarantineCase
{
  const char *name;
  struct
  {
    QuarantineStep step;
    guint value; /* target, count, or milliseconds */
  } steps[6];
  gboolean is_blocked;
} QuarantineCase;

static const QuarantineCase quarantine_cases[] = {
  { "three targets", { { Q_BROKE_OFF, 1 }, { Q_BROKE_OFF, 2 }, { Q_BROKE_OFF, 3 } }, TRUE },
  { "two targets", { { Q_BROKE_OFF, 1 }, { Q_BROKE_OFF, 2 } }, FALSE },
  { "one target at once",
    { { Q_BROKE_OFF, 1 }, { Q_BROKE_OFF, 1 }, { Q_BROKE_OFF, 1 } },
    FALSE },
  { "one target that restarts",
    { { Q_BROKE_OFF, 1 },
      { Q_WAIT, 3000 },
      { Q_BROKE_OFF, 1 },
      { Q_WAIT, 3000 },
      { Q_BROKE_OFF, 1 } },
    TRUE },
  { "served in between",
    { { Q_BROKE_OFF, 1 }, { Q_BROKE_OFF, 2 }, { Q_SERVED, 0 }, { Q_BROKE_OFF, 3 } },
    FALSE },
  { "counted by another process", { { Q_MESSAGE, 3 } }, TRUE },
  { "two counted by another process, one here",
    { { Q_MESSAGE, 2 }, { Q_BROKE_OFF, 3 } },
    TRUE },
  { "cleared by another process", { { Q_MESSAGE, 3 }, { Q_MESSAGE, 0 } }, FALSE },
  { "after the block", { { Q_MESSAGE, 3 }, { Q_WAIT, 61000 } }, FALSE },
  { "one failure after the block",
    { { Q_MESSAGE, 3 }, { Q_WAIT, 61000 }, { Q_BROKE_OFF, 4 } },
    TRUE },
  { "one failure after the count expired",
    { { Q_MESSAGE, 3 }, { Q_WAIT, 601000 }, { Q_BROKE_OFF, 4 } },
    FALSE },
};

static DpUsec
apply_quarantine_step (DpQuarantineTable *table, QuarantineStep step, guint value, DpUsec now)
{
  const DpQuarantine message
    = { .fingerprint = FINGERPRINT, .failures = value, .remaining = 60 * SEC, .target = 100 };
  switch (step)
    {
    case Q_BROKE_OFF:
      dp_quarantine_record_failure (table, FINGERPRINT, value, now);
      break;
    case Q_MESSAGE:
      dp_quarantine_merge (table, &message, now);
      break;
    case Q_SERVED:
      dp_quarantine_clear (table, FINGERPRINT);
      break;
    case Q_WAIT:
      now += value * MSEC;
      dp_quarantine_tick (table, now);
      break;
    case Q_END:
      break;
    }
  return now;
}

START_TEST (requests_that_crash_targets_are_quarantined)
{
  const QuarantineCase *row = &quarantine_cases[_i];
  const DpQuarantineOptions options = {
    .failures_max = 3, .block_duration = 60 * SEC, .memory_duration = 600 * SEC, .rows_max = 2
  };
  DpQuarantineTable *table = dp_quarantine_new (&options);
  DpUsec now = START;
  for (guint i = 0; i < G_N_ELEMENTS (row->steps); i++)
    now = apply_quarantine_step (table, row->steps[i].step, row->steps[i].value, now);
  ck_assert_msg (dp_quarantine_blocks (table, FINGERPRINT, now, NULL) == row->is_blocked, "%s",
                 row->name);
  dp_quarantine_free (table);
}
END_TEST

START_TEST (the_number_of_fingerprints_is_bounded)
{
  const DpQuarantineOptions options
    = { .failures_max = 1, .block_duration = SEC, .memory_duration = SEC, .rows_max = 2 };
  DpQuarantineTable *table = dp_quarantine_new (&options);
  for (guint64 fingerprint = 1; fingerprint <= 5; fingerprint++)
    dp_quarantine_record_failure (table, fingerprint, 1, START);
  ck_assert_uint_eq (dp_quarantine_count (table), 2);
  ck_assert (!dp_quarantine_blocks (table, 3, START, NULL));
  dp_quarantine_free (table);
}
END_TEST

/* --- owners --- */

enum
{
  OWNER_VMS = 9,
  OWNER_KEY = 4242,
};

static DpOwners *
make_owners (DpName self, guint heavy)
{
  DpVm vms[OWNER_VMS] = { 0 };
  for (guint i = 0; i < OWNER_VMS; i++)
    vms[i] = (DpVm){ .name = i + 1, .weight = i == heavy ? 100000 : 100 };
  DpView *view = dp_view_new (1, vms, OWNER_VMS);
  DpOwners *owners = dp_owners_new (self, 0);
  dp_owners_set_view (owners, view);
  dp_view_unref (view);
  return owners;
}

/* --- builds side by side --- */

enum
{
  BUILD_VMS = 12,
  BUILD_KEYS = 60,
};

/* The VMs, of which the first `newer` are of this build. VMs of level 0 pass lists on without
 * levels. */
static DpOwners *
make_mixed_owners (guint newer, guint64 level)
{
  DpVm vms[BUILD_VMS] = { 0 };
  for (guint i = 0; i < BUILD_VMS; i++)
    {
      guint share = i % 3 == 0 ? 84 : 170;
      vms[i] = (DpVm){ .name = i + 1, .weight = share };
      if (i < newer)
        vms[i].weight = dp_vm_stated_weight (share);
      if (i < newer)
        vms[i].rules = level;
    }
  DpView *view = dp_view_new (1, vms, BUILD_VMS);
  DpOwners *owners = dp_owners_new (BUILD_VMS + 1, 0);
  dp_owners_set_view (owners, view);
  dp_view_unref (view);
  for (DpName vm = 1; vm <= BUILD_VMS; vm++)
    dp_owners_on_message (owners, vm, START);
  return owners;
}

/* All builds of level 0 rank by the class of the stated weight, so the choice without levels is
 * theirs. */
START_TEST (owners_are_of_the_newest_build_for_vms_of_all_builds)
{
  guint newer = (guint)_i;
  DpOwners *older = make_mixed_owners (newer, 0);
  for (guint64 level = 1; level <= DP_RULES_LEVEL; level++)
    {
      DpOwners *owners = make_mixed_owners (newer, level);
      for (DpName key = 1; key <= BUILD_KEYS; key++)
        {
          DpName owner = dp_owners_choose (owners, key, START);
          ck_assert_msg (newer == 0 || owner <= newer, "VM %u of %u", (guint)owner, newer);
          ck_assert_uint_eq (owner, dp_owners_choose (older, key, START));
        }
      dp_owners_free (owners);
    }
  dp_owners_free (older);
}
END_TEST

/* The owner as one VM after the other is replaced: each change is to the VM that has just been
 * replaced, or away from the VM of the older build that is. In reverse, for a rollback, each is
 * away from the VM that is taken back. */
START_TEST (replacing_vms_one_by_one_does_not_make_owners_flap)
{
  for (DpName key = 1; key <= BUILD_KEYS; key++)
    {
      DpName previous = 0;
      for (guint newer = 1; newer <= BUILD_VMS; newer++)
        {
          DpOwners *owners = make_mixed_owners (newer, DP_RULES_LEVEL);
          DpName owner = dp_owners_choose (owners, key, START);
          dp_owners_free (owners);
          ck_assert_msg (previous == 0 || owner == previous || owner == newer,
                         "key %u: from VM %u to VM %u as VM %u is replaced", (guint)key,
                         (guint)previous, (guint)owner, newer);
          previous = owner;
        }
    }
}
END_TEST

typedef struct RulesCase
{
  const char *name;
  guint64 in_entry;
  guint64 in_message;
  gboolean has_message;
  guint64 rules;
} RulesCase;

static const RulesCase rules_cases[] = {
  { "an entry without", 0, 0, FALSE, 0 },
  { "an entry alone", 1, 0, FALSE, 1 },
  { "a list from an older VM", 0, 1, TRUE, 1 },
  { "taken back, the entry is still that of the newer build", 1, 0, TRUE, 0 },
  { "a newer build", 1, 2, TRUE, 2 },
  { "an entry out of range", DP_RULES_LEVEL_MAX + 1, 0, FALSE, 0 },
  { "a message out of range", 0, G_MAXUINT64, TRUE, 0 },
};

START_TEST (the_level_of_a_vm_is_what_it_stated_last)
{
  const RulesCase *row = &rules_cases[_i];
  const DpVm vms[2] = { { .name = 1, .rules = row->in_entry }, { .name = 2, .rules = 1 } };
  DpView *view = dp_view_new (1, vms, G_N_ELEMENTS (vms));
  DpOwners *owners = dp_owners_new (3, 0);
  dp_owners_set_view (owners, view);
  dp_owners_choose (owners, OWNER_KEY, START);
  if (row->has_message)
    dp_owners_set_rules (owners, 1, row->in_message);
  ck_assert_msg (dp_owners_rules (owners, 1) == row->rules, "%s", row->name);
  ck_assert_msg (row->rules <= 1 || dp_owners_choose (owners, OWNER_KEY, START) == 1, "%s",
                 row->name);
  dp_view_unref (view);
  dp_owners_free (owners);
}
END_TEST

START_TEST (a_stated_weight_keeps_the_share)
{
  static const guint shares[] = { 1, 84, 170, 4000, 15000 };
  for (guint i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      const DpVm older = { .weight = shares[i] };
      const DpVm vm = { .weight = dp_vm_stated_weight (shares[i]), .rules = DP_RULES_LEVEL };
      ck_assert_uint_eq (dp_vm_share (&older), shares[i]);
      ck_assert_uint_eq (dp_vm_share (&vm), shares[i]);
      ck_assert_uint_le (vm.weight, DP_VM_WEIGHT_MAX);
    }
  ck_assert_uint_eq (dp_vm_stated_weight (G_MAXUINT), DP_VM_WEIGHT_MAX);
}
END_TEST

START_TEST (all_vms_choose_the_same_owner)
{
  DpOwners *owners = make_owners (1, OWNER_VMS);
  DpName expected = dp_owners_choose (owners, OWNER_KEY, START);
  dp_owners_free (owners);
  for (DpName self = 2; self <= OWNER_VMS; self++)
    {
      owners = make_owners (self, OWNER_VMS);
      ck_assert_uint_eq (dp_owners_choose (owners, OWNER_KEY, START), expected);
      dp_owners_free (owners);
    }
}
END_TEST

START_TEST (the_strongest_vm_owns_all_keys)
{
  DpOwners *owners = make_owners (1, 4);
  guint owned = 0;
  for (DpName key = 1; key <= 200; key++)
    owned += dp_owners_choose (owners, key, START) == 5;
  ck_assert_uint_eq (owned, 200);
  ck_assert (!dp_owners_is_strongest (owners));
  dp_owners_free (owners);
}
END_TEST

typedef struct RelayCase
{
  const char *name;
  guint vms;
  guint data_centres; /* VMs are spread over them in turn */
  guint leaving;      /* one of the relays is leaving */
  guint relays;
  guint relay_clients; /* VMs that each relay serves */
} RelayCase;

static const RelayCase relay_cases[] = {
  { "two VMs without relays", 2, 2, 0, 2, 0 },
  { "three VMs", 3, 3, 0, 2, 2 },
  { "a small fleet", 19, 4, 0, 2, 18 },
  { "a small fleet, one relay leaving", 19, 4, 1, 2, 18 },
  { "the largest small fleet", 32, 4, 0, 2, 31 },
  { "a large fleet has relays in each data centre", 36, 4, 0, 8, 8 },
};

enum
{
  RELAY_VMS_MAX = 36,
};

/* Collects the VMs that consider themselves relays, while VM `leaving` is leaving (0: none). */
static guint
collect_relays (const RelayCase *row, DpName leaving, DpName *relays)
{
  DpVm vms[RELAY_VMS_MAX] = { 0 };
  for (guint i = 0; i < row->vms; i++)
    vms[i] = (DpVm){ .name = i + 1, .weight = 170, .data_centre = 1 + i % row->data_centres };
  DpView *view = dp_view_new (1, vms, row->vms);
  guint count = 0;
  for (DpName self = 1; self <= row->vms; self++)
    {
      DpOwners *owners = dp_owners_new (self, 0);
      dp_owners_set_view (owners, view);
      if (leaving != 0)
        dp_owners_set_leaving (owners, leaving, TRUE, START);
      guint relay_clients = 0;
      for (guint i = 0; i < row->vms; i++)
        relay_clients += dp_owners_is_relay_client (owners, &vms[i]);
      ck_assert_msg (relay_clients == row->relay_clients, "%s: %u relay clients", row->name,
                     relay_clients);
      if (self != leaving && dp_owners_is_relay (owners))
        relays[count++] = self;
      dp_owners_free (owners);
    }
  dp_view_unref (view);
  return count;
}

START_TEST (two_vms_per_fleet_or_data_centre_are_relays)
{
  const RelayCase *row = &relay_cases[_i];
  DpName relays[RELAY_VMS_MAX] = { 0 };
  guint count = collect_relays (row, 0, relays);
  if (row->leaving > 0)
    count = collect_relays (row, relays[0], relays);
  ck_assert_msg (count == row->relays, "%s: %u relays", row->name, count);
  gboolean are_apart
    = (relays[0] - 1) % row->data_centres != (relays[1] - 1) % row->data_centres;
  ck_assert_msg (count != 2 || are_apart, "%s: both relays in one data centre", row->name);
}
END_TEST

typedef struct ReachableCase
{
  const char *name;
  guint seen;           /* VMs seen, except for this one */
  DpUsec checked_after; /* after they were seen */
  double reach;
} ReachableCase;

static const ReachableCase reachable_cases[] = {
  { "all seen recently", OWNER_VMS - 1, SEC, 1 },
  { "none seen since the start", 0, 0, 1.0 / OWNER_VMS },
  { "two of the others", 2, SEC, 3.0 / OWNER_VMS },
  { "two, but not recently", 2, 3 * SEC, 1.0 / OWNER_VMS },
  { "all, but long ago", OWNER_VMS - 1, 9 * SEC, 1.0 / OWNER_VMS },
};

START_TEST (reachable_fraction_counts_recently_seen_vms)
{
  const ReachableCase *row = &reachable_cases[_i];
  DpOwners *owners = make_owners (1, OWNER_VMS);
  for (DpName vm = 2; vm < 2 + row->seen; vm++)
    dp_owners_on_message (owners, vm, START);
  double reach = dp_owners_reachable_fraction (owners, START + row->checked_after);
  ck_assert_msg (reach > row->reach - 0.01 && reach < row->reach + 0.01, "%s: fraction %g",
                 row->name, reach);
  dp_owners_free (owners);
}
END_TEST

typedef struct OwnerCase
{
  const char *name;
  guint timeouts; /* two seconds apart, the last one at START */
  gboolean leaving;
  gboolean message_after; /* right after the last timeout */
  gboolean restarted;
  DpUsec checked_after;
  gboolean is_owner;
} OwnerCase;

static const OwnerCase owner_cases[] = {
  { "responsive", 0, FALSE, FALSE, FALSE, SEC, TRUE },
  { "one timeout", 1, FALSE, FALSE, FALSE, SEC, FALSE },
  { "one timeout, responsive for less than a second", 1, FALSE, TRUE, FALSE, 900 * MSEC,
    FALSE },
  { "one timeout, responsive for a second", 1, FALSE, TRUE, FALSE, 1100 * MSEC, TRUE },
  { "two timeouts, responsive for a second", 2, FALSE, TRUE, FALSE, 1100 * MSEC, FALSE },
  { "two timeouts, responsive for two seconds", 2, FALSE, TRUE, FALSE, 2100 * MSEC, TRUE },
  { "many timeouts, responsive for eight seconds", 9, FALSE, TRUE, FALSE, 8100 * MSEC, TRUE },
  { "leaving", 0, TRUE, FALSE, FALSE, SEC, FALSE },
  { "leaving, still sending messages", 0, TRUE, TRUE, FALSE, SEC, FALSE },
  { "restarted less than two seconds ago", 0, TRUE, TRUE, TRUE, 1900 * MSEC, FALSE },
  { "restarted two seconds ago", 0, TRUE, TRUE, TRUE, 2100 * MSEC, TRUE },
};

START_TEST (an_unresponsive_owner_is_passed_over)
{
  const OwnerCase *row = &owner_cases[_i];
  DpName self = 1;
  DpOwners *owners = make_owners (self, OWNER_VMS);
  DpName key = OWNER_KEY;
  while (dp_owners_choose (owners, key, START) == self)
    key++;
  DpName first = dp_owners_choose (owners, key, START);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_on_message (owners, vm, START);
  for (guint i = row->timeouts; i > 0; i--)
    {
      dp_owners_on_message (owners, first, START - (DpUsec)i * 2 * SEC);
      dp_owners_on_timeout (owners, first, START - (DpUsec)(i - 1) * 2 * SEC);
    }
  dp_owners_set_leaving (owners, first, row->leaving, START);
  if (row->message_after)
    dp_owners_on_message (owners, first, START);
  if (row->restarted)
    dp_owners_set_leaving (owners, first, FALSE, START);
  ck_assert_msg ((dp_owners_choose (owners, key, START + row->checked_after) == first)
                   == row->is_owner,
                 "%s", row->name);
  dp_owners_free (owners);
}
END_TEST

START_TEST (a_vm_that_has_just_started_owns_nothing)
{
  DpVm vms[OWNER_VMS] = { 0 };
  for (guint i = 0; i < OWNER_VMS; i++)
    vms[i] = (DpVm){ .name = i + 1, .weight = i == 0 ? 100000 : 100 };
  DpView *view = dp_view_new (1, vms, OWNER_VMS);
  DpOwners *owners = dp_owners_new (1, START);
  ck_assert_uint_eq (dp_owners_choose (owners, OWNER_KEY, START), 1);
  dp_owners_set_view (owners, view);
  ck_assert (dp_owners_is_strongest (owners));
  ck_assert_uint_ne (dp_owners_choose (owners, OWNER_KEY, START + SEC), 1);
  ck_assert_uint_eq (dp_owners_choose (owners, OWNER_KEY, START + 2 * SEC), 1);
  dp_view_unref (view);
  dp_owners_free (owners);
}
END_TEST

START_TEST (a_stopping_vm_owns_nothing_while_another_responds)
{
  DpName self = 1;
  DpOwners *owners = make_owners (self, OWNER_VMS);
  DpName key = OWNER_KEY;
  while (dp_owners_choose (owners, key, START) != self)
    key++;
  dp_owners_set_leaving (owners, self, TRUE, START);
  DpName next = dp_owners_choose (owners, key, START);
  ck_assert_uint_ne (next, self);
  GArray *due = g_array_new (FALSE, FALSE, sizeof (DpName));
  dp_owners_due_probes (owners, key, 1, START, due);
  ck_assert_uint_eq (due->len, 1);
  ck_assert_uint_eq (g_array_index (due, DpName, 0), next);
  g_array_unref (due);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_on_timeout (owners, vm, START);
  ck_assert_uint_eq (dp_owners_choose (owners, key, START), self);
  dp_owners_free (owners);
}
END_TEST

START_TEST (a_vm_accepts_the_owner_again_once_reconnected)
{
  DpOwners *owners = make_owners (1, OWNER_VMS);
  DpName key = OWNER_KEY;
  while (dp_owners_choose (owners, key, START) == 1)
    key++;
  DpName first = dp_owners_choose (owners, key, START);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_on_timeout (owners, vm, START);
  ck_assert_uint_eq (dp_owners_choose (owners, key, START), 1);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_on_message (owners, vm, START + SEC);
  ck_assert_uint_eq (dp_owners_choose (owners, key, START + SEC), first);
  dp_owners_free (owners);
}
END_TEST

/* VMs 2 to OWNER_VMS; those up to `responding_max` answer each probe. */
typedef struct PruneCase
{
  const char *name;
  DpName responding_max;
  guint seconds;
  guint gone;
} PruneCase;

static const PruneCase prune_cases[] = {
  { "all respond", OWNER_VMS, 120, 0 },
  { "one is gone", OWNER_VMS - 1, 120, 1 },
  { "one does not respond for 50 s", OWNER_VMS - 1, 50, 0 },
  { "three are gone", OWNER_VMS - 3, 120, 3 },
  { "cut off from most", 3, 120, 0 },
};

START_TEST (unresponsive_vms_are_gone_after_a_timeout)
{
  const PruneCase *row = &prune_cases[_i];
  DpOwners *owners = make_owners (1, OWNER_VMS);
  DpPrune *prune = dp_prune_new ();
  DpVm vms[OWNER_VMS] = { 0 };
  for (guint i = 0; i < OWNER_VMS; i++)
    vms[i].name = i + 1;
  DpView *view = dp_view_new (1, vms, OWNER_VMS);
  GArray *probes = g_array_new (FALSE, FALSE, sizeof (DpName));
  GArray *gone = g_array_new (FALSE, FALSE, sizeof (DpName));
  for (guint second = 0; second < row->seconds; second++)
    {
      DpUsec now = START + second * SEC;
      g_array_set_size (probes, 0);
      g_array_set_size (gone, 0);
      dp_prune_tick (prune, owners, view, 1, now, probes, gone);
      for (guint i = 0; i < probes->len; i++)
        if (g_array_index (probes, DpName, i) <= row->responding_max)
          dp_owners_on_message (owners, g_array_index (probes, DpName, i), now + 10 * MSEC);
    }
  ck_assert_msg (gone->len == row->gone, "%s: %u are gone", row->name, gone->len);
  g_array_unref (probes);
  g_array_unref (gone);
  dp_view_unref (view);
  dp_prune_free (prune);
  dp_owners_free (owners);
}
END_TEST

/* Collects the first VMs of the key's ranking, as a VM that is not listed sees them. */
static void
rank_first (DpName *ranked, guint count)
{
  DpOwners *owners = make_owners (OWNER_VMS + 1, OWNER_VMS);
  for (guint i = 0; i < count; i++)
    {
      ranked[i] = dp_owners_choose (owners, OWNER_KEY, START);
      dp_owners_set_leaving (owners, ranked[i], TRUE, START);
      for (DpName vm = 1; vm <= OWNER_VMS; vm++)
        dp_owners_on_message (owners, vm, START);
    }
  dp_owners_free (owners);
}

/* No VM has heard of those further down the ranking before. */
START_TEST (vms_agree_on_the_owner_while_all_first_candidates_stop)
{
  DpName ranked[DP_OWNER_CANDIDATES + 1];
  rank_first (ranked, G_N_ELEMENTS (ranked));
  DpName next = ranked[DP_OWNER_CANDIDATES];
  for (DpName self = 1; self <= OWNER_VMS; self++)
    {
      DpOwners *owners = make_owners (self, OWNER_VMS);
      for (guint i = 0; i < DP_OWNER_CANDIDATES; i++)
        dp_owners_set_leaving (owners, ranked[i], TRUE, START);
      ck_assert_uint_eq (dp_owners_choose (owners, OWNER_KEY, START), next);
      GArray *due = g_array_new (FALSE, FALSE, sizeof (DpName));
      dp_owners_due_probes (owners, OWNER_KEY, 1, START, due);
      gboolean is_probed = self == next;
      for (guint i = 0; i < due->len; i++)
        is_probed = is_probed || g_array_index (due, DpName, i) == next;
      ck_assert (is_probed);
      g_array_unref (due);
      dp_owners_free (owners);
    }
}
END_TEST

typedef struct AvailableCase
{
  const char *name;
  DpName vms[4];
  guint count;
  DpName leaving[2];
  DpName unresponsive;
  DpName expected[4];
} AvailableCase;

static const AvailableCase available_cases[] = {
  { "none", { 0 }, 0, { 2 }, 0, { 0 } },
  { "all available", { 3, 2, 4 }, 3, { 0 }, 0, { 3, 2, 4 } },
  { "the first leaves", { 3, 2, 4 }, 3, { 3 }, 0, { 2, 4, 3 } },
  { "the second leaves", { 3, 2, 4 }, 3, { 2 }, 0, { 3, 4, 2 } },
  { "the last leaves", { 3, 2, 4 }, 3, { 4 }, 0, { 3, 2, 4 } },
  { "the first two leave", { 3, 2, 4, 5 }, 4, { 3, 2 }, 0, { 4, 5, 3, 2 } },
  { "one leaves, one is unresponsive", { 3, 2, 4, 5 }, 4, { 2 }, 4, { 3, 5, 2, 4 } },
};

START_TEST (available_vms_are_told_of_a_stream_first)
{
  const AvailableCase *row = &available_cases[_i];
  DpOwners *owners = make_owners (1, OWNER_VMS);
  for (guint i = 0; i < G_N_ELEMENTS (row->leaving); i++)
    if (row->leaving[i] != 0)
      dp_owners_set_leaving (owners, row->leaving[i], TRUE, START);
  if (row->unresponsive != 0)
    dp_owners_on_timeout (owners, row->unresponsive, START);
  DpName vms[G_N_ELEMENTS (row->vms)];
  memcpy (vms, row->vms, sizeof vms);
  dp_owners_prefer_available (owners, vms, row->count);
  ck_assert_msg (memcmp (vms, row->expected, sizeof vms) == 0, "%s", row->name);
  dp_owners_free (owners);
}
END_TEST

START_TEST (a_vm_without_peers_owns_all_keys)
{
  DpOwners *owners = make_owners (1, OWNER_VMS);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_on_timeout (owners, vm, START);
  ck_assert_uint_eq (dp_owners_choose (owners, OWNER_KEY, START), 1);
  dp_owners_free (owners);
}
END_TEST

START_TEST (an_unanswered_probe_makes_a_vm_unresponsive)
{
  DpName self = 1;
  DpOwners *owners = make_owners (self, OWNER_VMS);
  DpName key = OWNER_KEY;
  while (dp_owners_choose (owners, key, START) == self)
    key++;
  DpName first = dp_owners_choose (owners, key, START);
  GArray *due = g_array_new (FALSE, FALSE, sizeof (DpName));
  dp_owners_due_probes (owners, key, 4, START, due);
  ck_assert_uint_gt (due->len, 0);
  ck_assert_uint_eq (g_array_index (due, DpName, 0), first);
  dp_owners_due_probes (owners, key, 4, START + 400 * MSEC, due);
  ck_assert (dp_owners_is_unresponsive (owners, first));
  g_array_unref (due);
  dp_owners_free (owners);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node_parts");
  TCase *tests = tcase_create ("node_parts");
  tcase_add_loop_test (tests, retry_decision_after_a_failed_attempt, 0,
                       G_N_ELEMENTS (retry_cases));
  tcase_add_test (tests, repeats_keep_to_their_budget_in_any_window);
  tcase_add_loop_test (tests, memory_shortage_starts_and_ends_at_its_bounds, 0,
                       G_N_ELEMENTS (memory_cases));
  tcase_add_loop_test (tests, records_determine_which_targets_are_usable, 0,
                       G_N_ELEMENTS (directory_cases));
  tcase_add_loop_test (tests, a_targets_own_report_overrides_its_listing, 0,
                       G_N_ELEMENTS (target_event_cases));
  tcase_add_loop_test (tests, versions_are_ordered_by_era_and_revision, 0,
                       G_N_ELEMENTS (version_cases));
  tcase_add_test (tests, a_restored_store_removes_no_live_target);
  tcase_add_loop_test (tests, the_latest_response_determines_a_targets_limit, 0,
                       G_N_ELEMENTS (limit_cases));
  tcase_add_loop_test (tests, the_latest_response_determines_whether_a_target_is_brittle, 0,
                       G_N_ELEMENTS (brittle_cases));
  tcase_add_loop_test (tests, a_lapsed_target_is_dropped_in_time, 0,
                       G_N_ELEMENTS (lapse_cases));
  tcase_add_loop_test (tests, owners_are_of_the_newest_build_for_vms_of_all_builds, 0,
                       BUILD_VMS + 1);
  tcase_add_test (tests, replacing_vms_one_by_one_does_not_make_owners_flap);
  tcase_add_loop_test (tests, the_level_of_a_vm_is_what_it_stated_last, 0,
                       G_N_ELEMENTS (rules_cases));
  tcase_add_test (tests, a_stated_weight_keeps_the_share);
  tcase_add_test (tests, all_vms_choose_the_same_owner);
  tcase_add_test (tests, the_strongest_vm_owns_all_keys);
  tcase_add_loop_test (tests, an_unresponsive_owner_is_passed_over, 0,
                       G_N_ELEMENTS (owner_cases));
  tcase_add_loop_test (tests, two_vms_per_fleet_or_data_centre_are_relays, 0,
                       G_N_ELEMENTS (relay_cases));
  tcase_add_test (tests, a_vm_that_has_just_started_owns_nothing);
  tcase_add_test (tests, a_stopping_vm_owns_nothing_while_another_responds);
  tcase_add_test (tests, vms_agree_on_the_owner_while_all_first_candidates_stop);
  tcase_add_loop_test (tests, available_vms_are_told_of_a_stream_first, 0,
                       G_N_ELEMENTS (available_cases));
  tcase_add_test (tests, a_vm_accepts_the_owner_again_once_reconnected);
  tcase_add_loop_test (tests, requests_that_crash_targets_are_quarantined, 0,
                       G_N_ELEMENTS (quarantine_cases));
  tcase_add_test (tests, the_number_of_fingerprints_is_bounded);
  tcase_add_loop_test (tests, reachable_fraction_counts_recently_seen_vms, 0,
                       G_N_ELEMENTS (reachable_cases));
  tcase_add_loop_test (tests, unresponsive_vms_are_gone_after_a_timeout, 0,
                       G_N_ELEMENTS (prune_cases));
  tcase_add_test (tests, a_vm_without_peers_owns_all_keys);
  tcase_add_test (tests, an_unanswered_probe_makes_a_vm_unresponsive);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
