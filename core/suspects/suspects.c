#include "core/suspects/suspects.h"

#include "core/key_set.h"
#include "core/recent_map.h"

/* A crash breaks all open responses of a target, and one that breaks off everything may be at
 * fault itself: within this time a target's failures count once. */
#define SAME_TARGET_INTERVAL (2 * DP_USEC_PER_SEC)
/* Other VMs are told of a key from this count on, so that they report complete responses. */
#define FAILURES_ANNOUNCED 2
#define TRIAL_INTERVAL_FACTOR 4
/* Recent failures that a blocked key explains. */
#define EXPLAINED_MAX 16
/* Served keys, about 40 bytes each, twice. */
#define SERVED_KEYS_MAX 8192

typedef struct Failure
{
  DpName target;
  DpUsec at;
} Failure;

typedef struct Row
{
  guint count;
  Failure failures[DP_SUSPECT_FAILURES_MAX]; /* oldest first */
  gboolean is_blocked;
  GArray *joint; /* set that it is blocked jointly with, itself included; NULL: by itself */
  DpUsec blocked_until;
  guint trials;
  DpUsec remembered_until;
} Row;

struct DpSuspectTable
{
  DpSuspectOptions options;
  GHashTable *rows; /* key -> Row */
  Failure explained[EXPLAINED_MAX];
  guint explained_next;
  DpRecentMap *served; /* key -> DpUsec: time of the last complete response */
  GArray *ended;       /* guint64, see dp_suspects_take_ended() */
};

static void
row_free (gpointer data)
{
  Row *row = data;
  g_clear_pointer (&row->joint, g_array_unref);
  g_free (row);
}

DpSuspectTable *
dp_suspects_new (const DpSuspectOptions *options)
{
  DpSuspectTable *table = g_new0 (DpSuspectTable, 1);
  table->options = *options;
  table->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, row_free);
  table->served = dp_recent_map_new (options->served_duration, SERVED_KEYS_MAX);
  table->ended = dp_key_set_new (0);
  return table;
}

void
dp_suspects_free (DpSuspectTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->rows);
  dp_recent_map_free (table->served);
  g_array_unref (table->ended);
  g_free (table);
}

/* Returns NULL if the table is full. */
static Row *
ensure_row (DpSuspectTable *table, guint64 key)
{
  Row *row = g_hash_table_lookup (table->rows, &key);
  if (row == NULL && g_hash_table_size (table->rows) < table->options.rows_max)
    {
      row = g_new0 (Row, 1);
      g_hash_table_insert (table->rows, g_memdup2 (&key, sizeof key), row);
    }
  return row;
}

static Row *
find_row (const DpSuspectTable *table, guint64 key)
{
  return g_hash_table_lookup (table->rows, &key);
}

typedef struct Candidate
{
  guint64 key;
  DpUsec failed_at; /* last time */
} Candidate;

static gint
compare_ages (gconstpointer a, gconstpointer b)
{
  DpUsec first = ((const Candidate *)a)->failed_at;
  DpUsec second = ((const Candidate *)b)->failed_at;
  return first < second ? -1 : first > second;
}

/* Keys that are not among `keys` and may give way to others, the oldest first. */
static GArray *
list_droppable (const DpSuspectTable *table, const GArray *keys)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, table->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Row *row = value;
      const Candidate candidate
        = { *(guint64 *)key, row->count > 0 ? row->failures[row->count - 1].at : 0 };
      if (!row->is_blocked && row->count < FAILURES_ANNOUNCED
          && !dp_key_set_contains (keys, candidate.key))
        g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_ages);
  return candidates;
}

/* Returns FALSE if the table has no room for all of these keys. */
static gboolean
make_room (DpSuspectTable *table, const GArray *keys)
{
  guint wanted = g_hash_table_size (table->rows);
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    wanted += find_row (table, dp_key_set_get (keys, i)) == NULL;
  if (wanted <= table->options.rows_max)
    return TRUE;
  GArray *candidates = list_droppable (table, keys);
  guint excess = wanted - table->options.rows_max;
  gboolean has_room = excess <= candidates->len;
  for (guint i = 0; has_room && i < excess; i++)
    g_hash_table_remove (table->rows, &g_array_index (candidates, Candidate, i).key);
  g_array_unref (candidates);
  return has_room;
}

