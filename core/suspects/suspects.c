/* What failures and complete responses say of keys. */
#include "core/suspects/suspects_private.h"

/* A crash breaks all open responses of a target, and one that breaks off everything may be at
 * fault itself: within this time a target's failures count once. */
#define SAME_TARGET_INTERVAL (2 * DP_USEC_PER_SEC)

/* Forgets a key that is innocent. Returns FALSE if it was not known. */
static gboolean
acquit (DpSuspectTable *table, guint64 key)
{
  const DpSuspectRow *row = dp_suspects_find_row (table, key);
  if (row != NULL && dp_suspects_is_listed_block (row, key))
    g_array_append_val (table->ended, key);
  return g_hash_table_remove (table->rows, &key);
}

/* --- failures --- */

static gboolean
is_same_crash (const DpSuspectFailure *a, const DpSuspectFailure *b)
{
  return a->target == b->target && ABS (a->at - b->at) < SAME_TARGET_INTERVAL;
}

static gboolean
is_explained (const DpSuspectTable *table, const DpSuspectFailure *failure)
{
  for (guint i = 0; i < DP_SUSPECT_EXPLAINED_MAX; i++)
    if (table->explained[i].at != 0 && is_same_crash (&table->explained[i], failure))
      return TRUE;
  return FALSE;
}

static void
drop_failure (DpSuspectRow *row, guint index)
{
  row->count--;
  for (guint i = index; i < row->count; i++)
    row->failures[i] = row->failures[i + 1];
}

static void
withdraw (DpSuspectRow *row, const DpSuspectFailure *failure)
{
  for (guint i = row->count; i > 0; i--)
    if (is_same_crash (&row->failures[i - 1], failure))
      drop_failure (row, i - 1);
}

/* A request with a blocked key has failed at the target: no other request is to blame. */
static void
explain (DpSuspectTable *table, const DpSuspectFailure *failure)
{
  table->explained[table->explained_next++ % DP_SUSPECT_EXPLAINED_MAX] = *failure;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!((DpSuspectRow *)value)->is_blocked)
      withdraw (value, failure);
}

static void
count_failure (DpSuspectRow *row, const DpSuspectFailure *failure, DpUsec sent_at)
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
count_for (DpSuspectTable *table, guint64 key, const DpSuspectFailure *failure, DpUsec sent_at)
{
  DpSuspectRow *row = dp_suspects_ensure_row (table, key);
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
               const DpSuspectFailure *failure,
               DpUsec sent_at)
{
  GArray *whole = NULL;
  if (!dp_suspects_make_room (table, keys))
    {
      whole = dp_suspects_without_parts (keys);
      dp_suspects_make_room (table, whole);
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
      const DpSuspectRow *row = dp_suspects_find_row (table, key);
      if (row != NULL && !row->is_blocked
          && (dp_suspects_served_at (table, key) > 0) == was_served
          && row->count >= failures_max (table, key))
        dp_key_set_append (guilty, key);
    }
  return guilty;
}

/* Adds those failures of the row that are not in the list yet. */
static void
collect_failures (const DpSuspectRow *row, GArray *failures)
{
  for (guint i = 0; i < row->count; i++)
    {
      gboolean is_known = FALSE;
      for (guint j = 0; !is_known && j < failures->len; j++)
        is_known
          = is_same_crash (&row->failures[i], &g_array_index (failures, DpSuspectFailure, j));
      if (!is_known)
        g_array_append_val (failures, row->failures[i]);
    }
}

/* Keys that were never served are blocked first: they explain the failures of the others. */
static void
block_guilty (DpSuspectTable *table, const GArray *keys, gboolean was_served, DpUsec now)
{
  GArray *guilty = list_guilty (table, keys, was_served);
  GArray *failures = g_array_new (FALSE, FALSE, sizeof (DpSuspectFailure));
  for (guint i = 0; i < guilty->len; i++)
    {
      DpSuspectRow *row = dp_suspects_find_row (table, dp_key_set_get (guilty, i));
      dp_suspects_set_joint (row, guilty);
      row->is_blocked = TRUE;
      row->blocked_until = now + table->options.block_duration;
      collect_failures (row, failures);
    }
  for (guint i = 0; i < failures->len; i++)
    explain (table, &g_array_index (failures, DpSuspectFailure, i));
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
      const DpSuspectRow *row = dp_suspects_find_row (table, dp_key_set_get (keys, i));
      if (row != NULL && row->is_blocked)
        dp_key_set_append (guilty, dp_key_set_get (keys, i));
    }
  const GArray *cleared = NULL;
  for (guint i = 0; i < guilty->len; i++)
    {
      guint64 key = dp_key_set_get (guilty, i);
      DpSuspectRow *row = dp_suspects_find_row (table, key);
      if (row->joint != NULL && row->joint != cleared)
        clear_others (table, row->joint, guilty, changed);
      /* Compared only: the other rows of the block still refer to it until their turn. */
      cleared = row->joint;
      dp_suspects_set_joint (row, guilty);
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
  const DpSuspectFailure failure = { .target = target, .at = now };
  GArray *blocking = dp_suspects_list_blocking (table, keys);
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
      const DpSuspectRow *row = dp_suspects_find_row (table, key);
      if (row != NULL && (row->is_blocked || row->count >= DP_SUSPECT_FAILURES_ANNOUNCED))
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
      DpSuspectRow *row = dp_suspects_find_row (table, key);
      if (row == NULL || row->joint == NULL)
        continue;
      GArray *own
        = row->joint == joint ? g_array_ref (rest) : dp_key_set_subtract (row->joint, cleared);
      dp_suspects_set_joint (row, own);
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
      DpSuspectRow *row = dp_suspects_find_row (table, dp_key_set_get (cleared, i));
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
      const DpSuspectRow *row = dp_suspects_find_row (table, key);
      if (row == NULL || (row->count > 0 && served_at < row->failures[row->count - 1].at))
        continue;
      if (row->is_blocked || row->count >= DP_SUSPECT_FAILURES_ANNOUNCED)
        g_array_append_val (changed, key);
      dp_key_set_append (cleared, key);
    }
  clear_keys (table, cleared, changed);
  g_array_unref (cleared);
}
