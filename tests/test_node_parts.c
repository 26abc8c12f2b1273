/* Owners, directory, retries and limits: the decisions of a node beside the dispatcher's. */
#include "core/directory.h"
#include "core/memory.h"
#include "core/owners.h"
#include "core/prune.h"
#include "core/quarantine.h"
#include "core/retry.h"

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

/* Facts of a first sending with time and budget, but for what is named. */
#define FACTS(end_is, ...)                                                                     \
  {                                                                                            \
    .end = DP_ATTEMPT_##end_is, .runs_max = 2, .time_left = SEC, __VA_ARGS__                   \
  }
#define FIRST .sendings = 1, .within_budget = TRUE
#define RAN .runs = 1, .may_have_run = TRUE

static const RetryCase retry_cases[] = {
  { "unsent, not repeatable", FACTS (UNSENT, FIRST), DP_STEP_RETRY },
  { "declined, not repeatable", FACTS (DECLINED, FIRST), DP_STEP_RETRY },
  { "declined, no budget", FACTS (DECLINED, .sendings = 1), DP_STEP_NOT_RUN },
  { "declined too often", FACTS (DECLINED, .sendings = 4, .within_budget = TRUE),
    DP_STEP_NOT_RUN },
  { "declined, but an earlier sending may have run",
    FACTS (DECLINED, .sendings = 4, .within_budget = TRUE, .may_have_run = TRUE),
    DP_STEP_UNKNOWN },
  { "broke, not repeatable", FACTS (BROKE, FIRST, RAN), DP_STEP_UNKNOWN },
  { "broke, repeatable", FACTS (BROKE, FIRST, RAN, .is_repeatable = TRUE), DP_STEP_RETRY },
  { "broke, repeatable, as often as the route allows",
    FACTS (BROKE, FIRST, .runs = 2, .may_have_run = TRUE, .is_repeatable = TRUE),
    DP_STEP_UNKNOWN },
  { "broke within a stream that can go on",
    FACTS (
      BROKE, FIRST, RAN, .is_repeatable = TRUE, .answer_started = TRUE, .can_resume = TRUE),
    DP_STEP_RETRY },
  { "broke within a stream that can't", FACTS (BROKE, FIRST, RAN, .answer_started = TRUE),
    DP_STEP_ABORT },
  { "error, not repeatable", FACTS (ERROR, FIRST, RAN), DP_STEP_FORWARD },
  { "error, repeatable", FACTS (ERROR, FIRST, RAN, .is_repeatable = TRUE), DP_STEP_RETRY },
};

START_TEST (what_follows_a_failed_sending)
{
  const RetryCase *row = &retry_cases[_i];
  ck_assert_msg (dp_retry_decide (&row->facts) == row->step, "%s", row->name);
}
END_TEST

START_TEST (repeats_keep_to_their_budget_in_any_window)
{
  DpRetryBudget budget = { 0 };
  dp_retry_budget_init (&budget, 0.2, 10 * SEC);
  /* This VM was alone at first, as after a start; then it learned of the others. */
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
      /* 1,000 requests in the window: 200, and a twelfth of 24. */
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
  { "half", 50, FALSE, FALSE },           { "at the bound", 60, FALSE, FALSE },
  { "above the bound", 61, FALSE, TRUE }, { "falling", 55, TRUE, TRUE },
  { "enough again", 50, TRUE, FALSE },
};

