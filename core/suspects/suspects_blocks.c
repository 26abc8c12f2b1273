/* What is blocked, trials, and what VMs tell each other of it. */
#include "core/suspects/suspects_private.h"

#define TRIAL_INTERVAL_FACTOR 4

/* --- blocks and trials --- */

gboolean
dp_suspects_includes_any (const DpSuspectTable *table, const GArray *keys)
{
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    if (dp_suspects_find_row (table, dp_key_set_get (keys, i)) != NULL)
      return TRUE;
  return FALSE;
}

gboolean
dp_suspects_blocks (DpSuspectTable *table, const GArray *keys, DpUsec now, DpUsec *remaining)
{
  GArray *blocking = dp_suspects_list_blocking (table, keys);
  if (blocking == NULL)
    return FALSE;
  for (guint i = 0; i < blocking->len; i++)
    {
      DpSuspectRow *row = dp_suspects_find_row (table, dp_key_set_get (blocking, i));
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
      const DpSuspectRow *row = dp_suspects_find_row (table, dp_key_set_get (blocking, i));
      if (now < row->blocked_until || row->trials >= table->options.trials_max)
        return FALSE;
    }
  return TRUE;
}

gboolean
dp_suspects_begin_trial (DpSuspectTable *table, const GArray *keys, DpUsec now, GArray *changed)
{
  GArray *blocking = dp_suspects_list_blocking (table, keys);
  gboolean is_trial = may_try (table, blocking, now);
  for (guint i = 0; is_trial && i < dp_key_set_count (blocking); i++)
    {
      guint64 key = dp_key_set_get (blocking, i);
      DpSuspectRow *row = dp_suspects_find_row (table, key);
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
  const DpSuspectRow *row = dp_suspects_find_row (table, key);
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
  DpSuspectRow *row = dp_suspects_ensure_row (table, key);
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
    dp_suspects_set_joint (row, state->joint);
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
    dp_suspects_make_room (table, state->joint);
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
    if (dp_suspects_is_listed_block (value, *(guint64 *)key))
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
      const DpSuspectRow *row = value;
      if (now < row->remembered_until)
        continue;
      if (dp_suspects_is_listed_block (row, *(guint64 *)key))
        g_array_append_val (expired, *(guint64 *)key);
      g_hash_table_iter_remove (&iter);
    }
}