/* --- joint blocks --- */

/* A single key is blocked by itself. */
static void
set_joint (Row *row, GArray *joint)
{
  GArray *before = row->joint;
  row->joint = dp_key_set_count (joint) > 1 ? g_array_ref (joint) : NULL;
  g_clear_pointer (&before, g_array_unref);
}

/* Returns those of the request's keys that block it; NULL if none does. */
static GArray *
list_blocking (const DpSuspectTable *table, const GArray *keys)
{
  GArray *blocking = NULL;
  /* The rows of a joint block share its set, which is compared once. */
  const GArray *compared = NULL;
  gboolean is_included = FALSE;
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    {
      guint64 key = dp_key_set_get (keys, i);
      const Row *row = find_row (table, key);
      if (row == NULL || !row->is_blocked)
        continue;
      if (row->joint == NULL || row->joint != compared)
        is_included = dp_key_set_includes (keys, row->joint);
      compared = row->joint;
      if (!is_included)
        continue;
      if (blocking == NULL)
        blocking = dp_key_set_new (1);
      dp_key_set_append (blocking, key);
    }
  return blocking;
}

/* TRUE if the key stands for a block: for itself, or as the first of a joint one. */
static gboolean
is_listed_block (const Row *row, guint64 key)
{
  return row->is_blocked && (row->joint == NULL || dp_key_set_get (row->joint, 0) == key);
}

/* Forgets a key that is innocent. Returns FALSE if it was not known. */
static gboolean
acquit (DpSuspectTable *table, guint64 key)
{
  const Row *row = find_row (table, key);
  if (row != NULL && is_listed_block (row, key))
    g_array_append_val (table->ended, key);
  return g_hash_table_remove (table->rows, &key);
}

/* --- failures --- */

static gboolean
is_same_crash (const Failure *a, const Failure *b)
{
  return a->target == b->target && ABS (a->at - b->at) < SAME_TARGET_INTERVAL;
}

static gboolean
is_explained (const DpSuspectTable *table, const Failure *failure)
{
  for (guint i = 0; i < EXPLAINED_MAX; i++)
    if (table->explained[i].at != 0 && is_same_crash (&table->explained[i], failure))
      return TRUE;
  return FALSE;
}

static void
drop_failure (Row *row, guint index)
{
  row->count--;
  for (guint i = index; i < row->count; i++)
    row->failures[i] = row->failures[i + 1];
}

static void
withdraw (Row *row, const Failure *failure)
{
  for (guint i = row->count; i > 0; i--)
    if (is_same_crash (&row->failures[i - 1], failure))
      drop_failure (row, i - 1);
}

/* A request with a blocked key has failed at the target: no other request is to blame. */
static void
explain (DpSuspectTable *table, const Failure *failure)
{
  table->explained[table->explained_next++ % EXPLAINED_MAX] = *failure;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((Row *)value)->is_blocked)
      withdraw (value, failure);
}

static void
count_failure (Row *row, const Failure *failure, DpUsec sent_at)
{
  if (row->count > 0 && sent_at < row->failures[row->count - 1].at)
    return;
  for (guint i = 0; i < row->count; i++)
    if (is_same_crash (&row->failures[i], failure))
      return;
  if (row->count == DP_SUSPECT_FAILURES_MAX)
    drop_failure (row, 0);
  row->failures[row->count++] = *failure;
}

static guint
failures_max (const DpSuspectTable *table, guint64 key)
{
  return dp_suspects_served_at (table, key) > 0 ? table->options.failures_max_served
                                                : table->options.failures_max;
}

static void
count_for (DpSuspectTable *table, guint64 key, const Failure *failure, DpUsec sent_at)
{
  Row *row = ensure_row (table, key);
  if (row == NULL) /* all rows are blocked or announced */
    return;
  if (row->count > 0 && dp_suspects_served_at (table, key) >= row->failures[row->count - 1].at)
    row->count = 0;
  count_failure (row, failure, sent_at);
  row->remembered_until = failure->at + table->options.memory_duration;
}