START_TEST (new_work_is_refused_before_memory_ends)
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
  gboolean may_live;
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
  { "a drain is remembered after the entry went",
    { { FALSE, TRUE, 5, FALSE }, { TRUE, FALSE, 0, FALSE }, { FALSE, FALSE, 5, FALSE } },
    3,
    FALSE },
  { "a new start under the same id is a new incarnation",
    { { FALSE, TRUE, 5, FALSE }, { FALSE, FALSE, 6, FALSE } },
    2,
    TRUE },
  { "an entry of an earlier start comes late",
    { { FALSE, FALSE, 6, FALSE }, { FALSE, TRUE, 5, FALSE } },
    2,
    TRUE },
  { "gone", { { FALSE, FALSE, 5, FALSE }, { TRUE, FALSE, 0, FALSE } }, 2, FALSE },
  { "lapsed while the platform was away",
    { { FALSE, FALSE, 5, FALSE }, { TRUE, FALSE, 0, TRUE } },
    2,
    TRUE },
  { "a draining one that lapsed",
    { { FALSE, TRUE, 5, FALSE }, { TRUE, FALSE, 0, TRUE } },
    2,
    FALSE },
};

START_TEST (which_targets_may_be_used)
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
                                       START + (step->may_live ? 4 : 2) * SEC);
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

/* The platform was away for 6 s; the entry's removal is seen some time after its return. */
typedef enum TargetWord
{
  WORD_NONE,
  WORD_LEAVES,       /* it says that it leaves */
  WORD_LEAVES_OTHER, /* another VM says so of an earlier incarnation */
  WORD_PAUSE,        /* it wants nothing for two seconds */
  WORD_LISTED,       /* the platform lists it as ready */
  WORD_STARTED,      /* the same, as a new incarnation */
} TargetWord;

typedef struct WordCase
{
  const char *name;
  TargetWord words[3];
  DpUsec asked_after;
  gboolean may_use;
} WordCase;

static const WordCase word_cases[] = {
  { "leaves", { WORD_LEAVES }, SEC, FALSE },
  { "leaves, and is still listed as ready", { WORD_LEAVES, WORD_LISTED }, SEC, FALSE },
  { "left, and started again", { WORD_LEAVES, WORD_STARTED }, SEC, TRUE },
  { "an earlier incarnation left", { WORD_LEAVES_OTHER }, SEC, TRUE },
  { "said by two", { WORD_LEAVES, WORD_LEAVES }, SEC, FALSE },
  { "pauses", { WORD_PAUSE }, SEC, FALSE },
  { "pauses, and is listed anew", { WORD_PAUSE, WORD_LISTED }, SEC, FALSE },
  { "pauses, and starts again", { WORD_PAUSE, WORD_STARTED }, SEC, TRUE },
  { "after the pause", { WORD_PAUSE }, 2 * SEC, TRUE },
  { "leaves in a pause", { WORD_PAUSE, WORD_LEAVES }, 3 * SEC, FALSE },
};

static void
put_word (DpDirectory *directory, TargetWord word)
{
  DpTargetRecord record
    = { .id = "t", .pool = "pool", .address = "127.0.0.1", .port_number = 80, .started = 5 };
  switch (word)
    {
    case WORD_LEAVES:
      dp_directory_record_leaving (directory, dp_name ("t"), 5);
      break;
    case WORD_LEAVES_OTHER:
      dp_directory_record_leaving (directory, dp_name ("t"), 4);
      break;
    case WORD_PAUSE:
      dp_directory_pause (directory, dp_name ("t"), START + 2 * SEC);
      break;
    case WORD_STARTED:
      record.started = 6;
      dp_directory_put (directory, &record);
      break;
    case WORD_LISTED:
      dp_directory_put (directory, &record);
      break;
    case WORD_NONE:
      break;
    }
}

START_TEST (what_targets_say_of_themselves_binds)
{
  const WordCase *row = &word_cases[_i];
  DpDirectory *directory = dp_directory_new ();
  put_word (directory, WORD_LISTED);
  for (guint i = 0; i < G_N_ELEMENTS (row->words); i++)
    put_word (directory, row->words[i]);
  ck_assert_msg (dp_directory_may_use (directory, dp_name ("t"), START + row->asked_after)
                   == row->may_use,
                 "%s", row->name);
  dp_directory_free (directory);
}
END_TEST

