/* Which requests and parts of prompts are blocked after targets have crashed. */
#include "core/key_set.h"
#include "core/suspects/suspects.h"

#include <check.h>
#include <stdlib.h>

#define MSEC DP_USEC_PER_MSEC
#define SEC DP_USEC_PER_SEC
#define START (1000 * SEC)
#define STEPS_MAX 16
#define KEYS 4
/* Keys of the requests in the cases: bit i of a mask stands for key i + 1. */
#define COMMON 1 /* part of all requests */
#define TOPIC 2  /* part of few */
#define POISON 4
#define OTHER 8

typedef enum StepType
{
  STEP_END,
  STEP_CRASH,          /* a target broke off; the request was sent 100 ms ago */
  STEP_CRASH2,         /* the same target once more, with another request */
  STEP_CRASH_OF_FIRST, /* the first target, with another request */
  STEP_SERVED,
  STEP_WAIT,     /* milliseconds */
  STEP_TRIAL,    /* must be allowed */
  STEP_NO_TRIAL, /* must not be allowed */
  STEP_REPEAT,   /* another VM announces the key's block again */
} StepType;

typedef struct Step
{
  StepType type;
  guint value; /* mask of keys, or milliseconds */
} Step;

typedef struct SuspectCase
{
  const char *name;
  Step steps[STEPS_MAX];
  guint blocked;  /* mask of keys at the end */
  guint together; /* blocked if a request has all of them */
} SuspectCase;

#define W(ms)                                                                                  \
  {                                                                                            \
    STEP_WAIT, ms                                                                              \
  }