GArray *
dp_suspects_without_parts (const GArray *keys)
{
  GArray *whole = dp_key_set_new (1);
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    if (!(dp_key_set_get (keys, i) & DP_SUSPECT_PART_BIT))
      dp_key_set_append (whole, dp_key_set_get (keys, i));
  return whole;
}

static void
count_for_all (DpSuspectTable *table,
               const GArray *keys,
               const Failure *failure,
               DpUsec sent_at)
{
  GArray *whole = NULL;
  if (!make_room (table, keys))
    {
      whole = dp_suspects_without_parts (keys);
      make_room (table, whole);
    }
  const GArray *counted = whole != NULL ? whole : keys;
  for (guint i = 0; i < dp_key_set_count (counted); i++)
    count_for (table, dp_key_set_get (counted, i), failure, sent_at);
  g_clear_pointer (&whole, g_array_unref);
}

static GArray *
list_guilty (const DpSuspectTable *table, const GArray *keys, gboolean was_served)
{
  GArray *guilty = dp_key_set_new (0);
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    {
      guint64 key = dp_key_set_get (keys, i);
      const Row *row = find_row (table, key);
      if (row != NULL && !row->is_blocked
          && (dp_suspects_served_at (table, key) > 0) == was_served
          && row->count >= failures_max (table, key))
        dp_key_set_append (guilty, key);
    }
  return guilty;
}

/* Adds those failures of the row that are not in the list yet. */
static void
collect_failures (const Row *row, GArray *failures)
{
  for (guint i = 0; i < row->count; i++)
    {
      gboolean is_known = FALSE;
      for (guint j = 0; !is_known && j < failures->len; j++)
        is_known = is_same_crash (&row->failures[i], &g_array_index (failures, Failure, j));
      if (!is_known)
        g_array_append_val (failures, row->failures[i]);
    }
}

/* Keys that were never served are blocked first: they explain the failures of the others. */
static void
block_guilty (DpSuspectTable *table, const GArray *keys, gboolean was_served, DpUsec now)
{
  GArray *guilty = list_guilty (table, keys, was_served);
  GArray *failures = g_array_new (FALSE, FALSE, sizeof (Failure));
  for (guint i = 0; i < guilty->len; i++)
    {
      Row *row = find_row (table, dp_key_set_get (guilty, i));
      set_joint (row, guilty);
      row->is_blocked = TRUE;
      row->blocked_until = now + table->options.block_duration;
      collect_failures (row, failures);
    }
  for (guint i = 0; i < failures->len; i++)
    explain (table, &g_array_index (failures, Failure, i));
  g_array_unref (failures);
  g_array_unref (guilty);
}

/* Forgets the keys of a joint block that are not in `guilty`. */
static void
clear_others (DpSuspectTable *table, const GArray *joint, const GArray *guilty, GArray *changed)
{
  GArray *others = dp_key_set_subtract (joint, guilty);
  for (guint i = 0; i < others->len; i++)
    {
      guint64 key = dp_key_set_get (others, i);
      if (acquit (table, key))
        g_array_append_val (changed, key);
    }
  g_array_unref (others);
}

/* A request with some of the keys that are blocked jointly has failed: the others are innocent.
 * Returns FALSE if it has no such keys. */
static gboolean
narrow_joint_block (DpSuspectTable *table, const GArray *keys, GArray *changed)
{
  GArray *guilty = dp_key_set_new (0);
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    {
      const Row *row = find_row (table, dp_key_set_get (keys, i));
      if (row != NULL && row->is_blocked)
        dp_key_set_append (guilty, dp_key_set_get (keys, i));
    }
  const GArray *cleared = NULL;
  for (guint i = 0; i < guilty->len; i++)
    {
      guint64 key = dp_key_set_get (guilty, i);
      Row *row = find_row (table, key);
      if (row->joint != NULL && row->joint != cleared)
        clear_others (table, row->joint, guilty, changed);
      /* Compared only: the other rows of the block still refer to it until their turn. */
      cleared = row->joint;
      set_joint (row, guilty);
      g_array_append_val (changed, key);
    }
  gboolean is_narrowed = guilty->len > 0;
  g_array_unref (guilty);
  return is_narrowed;
}