typedef struct LapseCase
{
  const char *name;
  DpUsec removed_after;
  DpUsec looked_after;
  gboolean may_use;
} LapseCase;

static const LapseCase lapse_cases[] = {
  { "missing at the return", 0, 1 * SEC, TRUE },
  { "still missing after the grace time", 0, 2 * SEC, FALSE },
  { "removed late in the grace time", 1900 * MSEC, 1950 * MSEC, TRUE },
  { "removed late, no second grace time", 1900 * MSEC, 2 * SEC, FALSE },
  { "removed after it", 2100 * MSEC, 2100 * MSEC, FALSE },
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
  dp_directory_expire (directory, back + row->looked_after);
  ck_assert_msg (dp_directory_may_use (directory, dp_name ("t"), START) == row->may_use, "%s",
                 row->name);
  dp_directory_free (directory);
}
END_TEST

/* --- requests that bring targets down --- */

#define PRINT 77

typedef enum QuarantineStep
{
  Q_END,
  Q_BREAKS, /* a target broke off here */
  Q_TOLD,   /* another process has counted so many */
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
  gboolean is_held;
} QuarantineCase;

static const QuarantineCase quarantine_cases[] = {
  { "three targets", { { Q_BREAKS, 1 }, { Q_BREAKS, 2 }, { Q_BREAKS, 3 } }, TRUE },
  { "two targets", { { Q_BREAKS, 1 }, { Q_BREAKS, 2 } }, FALSE },
  { "one target at once", { { Q_BREAKS, 1 }, { Q_BREAKS, 1 }, { Q_BREAKS, 1 } }, FALSE },
  { "one target that comes back",
    { { Q_BREAKS, 1 }, { Q_WAIT, 3000 }, { Q_BREAKS, 1 }, { Q_WAIT, 3000 }, { Q_BREAKS, 1 } },
    TRUE },
  { "served in between",
    { { Q_BREAKS, 1 }, { Q_BREAKS, 2 }, { Q_SERVED, 0 }, { Q_BREAKS, 3 } },
    FALSE },
  { "others count it", { { Q_TOLD, 3 } }, TRUE },
  { "others count two, and one here", { { Q_TOLD, 2 }, { Q_BREAKS, 3 } }, TRUE },
  { "others saw it served", { { Q_TOLD, 3 }, { Q_TOLD, 0 } }, FALSE },
  { "after the hold", { { Q_TOLD, 3 }, { Q_WAIT, 61000 } }, FALSE },
  { "one failure after the hold", { { Q_TOLD, 3 }, { Q_WAIT, 61000 }, { Q_BREAKS, 4 } }, TRUE },
  { "after the memory", { { Q_TOLD, 3 }, { Q_WAIT, 601000 }, { Q_BREAKS, 4 } }, FALSE },
};

