/* Which software version may have begun a stream, and where it goes on. */
#include "core/dispatcher/dispatcher.h"
#include "core/versions/versions.h"

#include <check.h>
#include <stdlib.h>

#define SEC DP_USEC_PER_SEC
#define START (1000 * SEC)
#define LIFETIME (30 * SEC)
#define POOL 7
#define STREAM 5
/* Of the store. */
#define ERA 2
#define STEPS_MAX 6

typedef enum StepType
{
  STEP_END,
  STEP_SEEN,
  STEP_STORED,    /* the store lists the version, in the era in which this was written */
  STEP_FORGOTTEN, /* the same, but the store was restored since */
  STEP_WAIT,      /* seconds */
  STEP_GAP,       /* targets may have come and left unseen */
} StepType;

typedef struct HistoryCase
{
  const char *name;
  gboolean is_first_start;
  struct
  {
    StepType type;
    const char *version;
    guint seconds;
  } steps[STEPS_MAX];
  const char *single; /* NULL: several versions may have begun a stream */
} HistoryCase;

static const HistoryCase history_cases[] = {
  { "first start of the system", TRUE, { { STEP_SEEN, "v1", 0 } }, "v1" },
  { "just restarted", FALSE, { { STEP_SEEN, "v2", 0 } }, NULL },
  { "restarted, the store agrees",
    FALSE,
    { { STEP_STORED, "v1", 0 }, { STEP_SEEN, "v1", 0 } },
    "v1" },
  { "restarted, another version has just left",
    FALSE,
    { { STEP_STORED, "v1", 0 }, { STEP_SEEN, "v2", 0 } },
    NULL },
  { "restarted, another version left long ago",
    FALSE,
    { { STEP_STORED, "v1", 0 }, { STEP_WAIT, NULL, 31 }, { STEP_SEEN, "v2", 0 } },
    "v2" },
  { "for longer than streams last",
    FALSE,
    { { STEP_SEEN, "v1", 0 }, { STEP_WAIT, NULL, 31 }, { STEP_SEEN, "v1", 0 } },
    "v1" },
  { "after a gap",
    TRUE,
    { { STEP_SEEN, "v1", 0 }, { STEP_GAP, NULL, 0 }, { STEP_SEEN, "v1", 0 } },
    NULL },
  { "after a gap, the store agrees",
    TRUE,
    { { STEP_SEEN, "v1", 0 }, { STEP_GAP, NULL, 0 }, { STEP_STORED, "v1", 0 } },
    "v1" },
  { "after a gap, another version had come and left",
    TRUE,
    { { STEP_SEEN, "v1", 0 },
      { STEP_GAP, NULL, 0 },
      { STEP_STORED, "v2", 0 },
      { STEP_SEEN, "v1", 0 } },
    NULL },
  { "after a gap, complete before",
    FALSE,
    { { STEP_STORED, "v1", 0 }, { STEP_GAP, NULL, 0 }, { STEP_SEEN, "v1", 0 } },
    NULL },
  { "a gap long ago",
    TRUE,
    { { STEP_GAP, NULL, 0 }, { STEP_WAIT, NULL, 31 }, { STEP_SEEN, "v1", 0 } },
    "v1" },
  { "restarted, the store was restored meanwhile",
    FALSE,
    { { STEP_FORGOTTEN, "v1", 0 }, { STEP_SEEN, "v1", 0 } },
    NULL },
  { "restarted, the store was restored meanwhile and no target has come back",
    FALSE,
    { { STEP_FORGOTTEN, "v1", 0 } },
    NULL },
  { "restarted, the store was restored long ago",
    FALSE,
    { { STEP_FORGOTTEN, "v1", 0 }, { STEP_WAIT, NULL, 31 }, { STEP_SEEN, "v1", 0 } },
    "v1" },
  { "restarted after a restore, then the list was written again",
    FALSE,
    { { STEP_FORGOTTEN, "v1", 0 }, { STEP_GAP, NULL, 0 }, { STEP_STORED, "v1", 0 } },
    "v1" },
  { "complete, then the store was restored",
    FALSE,
    { { STEP_STORED, "v1", 0 }, { STEP_GAP, NULL, 0 }, { STEP_FORGOTTEN, "v1", 0 } },
    NULL },
  { "complete, then the store was restored long ago",
    FALSE,
    { { STEP_STORED, "v1", 0 },
      { STEP_GAP, NULL, 0 },
      { STEP_FORGOTTEN, "v1", 0 },
      { STEP_WAIT, NULL, 31 },
      { STEP_SEEN, "v1", 0 } },
    "v1" },
  { "two versions", TRUE, { { STEP_SEEN, "v1", 0 }, { STEP_SEEN, "v2", 0 } }, NULL },
  { "one has just left",
    TRUE,
    { { STEP_SEEN, "v1", 0 }, { STEP_WAIT, NULL, 29 }, { STEP_SEEN, "v2", 0 } },
    NULL },
  { "one is not named", TRUE, { { STEP_SEEN, "", 0 }, { STEP_SEEN, "v2", 0 } }, NULL },
  { "no target", TRUE, { { STEP_WAIT, NULL, 1 } }, NULL },
};