void
dp_suspects_record_failure (DpSuspectTable *table,
                            const GArray *keys,
                            DpName target,
                            DpUsec sent_at,
                            DpUsec now,
                            GArray *changed)
{
  const Failure failure = { .target = target, .at = now };
  GArray *blocking = list_blocking (table, keys);
  if (blocking != NULL)
    {
      explain (table, &failure);
      g_array_unref (blocking);
      return;
    }
  if (is_explained (table, &failure))
    return;
  if (narrow_joint_block (table, keys, changed))
    {
      explain (table, &failure);
      return;
    }
  count_for_all (table, keys, &failure, sent_at);
  block_guilty (table, keys, FALSE, now);
  block_guilty (table, keys, TRUE, now);
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    {
      guint64 key = dp_key_set_get (keys, i);
      const Row *row = find_row (table, key);
      if (row != NULL && (row->is_blocked || row->count >= FAILURES_ANNOUNCED))
        g_array_append_val (changed, key);
    }
}

/* --- complete responses --- */

DpUsec
dp_suspects_served_at (const DpSuspectTable *table, guint64 key)
{
  return (DpUsec)dp_recent_map_get (table->served, key);
}

/* The cleared keys are innocent: the others of a joint block are blocked without them. */
static void
leave_joint_block (DpSuspectTable *table, GArray *joint, const GArray *cleared, GArray *changed)
{
  GArray *rest = dp_key_set_subtract (joint, cleared);
  for (guint i = 0; i < rest->len; i++)
    {
      guint64 key = dp_key_set_get (rest, i);
      Row *row = find_row (table, key);
      if (row == NULL || row->joint == NULL)
        continue;
      GArray *own
        = row->joint == joint ? g_array_ref (rest) : dp_key_set_subtract (row->joint, cleared);
      set_joint (row, own);
      g_array_unref (own);
      g_array_append_val (changed, key);
    }
  g_array_unref (rest);
}

/* Forgets the cleared keys, and takes them out of joint blocks. */
static void
clear_keys (DpSuspectTable *table, const GArray *cleared, GArray *changed)
{
  GArray *left = NULL;
  for (guint i = 0; i < dp_key_set_count (cleared); i++)
    {
      Row *row = find_row (table, dp_key_set_get (cleared, i));
      if (row->joint == NULL || row->joint == left)
        continue;
      g_clear_pointer (&left, g_array_unref);
      left = g_array_ref (row->joint);
      leave_joint_block (table, left, cleared, changed);
    }
  g_clear_pointer (&left, g_array_unref);
  for (guint i = 0; i < dp_key_set_count (cleared); i++)
    acquit (table, dp_key_set_get (cleared, i));
}

void
dp_suspects_record_served (
  DpSuspectTable *table, const GArray *keys, DpUsec served_at, DpUsec now, GArray *changed)
{
  GArray *cleared = dp_key_set_new (0);
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    {
      guint64 key = dp_key_set_get (keys, i);
      DpUsec known_at = dp_suspects_served_at (table, key);
      dp_recent_map_put (table->served, key, (guint64)MAX (served_at, known_at), now);
      const Row *row = find_row (table, key);
      if (row == NULL || (row->count > 0 && served_at < row->failures[row->count - 1].at))
        continue;
      if (row->is_blocked || row->count >= FAILURES_ANNOUNCED)
        g_array_append_val (changed, key);
      dp_key_set_append (cleared, key);
    }
  clear_keys (table, cleared, changed);
  g_array_unref (cleared);
}

/* --- blocks and trials --- */

gboolean
dp_suspects_includes_any (const DpSuspectTable *table, const GArray *keys)
{
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    if (find_row (table, dp_key_set_get (keys, i)) != NULL)
      return TRUE;
  return FALSE;
}

gboolean
dp_suspects_blocks (DpSuspectTable *table, const GArray *keys, DpUsec now, DpUsec *remaining)
{
  GArray *blocking = list_blocking (table, keys);
  if (blocking == NULL)
    return FALSE;
  for (guint i = 0; i < blocking->len; i++)
    {
      Row *row = find_row (table, dp_key_set_get (blocking, i));
      row->remembered_until = now + table->options.memory_duration;
      if (remaining != NULL)
        *remaining = MAX (row->blocked_until - now, DP_USEC_PER_SEC);
    }
  g_array_unref (blocking);
  return TRUE;
}