static DpUsec
take_quarantine_step (DpQuarantineTable *table, QuarantineStep step, guint value, DpUsec now)
{
  const DpQuarantine told
    = { .fingerprint = PRINT, .failures = value, .remaining = 60 * SEC, .target = 100 };
  switch (step)
    {
    case Q_BREAKS:
      dp_quarantine_add (table, PRINT, value, now);
      break;
    case Q_TOLD:
      dp_quarantine_take (table, &told, now);
      break;
    case Q_SERVED:
      dp_quarantine_clear (table, PRINT);
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

START_TEST (which_requests_are_quarantined)
{
  const QuarantineCase *row = &quarantine_cases[_i];
  const DpQuarantineOptions options
    = { .failures_max = 3, .hold_time = 60 * SEC, .memory_time = 600 * SEC, .rows_max = 2 };
  DpQuarantineTable *table = dp_quarantine_new (&options);
  DpUsec now = START;
  for (guint i = 0; i < G_N_ELEMENTS (row->steps); i++)
    now = take_quarantine_step (table, row->steps[i].step, row->steps[i].value, now);
  ck_assert_msg (dp_quarantine_holds (table, PRINT, now, NULL) == row->is_held, "%s",
                 row->name);
  dp_quarantine_free (table);
}
END_TEST

START_TEST (the_count_of_fingerprints_is_bounded)
{
  const DpQuarantineOptions options
    = { .failures_max = 1, .hold_time = SEC, .memory_time = SEC, .rows_max = 2 };
  DpQuarantineTable *table = dp_quarantine_new (&options);
  for (guint64 print = 1; print <= 5; print++)
    dp_quarantine_add (table, print, 1, START);
  ck_assert_uint_eq (dp_quarantine_count (table), 2);
  ck_assert (!dp_quarantine_holds (table, 3, START, NULL));
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

START_TEST (a_strong_vm_owns_all_keys)
{
  DpOwners *owners = make_owners (1, 4);
  guint owned = 0;
  for (DpName key = 1; key <= 200; key++)
    owned += dp_owners_choose (owners, key, START) == 5;
  ck_assert_uint_eq (owned, 200);
  ck_assert (!dp_owners_is_fit (owners));
  dp_owners_free (owners);
}
END_TEST

typedef struct RelayCase
{
  const char *name;
  guint vms;
  guint data_centres; /* VMs take turns */
  guint leaving;      /* of the relays */
  guint relays;
  guint told; /* by each of them */
} RelayCase;

static const RelayCase relay_cases[] = {
  { "two VMs watch for themselves", 2, 2, 0, 2, 0 },
  { "three VMs", 3, 3, 0, 2, 2 },
  { "a small fleet", 19, 4, 0, 2, 18 },
  { "a small fleet, one relay leaves", 19, 4, 1, 2, 18 },
  { "the largest small fleet", 32, 4, 0, 2, 31 },
  { "a large fleet has relays in each data centre", 36, 4, 0, 8, 8 },
};

enum
{
  RELAY_VMS_MAX = 36,
};

/* Relays by each VM's own judgement; `gone` leaves. */
static guint
collect_relays (const RelayCase *row, DpName gone, DpName *relays)
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
      if (gone != 0)
        dp_owners_set_leaving (owners, gone, TRUE, START);
      guint told = 0;
      for (guint i = 0; i < row->vms; i++)
        told += dp_owners_is_told (owners, &vms[i]);
      ck_assert_msg (told == row->told, "%s: %u are told", row->name, told);
      if (self != gone && dp_owners_is_relay (owners))
        relays[count++] = self;
      dp_owners_free (owners);
    }
  dp_view_unref (view);
  return count;
}

START_TEST (which_vms_watch_the_store_for_others)
{
  const RelayCase *row = &relay_cases[_i];
  DpName relays[RELAY_VMS_MAX] = { 0 };
  guint count = collect_relays (row, 0, relays);
  if (row->leaving > 0)
    count = collect_relays (row, relays[0], relays);
  ck_assert_msg (count == row->relays, "%s: %u relays", row->name, count);
  gboolean are_apart
    = (relays[0] - 1) % row->data_centres != (relays[1] - 1) % row->data_centres;
  ck_assert_msg (count != 2 || are_apart, "%s: both in one data centre", row->name);
}
END_TEST

typedef struct ReachCase
{
  const char *name;
  guint heard;     /* of the other VMs */
  DpUsec heard_at; /* before now */
  double reach;
} ReachCase;

static const ReachCase reach_cases[] = {
  { "all", OWNER_VMS - 1, SEC, 1 },
  { "none since the start", 0, 0, 1.0 / OWNER_VMS },
  { "two of the others", 2, SEC, 3.0 / OWNER_VMS },
  { "none for a while, cut off after it heard few", 2, 3 * SEC, 1.0 / OWNER_VMS },
  { "none for long", OWNER_VMS - 1, 9 * SEC, 1.0 / OWNER_VMS },
};

START_TEST (how_much_of_a_limit_an_owner_may_give)
{
  const ReachCase *row = &reach_cases[_i];
  DpOwners *owners = make_owners (1, OWNER_VMS);
  for (DpName vm = 2; vm < 2 + row->heard; vm++)
    dp_owners_heard (owners, vm, START);
  double reach = dp_owners_reach (owners, START + row->heard_at);
  ck_assert_msg (reach > row->reach - 0.01 && reach < row->reach + 0.01, "%s: %g", row->name,
                 reach);
  dp_owners_free (owners);
}
END_TEST

typedef struct OwnerCase
{
  const char *name;
  guint silences; /* two seconds apart, the last one at START */
  gboolean leaving;
  gboolean heard_again; /* just after */
  gboolean says_it_stays;
  DpUsec asked_after;
  gboolean stays;
} OwnerCase;

static const OwnerCase owner_cases[] = {
  { "heard", 0, FALSE, FALSE, FALSE, SEC, TRUE },
  { "silent", 1, FALSE, FALSE, FALSE, SEC, FALSE },
  { "silent, then heard", 1, FALSE, TRUE, FALSE, 900 * MSEC, FALSE },
  { "silent, then heard for a second", 1, FALSE, TRUE, FALSE, 1100 * MSEC, TRUE },
  { "silent twice, then heard for a second", 2, FALSE, TRUE, FALSE, 1100 * MSEC, FALSE },
  { "silent twice, then heard for two", 2, FALSE, TRUE, FALSE, 2100 * MSEC, TRUE },
  { "silent often, then heard for long", 9, FALSE, TRUE, FALSE, 8100 * MSEC, TRUE },
  { "leaving", 0, TRUE, FALSE, FALSE, SEC, FALSE },
  { "leaving, and speaking on", 0, TRUE, TRUE, FALSE, SEC, FALSE },
  { "left, and started again", 0, TRUE, TRUE, TRUE, 1900 * MSEC, FALSE },
  { "left, and started again for two seconds", 0, TRUE, TRUE, TRUE, 2100 * MSEC, TRUE },
};

START_TEST (an_owner_that_is_out_of_reach_is_passed_over)
{
  const OwnerCase *row = &owner_cases[_i];
  DpName self = 1;
  DpOwners *owners = make_owners (self, OWNER_VMS);
  DpName key = OWNER_KEY;
  while (dp_owners_choose (owners, key, START) == self)
    key++;
  DpName first = dp_owners_choose (owners, key, START);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_heard (owners, vm, START);
  for (guint i = row->silences; i > 0; i--)
    {
      dp_owners_heard (owners, first, START - (DpUsec)i * 2 * SEC);
      dp_owners_silent (owners, first, START - (DpUsec)(i - 1) * 2 * SEC);
    }
  dp_owners_set_leaving (owners, first, row->leaving, START);
  if (row->heard_again)
    dp_owners_heard (owners, first, START);
  if (row->says_it_stays)
    dp_owners_set_leaving (owners, first, FALSE, START);
  ck_assert_msg ((dp_owners_choose (owners, key, START + row->asked_after) == first)
                   == row->stays,
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
  ck_assert (dp_owners_is_fit (owners));
  ck_assert_uint_ne (dp_owners_choose (owners, OWNER_KEY, START + SEC), 1);
  ck_assert_uint_eq (dp_owners_choose (owners, OWNER_KEY, START + 2 * SEC), 1);
  dp_view_unref (view);
  dp_owners_free (owners);
}
END_TEST

START_TEST (a_vm_that_was_cut_off_follows_the_owner_at_once)
{
  DpOwners *owners = make_owners (1, OWNER_VMS);
  DpName key = OWNER_KEY;
  while (dp_owners_choose (owners, key, START) == 1)
    key++;
  DpName first = dp_owners_choose (owners, key, START);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_silent (owners, vm, START);
  ck_assert_uint_eq (dp_owners_choose (owners, key, START), 1);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_heard (owners, vm, START + SEC);
  ck_assert_uint_eq (dp_owners_choose (owners, key, START + SEC), first);
  dp_owners_free (owners);
}
END_TEST

/* VMs 2 to OWNER_VMS; those up to `alive` answer each probe. */
typedef struct PruneCase
{
  const char *name;
  DpName alive;
  guint seconds;
  guint gone;
} PruneCase;

static const PruneCase prune_cases[] = {
  { "all answer", OWNER_VMS, 120, 0 },
  { "one is gone", OWNER_VMS - 1, 120, 1 },
  { "one is silent for a while", OWNER_VMS - 1, 50, 0 },
  { "three are gone", OWNER_VMS - 3, 120, 3 },
  { "cut off from most", 3, 120, 0 },
};

START_TEST (which_vms_are_gone)
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
        if (g_array_index (probes, DpName, i) <= row->alive)
          dp_owners_heard (owners, g_array_index (probes, DpName, i), now + 10 * MSEC);
    }
  ck_assert_msg (gone->len == row->gone, "%s: %u", row->name, gone->len);
  g_array_unref (probes);
  g_array_unref (gone);
  dp_view_unref (view);
  dp_prune_free (prune);
  dp_owners_free (owners);
}
END_TEST