static const SuspectCase cases[] = {
  { "three crashes one after the other",
    { { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON } },
    POISON },
  { "two crashes", { { STEP_CRASH, POISON }, W (200), { STEP_CRASH, POISON } }, 0 },
  { "four targets that crash together",
    { { STEP_CRASH, POISON },
      { STEP_CRASH, POISON },
      { STEP_CRASH, POISON },
      { STEP_CRASH, POISON } },
    0 },
  { "one target that breaks off everything",
    { { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH2, POISON },
      W (200),
      { STEP_CRASH2, POISON },
      W (200),
      { STEP_CRASH2, POISON } },
    0 },
  { "two targets that break off everything",
    { { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH_OF_FIRST, POISON },
      W (200),
      { STEP_CRASH2, POISON },
      W (200),
      { STEP_CRASH_OF_FIRST, POISON } },
    0 },
  { "one target that restarts",
    { { STEP_CRASH, POISON },
      W (3000),
      { STEP_CRASH2, POISON },
      W (3000),
      { STEP_CRASH2, POISON } },
    POISON },
  { "served in between",
    { { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (50),
      { STEP_SERVED, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON } },
    0 },
  { "a part that others were served with",
    { { STEP_SERVED, COMMON },
      W (200),
      { STEP_CRASH, COMMON | POISON },
      W (200),
      { STEP_CRASH, COMMON | POISON },
      W (200),
      { STEP_CRASH, COMMON | POISON },
      W (200),
      { STEP_CRASH, COMMON | POISON },
      W (200),
      { STEP_CRASH, COMMON | POISON } },
    POISON },
  { "a part of few requests, served long before",
    { { STEP_SERVED, TOPIC },
      W (40000),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | OTHER },
      W (200),
      { STEP_CRASH, TOPIC | OTHER } },
    POISON },
  { "other requests at the same target",
    { { STEP_CRASH, POISON },
      { STEP_CRASH2, TOPIC },
      W (200),
      { STEP_CRASH, POISON },
      { STEP_CRASH2, TOPIC },
      W (200),
      { STEP_CRASH, POISON },
      { STEP_CRASH2, TOPIC },
      W (3000),
      { STEP_CRASH, TOPIC } },
    POISON },
  { "two parts that are always together",
    { { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON } },
    0,
    TOPIC | POISON },
  { "two parts, then one of them is served",
    { { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_SERVED, TOPIC | COMMON } },
    POISON },
  { "two parts, then one of them crashes a target alone",
    { { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, TOPIC | POISON },
      W (200),
      { STEP_CRASH, COMMON | POISON } },
    POISON },
  { "three parts, then two of them",
    { { STEP_CRASH, TOPIC | POISON | OTHER },
      W (200),
      { STEP_CRASH, TOPIC | POISON | OTHER },
      W (200),
      { STEP_CRASH, TOPIC | POISON | OTHER },
      W (200),
      { STEP_CRASH, TOPIC | POISON } },
    0,
    TOPIC | POISON },
  { "three crashes with a part that was served before",
    { { STEP_SERVED, TOPIC },
      W (200),
      { STEP_CRASH, TOPIC },
      W (200),
      { STEP_CRASH, TOPIC },
      W (200),
      { STEP_CRASH, TOPIC } },
    0 },
  { "a part that was harmless and is no longer",
    { { STEP_SERVED, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON } },
    POISON },
  { "a served request after the block",
    { { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_SERVED, POISON } },
    0 },
  { "two trials at most",
    { { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      { STEP_NO_TRIAL, POISON },
      W (61000),
      { STEP_TRIAL, POISON },
      { STEP_NO_TRIAL, POISON },
      W (241000),
      { STEP_TRIAL, POISON },
      { STEP_NO_TRIAL, POISON },
      W (590000),
      { STEP_NO_TRIAL, POISON },
      W (590000),
      { STEP_NO_TRIAL, POISON } },
    POISON },
  { "no such request for ten minutes",
    { { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (200),
      { STEP_CRASH, POISON },
      W (300000),
      { STEP_REPEAT, POISON },
      W (301000) },
    0 },
};

static DpSuspectOptions
make_options (guint rows_max)
{
  return (DpSuspectOptions){ .failures_max = 3,
                             .failures_max_served = 5,
                             .served_duration = 60 * SEC,
                             .block_duration = 60 * SEC,
                             .trials_max = 2,
                             .memory_duration = 600 * SEC,
                             .rows_max = rows_max };
}

/* The first failure blocks. */
static DpSuspectOptions
make_strict_options (guint rows_max)
{
  return (DpSuspectOptions){ .failures_max = 1,
                             .failures_max_served = 1,
                             .block_duration = SEC,
                             .memory_duration = SEC,
                             .rows_max = rows_max };
}

/* Keys of parts. */
static GArray *
make_keys (guint mask)
{
  GArray *keys = dp_key_set_new (KEYS);
  for (guint i = 0; i < KEYS; i++)
    if (mask & (1u << i))
      dp_key_set_append (keys, 2 * i + 1);
  return keys;
}

typedef struct Play
{
  DpSuspectTable *table;
  DpUsec now;
  DpName target;
  GArray *changed;
} Play;

static void
play_crash (Play *play, const GArray *keys)
{
  dp_suspects_record_failure (play->table, keys, play->target, play->now - 100 * MSEC,
                              play->now, play->changed);
}

static void
play_step (Play *play, const SuspectCase *row, const Step *step)
{
  GArray *keys = make_keys (step->value);
  DpSuspect state;
  switch (step->type)
    {
    case STEP_CRASH:
      play->target++;
      play_crash (play, keys);
      break;
    case STEP_CRASH2:
      play_crash (play, keys);
      break;
    case STEP_CRASH_OF_FIRST:
      dp_suspects_record_failure (play->table, keys, 1, play->now - 100 * MSEC, play->now,
                                  play->changed);
      break;
    case STEP_SERVED:
      dp_suspects_record_served (play->table, keys, play->now, play->now, play->changed);
      break;
    case STEP_WAIT:
      play->now += step->value * MSEC;
      dp_suspects_tick (play->table, play->now, play->changed);
      break;
    case STEP_TRIAL:
    case STEP_NO_TRIAL:
      ck_assert_msg (dp_suspects_blocks (play->table, keys, play->now, NULL), "%s", row->name);
      ck_assert_msg (dp_suspects_begin_trial (play->table, keys, play->now, play->changed)
                       == (step->type == STEP_TRIAL),
                     "%s", row->name);
      break;
    case STEP_REPEAT:
      state = dp_suspects_state (play->table, dp_key_set_get (keys, 0), play->now);
      dp_suspects_merge (play->table, &state, play->now);
      dp_suspect_clear (&state);
      break;
    case STEP_END:
      break;
    }
  g_array_unref (keys);
}

START_TEST (only_what_crashes_targets_is_blocked)
{
  const SuspectCase *row = &cases[_i];
  const DpSuspectOptions options = make_options (100);
  Play play = { .table = dp_suspects_new (&options),
                .now = START,
                .changed = g_array_new (FALSE, FALSE, sizeof (guint64)) };
  for (guint i = 0; i < STEPS_MAX; i++)
    play_step (&play, row, &row->steps[i]);
  for (guint i = 0; i < KEYS; i++)
    {
      GArray *key = make_keys (1u << i);
      gboolean blocks = dp_suspects_blocks (play.table, key, play.now, NULL);
      g_array_unref (key);
      ck_assert_msg (blocks == ((row->blocked & (1u << i)) != 0), "%s: key %u", row->name, i);
    }
  GArray *together = make_keys (row->together);
  ck_assert_msg (dp_suspects_blocks (play.table, together, play.now, NULL)
                   == (row->together != 0),
                 "%s: together", row->name);
  g_array_unref (together);
  g_array_unref (play.changed);
  dp_suspects_free (play.table);
}
END_TEST

START_TEST (a_block_and_its_end_reach_other_vms)
{
  const DpSuspectOptions options = make_strict_options (1);
  DpSuspectTable *first = dp_suspects_new (&options);
  DpSuspectTable *second = dp_suspects_new (&options);
  GArray *key = make_keys (POISON);
  GArray *changed = g_array_new (FALSE, FALSE, sizeof (guint64));
  dp_suspects_record_failure (first, key, 1, START - 1, START, changed);
  ck_assert_uint_eq (changed->len, 1);
  DpSuspect state = dp_suspects_state (first, dp_key_set_get (key, 0), START);
  ck_assert (dp_suspects_merge (second, &state, START));
  ck_assert (!dp_suspects_merge (second, &state, START));
  ck_assert (dp_suspects_blocks (second, key, START, NULL));
  GArray *other = make_keys (OTHER);
  dp_suspects_record_failure (second, other, 1, START - 1, START, changed);
  ck_assert_uint_eq (dp_suspects_count (second), 1);
  g_array_set_size (changed, 0);
  dp_suspects_record_served (first, key, START, START, changed);
  ck_assert_uint_eq (changed->len, 1);
  state = dp_suspects_state (first, dp_key_set_get (key, 0), START);
  dp_suspects_merge (second, &state, START);
  ck_assert (!dp_suspects_blocks (second, key, START, NULL));
  g_array_unref (other);
  g_array_unref (key);
  g_array_unref (changed);
  dp_suspects_free (first);
  dp_suspects_free (second);
}
END_TEST

/* --- prompts of many parts --- */

/* Requests share all parts but the guilty one, which sound ones have another part for. */
typedef struct PartsCase
{
  const char *name;
  guint parts;         /* that requests share */
  guint guilty;        /* place of the guilty one among them */
  gboolean are_served; /* sound requests are, before and between the crashes */
  gboolean is_served;  /* the guilty part was, long before */
  guint other_crashes; /* of targets that run sound requests */
  guint rows_max;
  gboolean finds_part; /* else: no sound request may be blocked, that is all */
} PartsCase;

static const PartsCase parts_cases[] = {
  { "one part", 1, 0, TRUE, FALSE, 0, 8192, TRUE },
  { "15 parts, the last", 15, 14, TRUE, FALSE, 0, 8192, TRUE },
  { "16 parts, the last", 16, 15, TRUE, FALSE, 0, 8192, TRUE },
  { "17 parts, the first", 17, 0, TRUE, FALSE, 0, 8192, TRUE },
  { "17 parts, the last", 17, 16, TRUE, FALSE, 0, 8192, TRUE },
  { "60 parts, in the middle", 60, 30, TRUE, FALSE, 0, 8192, TRUE },
  { "400 parts, the last", 400, 399, TRUE, FALSE, 0, 8192, TRUE },
  { "2,000 parts, the last", 2000, 1999, TRUE, FALSE, 0, 8192, TRUE },
  { "60 parts, sound requests come later", 60, 59, FALSE, FALSE, 0, 8192, TRUE },
  { "400 parts, sound requests come later", 400, 399, FALSE, FALSE, 0, 8192, TRUE },
  { "60 parts, the guilty one was harmless", 60, 59, TRUE, TRUE, 0, 8192, TRUE },
  { "17 parts, targets crash for other reasons", 17, 16, TRUE, FALSE, 2, 8192, TRUE },
  { "400 parts, targets crash for other reasons", 400, 200, TRUE, FALSE, 2, 8192, TRUE },
  { "60 parts, room for 20", 60, 59, TRUE, FALSE, 0, 20, FALSE },
  { "60 parts, room for 20, sound requests come later", 60, 0, FALSE, FALSE, 0, 20, FALSE },
};

#define PARTS_KEY_SOUND G_GUINT64_CONSTANT (0xffff1)

/* `number` makes the request's own key differ from those of others. */
static GArray *
make_prompt (const PartsCase *row, gboolean is_sound, guint number)
{
  GArray *keys = dp_key_set_new (row->parts + 1);
  dp_key_set_append (keys, (guint64)(number + 1) << 32);
  for (guint i = 0; i < row->parts; i++)
    dp_key_set_append (keys,
                       is_sound && i == row->guilty ? PARTS_KEY_SOUND : 2 * (guint64)i + 1);
  dp_key_set_complete (keys);
  return keys;
}

static void
play_prompt (Play *play, const PartsCase *row, gboolean is_sound, gboolean crashes)
{
  GArray *keys = make_prompt (row, is_sound, (guint)(play->now / MSEC));
  play->now += 200 * MSEC;
  if (dp_suspects_blocks (play->table, keys, play->now, NULL))
    ck_assert_msg (!is_sound, "%s: a sound request is blocked", row->name);
  else if (crashes)
    {
      play->target++;
      play_crash (play, keys);
    }
  else
    dp_suspects_record_served (play->table, keys, play->now, play->now, play->changed);
  g_array_unref (keys);
}

START_TEST (one_of_many_parts_is_found_and_no_other_is_blamed)
{
  const PartsCase *row = &parts_cases[_i];
  const DpSuspectOptions options = make_options (row->rows_max);
  Play play = { .table = dp_suspects_new (&options),
                .now = START,
                .changed = g_array_new (FALSE, FALSE, sizeof (guint64)) };
  if (row->is_served)
    play_prompt (&play, row, FALSE, FALSE);
  for (guint i = 0; i < 6; i++)
    {
      if (row->are_served)
        play_prompt (&play, row, TRUE, FALSE);
      if (i < row->other_crashes)
        play_prompt (&play, row, TRUE, TRUE);
      play_prompt (&play, row, FALSE, TRUE);
    }
  GArray *guilty = make_prompt (row, FALSE, 0);
  ck_assert_msg (dp_suspects_blocks (play.table, guilty, play.now, NULL) == row->finds_part,
                 "%s", row->name);
  play_prompt (&play, row, TRUE, FALSE);
  ck_assert_msg (dp_suspects_blocks (play.table, guilty, play.now, NULL) == row->finds_part,
                 "%s: after a sound request", row->name);
  ck_assert_uint_le (dp_suspects_count (play.table), row->rows_max);
  /* Another VM that is told of the blocks refuses the same requests. */
  DpSuspectTable *other = dp_suspects_new (&options);
  GArray *blocked = g_array_new (FALSE, FALSE, sizeof (guint64));
  dp_suspects_list_blocked (play.table, blocked);
  for (guint i = 0; i < blocked->len; i++)
    {
      DpSuspect state
        = dp_suspects_state (play.table, g_array_index (blocked, guint64, i), play.now);
      dp_suspects_merge (other, &state, play.now);
      dp_suspect_clear (&state);
    }
  ck_assert_msg (dp_suspects_blocks (other, guilty, play.now, NULL) == row->finds_part,
                 "%s: at another VM", row->name);
  g_array_unref (blocked);
  g_array_unref (guilty);
  g_array_unref (play.changed);
  dp_suspects_free (other);
  dp_suspects_free (play.table);
}
END_TEST

/* A VM must report responses to requests with any of the parts: they narrow the block. */
START_TEST (a_joint_block_is_known_by_each_of_its_parts)
{
  const DpSuspectOptions options = make_strict_options (8);
  DpSuspectTable *first = dp_suspects_new (&options);
  DpSuspectTable *second = dp_suspects_new (&options);
  GArray *keys = make_keys (TOPIC | POISON | OTHER);
  GArray *changed = g_array_new (FALSE, FALSE, sizeof (guint64));
  dp_suspects_record_failure (first, keys, 1, START - 1, START, changed);
  DpSuspect state = dp_suspects_state (first, dp_key_set_get (keys, 0), START);
  ck_assert (dp_suspects_merge (second, &state, START));
  dp_suspect_clear (&state);
  ck_assert_uint_eq (dp_suspects_count (second), keys->len);
  for (guint i = 0; i < KEYS; i++)
    {
      GArray *key = make_keys (1u << i);
      ck_assert (dp_suspects_includes_any (second, key) == ((1u << i) != COMMON));
      ck_assert (!dp_suspects_blocks (second, key, START, NULL));
      g_array_unref (key);
    }
  ck_assert (dp_suspects_blocks (second, keys, START, NULL));
  g_array_unref (keys);
  g_array_unref (changed);
  dp_suspects_free (first);
  dp_suspects_free (second);
}
END_TEST

typedef struct EndedCase
{
  const char *name;
  guint blocked; /* masks of keys */
  guint served;
  guint failed;
  guint ended;
} EndedCase;

static const EndedCase ended_cases[] = {
  { "a single key", POISON, POISON, 0, POISON },
  { "the first of a joint block", TOPIC | POISON | OTHER, TOPIC, 0, TOPIC },
  { "another of a joint block", TOPIC | POISON | OTHER, POISON, 0, 0 },
  { "all of a joint block", TOPIC | POISON, TOPIC | POISON, 0, TOPIC },
  { "the first, by a failure of the others", TOPIC | POISON | OTHER, 0, POISON | OTHER, TOPIC },
  { "another, by a failure of the others", TOPIC | POISON | OTHER, 0, TOPIC | POISON, 0 },
  { "none", POISON, COMMON, OTHER, 0 },
};

/* What is stored of a block is named by one key, and must go once the key stands for none. */
START_TEST (a_stored_block_ends_with_the_block)
{
  const EndedCase *row = &ended_cases[_i];
  const DpSuspectOptions options = make_strict_options (8);
  DpSuspectTable *table = dp_suspects_new (&options);
  GArray *blocked = make_keys (row->blocked);
  GArray *served = make_keys (row->served);
  GArray *failed = make_keys (row->failed);
  GArray *wanted = make_keys (row->ended);
  GArray *changed = dp_key_set_new (0);
  GArray *ended = dp_key_set_new (0);
  dp_suspects_record_failure (table, blocked, 1, START - 1, START, changed);
  dp_suspects_record_served (table, served, START + SEC, START + SEC, changed);
  if (row->failed != 0)
    dp_suspects_record_failure (table, failed, 2, START + 5 * SEC, START + 6 * SEC, changed);
  dp_suspects_take_ended (table, ended);
  dp_key_set_complete (ended);
  ck_assert_msg (ended->len == wanted->len && dp_key_set_includes (ended, wanted), "%s",
                 row->name);
  g_array_set_size (ended, 0);
  dp_suspects_take_ended (table, ended);
  ck_assert_uint_eq (ended->len, 0);
  GArray *const sets[] = { blocked, served, failed, wanted, changed, ended };
  for (guint i = 0; i < G_N_ELEMENTS (sets); i++)
    g_array_unref (sets[i]);
  dp_suspects_free (table);
}
END_TEST

/* A failure that the table has no room for counts for the request, not for its parts. */
START_TEST (a_request_with_too_many_parts_is_blocked_as_a_whole)
{
  const PartsCase row = { .parts = 60, .rows_max = 20 };
  const DpSuspectOptions options = make_options (row.rows_max);
  Play play
    = { .table = dp_suspects_new (&options), .now = START, .changed = dp_key_set_new (0) };
  GArray *request = make_prompt (&row, FALSE, 1);
  GArray *other = make_prompt (&row, FALSE, 2);
  for (guint i = 0; i < options.failures_max; i++)
    {
      play.now += 200 * MSEC;
      play.target++;
      play_crash (&play, request);
    }
  ck_assert (dp_suspects_blocks (play.table, request, play.now, NULL));
  ck_assert (!dp_suspects_blocks (play.table, other, play.now, NULL));
  g_array_unref (other);
  g_array_unref (request);
  g_array_unref (play.changed);
  dp_suspects_free (play.table);
}
END_TEST

int
main (void)
{
  TCase *tests = tcase_create ("suspects");
  tcase_add_loop_test (tests, only_what_crashes_targets_is_blocked, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tests, a_block_and_its_end_reach_other_vms);
  tcase_add_loop_test (tests, a_stored_block_ends_with_the_block, 0,
                       G_N_ELEMENTS (ended_cases));
  tcase_add_test (tests, a_request_with_too_many_parts_is_blocked_as_a_whole);
  tcase_add_test (tests, a_joint_block_is_known_by_each_of_its_parts);
  tcase_add_loop_test (tests, one_of_many_parts_is_found_and_no_other_is_blamed, 0,
                       G_N_ELEMENTS (parts_cases));
  Suite *suite = suite_create ("suspects");
  suite_add_tcase (suite, tests);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