static void
observe (DpVersions *versions, const char *text, DpUsec now)
{
  const DpSoftwareVersion version = dp_software_version (text);
  dp_versions_observe (versions, POOL, &version, now);
}

static gboolean
apply_stored (DpVersions *versions, const char *version, guint64 written_era, DpUsec now)
{
  const DpSoftwareVersion row = dp_software_version (version);
  DpVersionList list
    = { .versions = g_array_new (FALSE, FALSE, sizeof row), .era = written_era };
  g_array_append_val (list.versions, row);
  gboolean is_complete = dp_versions_apply_list (versions, POOL, &list, ERA, now);
  g_array_unref (list.versions);
  return is_complete;
}

START_TEST (streams_may_have_been_begun_by_any_recent_version)
{
  const HistoryCase *row = &history_cases[_i];
  const DpVersionsOptions options = { .stream_lifetime = LIFETIME,
                                      .started_at = START,
                                      .is_first_start = row->is_first_start,
                                      .streams_max = 2 };
  DpVersions *versions = dp_versions_new (&options);
  DpUsec now = START;
  for (guint i = 0; i < STEPS_MAX; i++)
    switch (row->steps[i].type)
      {
      case STEP_STORED:
        ck_assert (apply_stored (versions, row->steps[i].version, ERA, now));
        break;
      case STEP_FORGOTTEN:
        ck_assert (!apply_stored (versions, row->steps[i].version, ERA - 1, now));
        break;
      case STEP_SEEN:
        observe (versions, row->steps[i].version, now);
        break;
      case STEP_GAP:
        dp_versions_begin_gap (versions, now);
        break;
      case STEP_WAIT:
        now += row->steps[i].seconds * SEC;
        break;
      case STEP_END:
        break;
      }
  DpName wanted = row->single != NULL ? dp_name (row->single) : 0;
  ck_assert_msg (dp_versions_single (versions, POOL, now) == wanted, "%s", row->name);
  dp_versions_free (versions);
}
END_TEST

/* --- texts of versions --- */

/* 63 bytes, as long as a label. */
#define TEXT_63 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"

typedef struct TextCase
{
  const char *first;
  const char *second;
  gboolean are_equal;
} TextCase;

static const TextCase text_cases[] = {
  { "v1", "v1", TRUE },
  { "v1", "v2", FALSE },
  { TEXT_63, TEXT_63, TRUE },
  { TEXT_63, TEXT_63 "f", FALSE },
  { TEXT_63 "f", TEXT_63 "f", TRUE },
  { TEXT_63 "f", TEXT_63 "g", FALSE },
  { TEXT_63 TEXT_63 "f", TEXT_63 TEXT_63 "g", FALSE },
  { "v1,v2", "v1", FALSE },
  { "\u00e9", "\u00e8", FALSE },
};