START_TEST (alone_a_vm_owns_everything_itself)
{
  DpOwners *owners = make_owners (1, OWNER_VMS);
  for (DpName vm = 2; vm <= OWNER_VMS; vm++)
    dp_owners_silent (owners, vm, START);
  ck_assert_uint_eq (dp_owners_choose (owners, OWNER_KEY, START), 1);
  dp_owners_free (owners);
}
END_TEST

START_TEST (an_unanswered_probe_makes_a_vm_silent)
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
  ck_assert (dp_owners_is_silent (owners, first));
  g_array_unref (due);
  dp_owners_free (owners);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node_parts");
  TCase *tests = tcase_create ("node_parts");
  tcase_add_loop_test (tests, what_follows_a_failed_sending, 0, G_N_ELEMENTS (retry_cases));
  tcase_add_test (tests, repeats_keep_to_their_budget_in_any_window);
  tcase_add_loop_test (tests, new_work_is_refused_before_memory_ends, 0,
                       G_N_ELEMENTS (memory_cases));
  tcase_add_loop_test (tests, which_targets_may_be_used, 0, G_N_ELEMENTS (directory_cases));
  tcase_add_loop_test (tests, what_targets_say_of_themselves_binds, 0,
                       G_N_ELEMENTS (word_cases));
  tcase_add_loop_test (tests, a_lapsed_target_is_dropped_in_time, 0,
                       G_N_ELEMENTS (lapse_cases));
  tcase_add_test (tests, all_vms_choose_the_same_owner);
  tcase_add_test (tests, a_strong_vm_owns_all_keys);
  tcase_add_loop_test (tests, an_owner_that_is_out_of_reach_is_passed_over, 0,
                       G_N_ELEMENTS (owner_cases));
  tcase_add_loop_test (tests, which_vms_watch_the_store_for_others, 0,
                       G_N_ELEMENTS (relay_cases));
  tcase_add_test (tests, a_vm_that_has_just_started_owns_nothing);
  tcase_add_test (tests, a_vm_that_was_cut_off_follows_the_owner_at_once);
  tcase_add_loop_test (tests, which_requests_are_quarantined, 0,
                       G_N_ELEMENTS (quarantine_cases));
  tcase_add_test (tests, the_count_of_fingerprints_is_bounded);
  tcase_add_loop_test (tests, how_much_of_a_limit_an_owner_may_give, 0,
                       G_N_ELEMENTS (reach_cases));
  tcase_add_loop_test (tests, which_vms_are_gone, 0, G_N_ELEMENTS (prune_cases));
  tcase_add_test (tests, alone_a_vm_owns_everything_itself);
  tcase_add_test (tests, an_unanswered_probe_makes_a_vm_silent);
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