static gboolean
may_try (const DpSuspectTable *table, const GArray *blocking, DpUsec now)
{
  for (guint i = 0; i < dp_key_set_count (blocking); i++)
    {
      const Row *row = find_row (table, dp_key_set_get (blocking, i));
      if (now < row->blocked_until || row->trials >= table->options.trials_max)
        return FALSE;
    }
  return TRUE;
}

gboolean
dp_suspects_begin_trial (DpSuspectTable *table, const GArray *keys, DpUsec now, GArray *changed)
{
  GArray *blocking = list_blocking (table, keys);
  gboolean is_trial = may_try (table, blocking, now);
  for (guint i = 0; is_trial && i < dp_key_set_count (blocking); i++)
    {
      guint64 key = dp_key_set_get (blocking, i);
      Row *row = find_row (table, key);
      DpUsec interval = table->options.block_duration;
      for (guint trial = 0; trial <= row->trials; trial++)
        interval *= TRIAL_INTERVAL_FACTOR;
      row->trials++;
      row->blocked_until = now + interval;
      g_array_append_val (changed, key);
    }
  g_clear_pointer (&blocking, g_array_unref);
  return is_trial;
}

/* --- other VMs --- */

DpSuspect
dp_suspects_state (const DpSuspectTable *table, guint64 key, DpUsec now)
{
  DpSuspect state = { .key = key };
  const Row *row = find_row (table, key);
  if (row == NULL)
    return state;
  state.failures = row->count;
  state.is_blocked = row->is_blocked;
  state.trials = row->trials;
  state.remaining = MAX (row->blocked_until - now, 0);
  state.joint = row->joint != NULL ? g_array_ref (row->joint) : NULL;
  return state;
}

/* Applies the state to one of its keys. */
static gboolean
merge_key (DpSuspectTable *table, guint64 key, const DpSuspect *state, DpUsec now)
{
  if (state->failures == 0 && !state->is_blocked)
    {
      g_hash_table_remove (table->rows, &key);
      return FALSE;
    }
  Row *row = ensure_row (table, key);
  if (row == NULL)
    return FALSE;
  gboolean is_new_block = state->is_blocked && !row->is_blocked;
  /* A repeated announcement is no sign that such requests still come. */
  if (is_new_block || row->remembered_until == 0)
    row->remembered_until = now + table->options.memory_duration;
  if (!state->is_blocked)
    return FALSE;
  gboolean is_narrower
    = !is_new_block && dp_key_set_count (row->joint) > dp_key_set_count (state->joint);
  row->is_blocked = TRUE;
  if (is_new_block || is_narrower)
    set_joint (row, state->joint);
  if (is_new_block || state->trials > row->trials)
    {
      row->trials = state->trials;
      row->blocked_until = now + MAX (state->remaining, 0);
    }
  return is_new_block || is_narrower;
}

gboolean
dp_suspects_merge (DpSuspectTable *table, const DpSuspect *state, DpUsec now)
{
  if (dp_key_set_count (state->joint) == 0)
    return merge_key (table, state->key, state, now);
  if (state->is_blocked)
    make_room (table, state->joint);
  gboolean blocks_more = FALSE;
  for (guint i = 0; i < state->joint->len; i++)
    if (merge_key (table, dp_key_set_get (state->joint, i), state, now))
      blocks_more = TRUE;
  return blocks_more;
}

void
dp_suspects_list_blocked (const DpSuspectTable *table, GArray *keys)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, table->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (is_listed_block (value, *(guint64 *)key))
      g_array_append_val (keys, *(guint64 *)key);
}

void
dp_suspects_take_ended (DpSuspectTable *table, GArray *keys)
{
  g_array_append_vals (keys, table->ended->data, table->ended->len);
  g_array_set_size (table->ended, 0);
}

guint
dp_suspects_count (const DpSuspectTable *table)
{
  return g_hash_table_size (table->rows);
}

void
dp_suspects_tick (DpSuspectTable *table, DpUsec now, GArray *expired)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, table->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Row *row = value;
      if (now < row->remembered_until)
        continue;
      if (is_listed_block (row, *(guint64 *)key))
        g_array_append_val (expired, *(guint64 *)key);
      g_hash_table_iter_remove (&iter);
    }
}