START_TEST (versions_are_compared_by_their_whole_texts)
{
  const TextCase *row = &text_cases[_i];
  const DpSoftwareVersion first = dp_software_version (row->first);
  const DpSoftwareVersion second = dp_software_version (row->second);
  ck_assert_uint_ne (dp_software_version_name (&first), 0);
  ck_assert ((dp_software_version_name (&first) == dp_software_version_name (&second))
             == row->are_equal);
  /* A build that states no hash leaves out texts that its label can't hold. */
  const DpSoftwareVersion older = { .label = "v1" };
  ck_assert_uint_eq (dp_software_version_name (&older), dp_name ("v1"));
}
END_TEST

typedef struct BindingCase
{
  DpVersionBinding binding;
  gboolean allows_own;      /* version 7 */
  gboolean allows_other;    /* version 8 */
  gboolean allows_unstated; /* a target that states none */
} BindingCase;

static const BindingCase binding_cases[] = {
  { { DP_VERSION_BINDING_FREE, 0 }, TRUE, TRUE, TRUE },
  { { DP_VERSION_BINDING_ONLY, 7 }, TRUE, FALSE, FALSE },
  { { DP_VERSION_BINDING_NOWHERE, 0 }, FALSE, FALSE, FALSE },
};

START_TEST (a_stream_goes_on_only_where_its_binding_allows)
{
  const BindingCase *row = &binding_cases[_i];
  ck_assert (dp_version_binding_allows (&row->binding, 7) == row->allows_own);
  ck_assert (dp_version_binding_allows (&row->binding, 8) == row->allows_other);
  ck_assert (dp_version_binding_allows (&row->binding, 0) == row->allows_unstated);
  ck_assert_int_eq (dp_version_binding_begun_at (7).type, DP_VERSION_BINDING_ONLY);
  ck_assert_int_eq (dp_version_binding_begun_at (0).type, DP_VERSION_BINDING_NOWHERE);
}
END_TEST

/* --- streams --- */

/* --- versions that begin streams --- */

typedef enum ListsRead
{
  LISTS_NOT_READ,
  LISTS_READ_BEFORE, /* the version was seen */
  LISTS_READ_SINCE,
  LISTS_FAILED, /* to be read since */
} ListsRead;

typedef struct BeginCase
{
  const char *name;
  const char *stored; /* list in the store; NULL: not known */
  guint64 era;        /* in which it was written */
  const char *seen;   /* version of a target that registers then */
  gboolean has_gap;   /* after that */
  ListsRead read;
  gboolean is_written; /* the list is written again, with both */
  guint wait_ms;
  gboolean may_begin;
} BeginCase;

static const BeginCase begin_cases[] = {
  { "listed", "v1", ERA, "v1", FALSE, LISTS_READ_BEFORE, FALSE, 0, TRUE },
  { "not listed", "v1", ERA, "v2", FALSE, LISTS_READ_SINCE, FALSE, 0, FALSE },
  { "not listed for a while", "v1", ERA, "v2", FALSE, LISTS_READ_SINCE, FALSE, 2000, FALSE },
  { "can't be listed", "v1", ERA, "v2", FALSE, LISTS_READ_SINCE, FALSE, 2001, TRUE },
  { "not listed, the lists can't be read", "v1", ERA, "v2", FALSE, LISTS_FAILED, FALSE, 0,
    FALSE },
  { "listed meanwhile", "v1", ERA, "v2", FALSE, LISTS_READ_BEFORE, TRUE, 0, TRUE },
  { "the list proved nothing before", "v1", ERA - 1, "v2", FALSE, LISTS_READ_BEFORE, FALSE, 0,
    FALSE },
  { "the list proves nothing", "v1", ERA - 1, "v2", FALSE, LISTS_READ_SINCE, FALSE, 0, TRUE },
  { "there was no list before", NULL, 0, "v1", FALSE, LISTS_READ_BEFORE, FALSE, 0, FALSE },
  { "there is no list", NULL, 0, "v1", FALSE, LISTS_READ_SINCE, FALSE, 0, TRUE },
  { "the lists were not read", NULL, 0, "v1", FALSE, LISTS_NOT_READ, FALSE, 0, FALSE },
  { "the lists can't be read", NULL, 0, "v1", FALSE, LISTS_FAILED, FALSE, 0, TRUE },
  { "the list may have changed", "v1", ERA, "v2", TRUE, LISTS_READ_BEFORE, FALSE, 0, FALSE },
  { "the list may have changed, it can't be read", "v1", ERA, "v2", TRUE, LISTS_FAILED, FALSE,
    0, TRUE },
  { "the list may have changed, served before", "v1", ERA, "v1", TRUE, LISTS_NOT_READ, FALSE, 0,
    TRUE },
  { "no version is stated", "v1", ERA, "", FALSE, LISTS_NOT_READ, FALSE, 0, TRUE },
};

