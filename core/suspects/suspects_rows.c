/* The table of keys: room in it, and joint blocks. */
#include "core/suspects/suspects_private.h"

/* Served keys, about 40 bytes each, twice. */
#define SERVED_KEYS_MAX 8192

static void
row_free (gpointer data)
{
  DpSuspectRow *row = data;
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

DpSuspectRow *
dp_suspects_ensure_row (DpSuspectTable *table, guint64 key)
{
  DpSuspectRow *row = g_hash_table_lookup (table->rows, &key);
  if (row == NULL && g_hash_table_size (table->rows) < table->options.rows_max)
    {
      row = g_new0 (DpSuspectRow, 1);
      g_hash_table_insert (table->rows, g_memdup2 (&key, sizeof key), row);
    }
  return row;
}

DpSuspectRow *
dp_suspects_find_row (const DpSuspectTable *table, guint64 key)
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
      const DpSuspectRow *row = value;
      const Candidate candidate
        = { *(guint64 *)key, row->count > 0 ? row->failures[row->count - 1].at : 0 };
      if (!row->is_blocked && row->count < DP_SUSPECT_FAILURES_ANNOUNCED
          && !dp_key_set_contains (keys, candidate.key))
        g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_ages);
  return candidates;
}

gboolean
dp_suspects_make_room (DpSuspectTable *table, const GArray *keys)
{
  guint wanted = g_hash_table_size (table->rows);
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    wanted += dp_suspects_find_row (table, dp_key_set_get (keys, i)) == NULL;
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

void
dp_suspects_set_joint (DpSuspectRow *row, GArray *joint)
{
  GArray *before = row->joint;
  row->joint = dp_key_set_count (joint) > 1 ? g_array_ref (joint) : NULL;
  g_clear_pointer (&before, g_array_unref);
}

GArray *
dp_suspects_list_blocking (const DpSuspectTable *table, const GArray *keys)
{
  GArray *blocking = NULL;
  /* The rows of a joint block share its set, which is compared once. */
  const GArray *compared = NULL;
  gboolean is_included = FALSE;
  for (guint i = 0; i < dp_key_set_count (keys); i++)
    {
      guint64 key = dp_key_set_get (keys, i);
      const DpSuspectRow *row = dp_suspects_find_row (table, key);
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

gboolean
dp_suspects_is_listed_block (const DpSuspectRow *row, guint64 key)
{
  return row->is_blocked && (row->joint == NULL || dp_key_set_get (row->joint, 0) == key);
}