START_TEST (a_version_is_listed_before_it_begins_streams)
{
  const BeginCase *row = &begin_cases[_i];
  const DpVersionsOptions options
    = { .stream_lifetime = LIFETIME, .started_at = START, .streams_max = 2 };
  DpVersions *versions = dp_versions_new (&options);
  const DpSoftwareVersion seen = dp_software_version (row->seen);
  DpUsec now = START;
  if (row->stored != NULL)
    apply_stored (versions, row->stored, row->era, now);
  if (row->read == LISTS_READ_BEFORE)
    dp_versions_set_read (versions, now);
  now += 10 * SEC;
  observe (versions, row->seen, now);
  if (row->has_gap)
    dp_versions_begin_gap (versions, now);
  if (row->read == LISTS_READ_SINCE)
    dp_versions_set_read (versions, now);
  if (row->read == LISTS_FAILED)
    dp_versions_set_unreadable (versions);
  if (row->is_written)
    {
      const DpVersionList list
        = { .versions = dp_versions_list_to_store (versions, POOL, now), .era = ERA };
      dp_versions_set_stored (versions, POOL, &list, ERA);
      g_array_unref (list.versions);
      ck_assert_ptr_null (dp_versions_list_to_store (versions, POOL, now));
    }
  now += row->wait_ms * DP_USEC_PER_MSEC;
  ck_assert_msg (dp_versions_may_begin (versions, POOL, seen.name, now) == row->may_begin, "%s",
                 row->name);
  dp_versions_free (versions);
}
END_TEST

START_TEST (versions_of_streams_are_kept_for_their_lifetime)
{
  const DpVersionsOptions options = { .stream_lifetime = LIFETIME, .streams_max = 2 };
  DpVersions *versions = dp_versions_new (&options);
  dp_versions_record_stream (versions, STREAM, 1, START);
  ck_assert_uint_eq (dp_versions_of_stream (versions, STREAM), 1);
  dp_versions_record_stream (versions, STREAM + 1, 2, START + LIFETIME);
  ck_assert_uint_eq (dp_versions_of_stream (versions, STREAM), 1);
  /* Their number is bounded: the oldest are forgotten first. */
  for (guint64 i = 2; i < 6; i++)
    dp_versions_record_stream (versions, STREAM + i, 2, START + LIFETIME);
  ck_assert_uint_eq (dp_versions_of_stream (versions, STREAM), 0);
  ck_assert_uint_eq (dp_versions_of_stream (versions, STREAM + 5), 2);
  dp_versions_free (versions);
}
END_TEST

/* --- placement --- */

typedef struct PlacementCase
{
  const char *name;
  const char *version; /* NULL: the stream has not begun */
  const char *state;   /* of the target of v2 */
  DpMessageType answer;
  const char *target; /* NULL: any */
} PlacementCase;

static const PlacementCase placement_cases[] = {
  { "new stream", NULL, "ready", DP_MESSAGE_GRANT_GIVEN, NULL },
  { "begun by the first", "v1", "ready", DP_MESSAGE_GRANT_GIVEN, "t1" },
  { "begun by the second", "v2", "ready", DP_MESSAGE_GRANT_GIVEN, "t2" },
  { "the version is leaving", "v2", "draining", DP_MESSAGE_GRANT_REFUSED, NULL },
  { "the version has left", "v3", "ready", DP_MESSAGE_GRANT_REFUSED, NULL },
};

START_TEST (a_stream_is_placed_at_its_version_only)
{
  const PlacementCase *row = &placement_cases[_i];
  DpCounters *counters = dp_counters_new ();
  DpDirectory *directory = dp_directory_new ();
  const DpTargetRecord targets[] = {
    { .id = "t1", .pool = "p", .slots = 4, .version = { .label = "v1" } },
    { .id = "t2",
      .pool = "p",
      .slots = 4,
      .version = { .label = "v2" },
      .is_draining = g_strcmp0 (row->state, "draining") == 0 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (targets); i++)
    dp_directory_put (directory, &targets[i]);
  const DpDispatcherOptions options
    = { .pool = dp_name ("p"), .seed = 1, .is_shared = TRUE, .counters = counters };
  DpDispatcher *dispatcher = dp_dispatcher_new (&options);
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_set_targets (dispatcher, directory, START, outbox);
  for (guint64 i = 0; i < 4; i++)
    {
      DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
      message.grant_ask
        = (DpGrantAsk){ .attempt = { 1, i },
                        .group = dp_name ("p"),
                        .remaining = 10 * SEC,
                        .objective_left = SEC,
                        .repeatable = TRUE,
                        .version = row->version != NULL ? dp_name (row->version) : 0 };
      g_array_set_size (outbox, 0);
      dp_dispatcher_receive (dispatcher, 9, &message, START, outbox);
      ck_assert_msg (outbox->len == 1, "%s", row->name);
      const DpMessage *answer = &g_array_index (outbox, DpDispatchMessage, 0).message;
      ck_assert_msg (answer->type == row->answer, "%s", row->name);
      if (row->target != NULL)
        ck_assert_msg (answer->grant_given.target == dp_name (row->target), "%s", row->name);
      if (row->answer == DP_MESSAGE_GRANT_REFUSED)
        ck_assert_msg (answer->grant_refused.reason == DP_REASON_VERSION_GONE, "%s", row->name);
    }
  g_array_unref (outbox);
  dp_dispatcher_free (dispatcher);
  dp_directory_free (directory);
  dp_counters_unref (counters);
}
END_TEST

typedef struct AnswerCase
{
  const char *name;
  guint due;
  struct
  {
    DpName version;
    gboolean is_recorded;
  } answers[3];
  guint decided_after; /* answers; 0: not before the others are given up */
  DpName found;
} AnswerCase;

static const AnswerCase answer_cases[] = {
  { "nobody knows", 3, { { 0, TRUE }, { 0, TRUE }, { 0, FALSE } }, 3, 0 },
  { "the first knows", 3, { { 2, TRUE } }, 1, 2 },
  { "the last knows", 3, { { 0, TRUE }, { 0, TRUE }, { 2, TRUE } }, 3, 2 },
  { "a guess comes first", 3, { { 1, FALSE }, { 0, TRUE }, { 2, TRUE } }, 3, 2 },
  { "a guess comes first, one is missing", 3, { { 1, FALSE }, { 2, TRUE } }, 2, 2 },
  { "guesses only", 2, { { 1, FALSE }, { 1, FALSE } }, 2, 1 },
  { "guesses differ", 3, { { 1, FALSE }, { 2, FALSE }, { 1, FALSE } }, 3, 0 },
  { "one guess, one is missing", 2, { { 1, FALSE } }, 0, 1 },
  { "guesses differ, one is missing", 3, { { 1, FALSE }, { 2, FALSE } }, 0, 0 },
  { "no answer", 3, { { 0 } }, 0, 0 },
};

/* A target whose version is not listed yet gets none, and waiting ones as soon as it is. Other
 * requests don't wait for it. */
START_TEST (a_dispatcher_begins_streams_at_listed_versions_only)
{
  DpCounters *counters = dp_counters_new ();
  DpDirectory *directory = dp_directory_new ();
  const DpVersionsOptions versions_options
    = { .stream_lifetime = LIFETIME, .started_at = START, .streams_max = 2 };
  DpVersions *versions = dp_versions_new (&versions_options);
  const DpTargetRecord record
    = { .id = "t2", .pool = "p", .slots = 4, .version = dp_software_version ("v2") };
  const DpSoftwareVersion v1 = dp_software_version ("v1");
  DpVersionList list = { .versions = g_array_new (FALSE, FALSE, sizeof v1), .era = ERA };
  g_array_append_val (list.versions, v1);
  dp_versions_apply_list (versions, dp_name ("p"), &list, ERA, START);
  dp_directory_put (directory, &record);
  dp_versions_observe (versions, dp_name ("p"), &record.version, START);
  const DpDispatcherOptions options = { .pool = dp_name ("p"),
                                        .seed = 1,
                                        .is_shared = TRUE,
                                        .versions = versions,
                                        .counters = counters };
  DpDispatcher *dispatcher = dp_dispatcher_new (&options);
  GArray *outbox = dp_dispatch_outbox_new ();
  dp_dispatcher_set_targets (dispatcher, directory, START, outbox);
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  message.grant_ask = (DpGrantAsk){ .attempt = { 1, 1 },
                                    .group = dp_name ("p"),
                                    .remaining = 10 * SEC,
                                    .objective_left = SEC,
                                    .repeatable = TRUE,
                                    .begins_stream = TRUE };
  dp_dispatcher_receive (dispatcher, 9, &message, START, outbox);
  ck_assert (dp_dispatcher_awaits_version (dispatcher));
  ck_assert_uint_eq (dp_dispatcher_status (dispatcher).running, 0);
  message.grant_ask.attempt.low = 2;
  message.grant_ask.begins_stream = FALSE;
  dp_dispatcher_receive (dispatcher, 9, &message, START, outbox);
  ck_assert_uint_eq (dp_dispatcher_status (dispatcher).running, 1);
  ck_assert_uint_eq (dp_dispatcher_status (dispatcher).waiting, 1);
  g_array_append_val (list.versions, record.version);
  dp_versions_set_stored (versions, dp_name ("p"), &list, ERA);
  dp_dispatcher_set_targets (dispatcher, directory, START, outbox);
  ck_assert_uint_eq (dp_dispatcher_status (dispatcher).running, 2);
  ck_assert (!dp_dispatcher_awaits_version (dispatcher));
  g_array_unref (list.versions);
  g_array_unref (outbox);
  dp_dispatcher_free (dispatcher);
  dp_versions_free (versions);
  dp_directory_free (directory);
  dp_counters_unref (counters);
}
END_TEST

START_TEST (a_guess_of_an_older_vm_does_not_outweigh_a_record)
{
  const AnswerCase *row = &answer_cases[_i];
  DpVersionAnswers answers = { .due = row->due };
  DpName found = 0;
  guint count = 0;
  gboolean is_decided = FALSE;
  while (!is_decided && count < G_N_ELEMENTS (row->answers)
         && (row->answers[count].version != 0 || count < row->decided_after))
    {
      is_decided = dp_version_answers_add (&answers, row->answers[count].version,
                                           row->answers[count].is_recorded, &found);
      count++;
    }
  ck_assert_msg (is_decided == (row->decided_after != 0), "%s", row->name);
  if (is_decided)
    ck_assert_msg (count == row->decided_after, "%s: after %u", row->name, count);
  else
    found = dp_version_answers_end (&answers);
  ck_assert_msg (found == row->found, "%s: %d", row->name, (int)found);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("versions");
  tcase_add_loop_test (tests, streams_may_have_been_begun_by_any_recent_version, 0,
                       G_N_ELEMENTS (history_cases));
  tcase_add_loop_test (tests, versions_are_compared_by_their_whole_texts, 0,
                       G_N_ELEMENTS (text_cases));
  tcase_add_loop_test (tests, a_stream_goes_on_only_where_its_binding_allows, 0,
                       G_N_ELEMENTS (binding_cases));
  tcase_add_loop_test (tests, a_version_is_listed_before_it_begins_streams, 0,
                       G_N_ELEMENTS (begin_cases));
  tcase_add_test (tests, a_dispatcher_begins_streams_at_listed_versions_only);
  tcase_add_test (tests, versions_of_streams_are_kept_for_their_lifetime);
  tcase_add_loop_test (tests, a_stream_is_placed_at_its_version_only, 0,
                       G_N_ELEMENTS (placement_cases));
  tcase_add_loop_test (tests, a_guess_of_an_older_vm_does_not_outweigh_a_record, 0,
                       G_N_ELEMENTS (answer_cases));
  Suite *suite = suite_create ("versions");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
