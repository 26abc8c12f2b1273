#include "core/row_sync/rows.h"

#include "common/id.h"

#include <string.h>

static guint64
hash_text (guint section, const char *text, gsize length)
{
  return dp_hash_bytes (text, length, section);
}

DpRow *
dp_row_new (guint section, const char *text, gsize length)
{
  DpRow *row = g_malloc (sizeof *row + length);
  *row = (DpRow){ .section = section, .length = length };
  g_atomic_ref_count_init (&row->refs);
  if (length > 0)
    memcpy (row->text, text, length);
  row->hash = hash_text (section, row->text, length);
  return row;
}

DpRow *
dp_row_ref (DpRow *row)
{
  g_atomic_ref_count_inc (&row->refs);
  return row;
}

void
dp_row_unref (DpRow *row)
{
  if (row == NULL || !g_atomic_ref_count_dec (&row->refs))
    return;
  if (row->value != NULL && row->free_value != NULL)
    row->free_value (row->value);
  g_free (row);
}

void
dp_row_set_value (DpRow *row, gpointer value, GDestroyNotify free_value)
{
  row->value = value;
  row->free_value = free_value;
}

gboolean
dp_row_equal (const DpRow *a, const DpRow *b)
{
  return a == b
         || (a->hash == b->hash && a->section == b->section && a->length == b->length
             && memcmp (a->text, b->text, a->length) == 0);
}

/* --- lists --- */

static void
unref_row (gpointer row)
{
  dp_row_unref (row);
}

GPtrArray *
dp_row_array_new (guint size)
{
  return g_ptr_array_new_full (size, unref_row);
}

DpRowList *
dp_row_list_new (GPtrArray *rows)
{
  DpRowList *list = g_new0 (DpRowList, 1);
  g_atomic_ref_count_init (&list->refs);
  list->rows = rows;
  guint section = 0;
  for (guint i = 0; i < rows->len; i++)
    {
      const DpRow *row = g_ptr_array_index (rows, i);
      for (; section < row->section; section++)
        list->section_ends[section] = i;
      guint64 *digest = &list->section_digests[row->section];
      *digest = dp_hash_bytes (&row->hash, sizeof row->hash, *digest);
      list->bytes += row->length;
    }
  for (; section < DP_ROW_SECTIONS; section++)
    list->section_ends[section] = rows->len;
  list->digest = dp_hash_bytes (list->section_digests, sizeof list->section_digests, rows->len);
  list->digest = MAX (list->digest, 1);
  return list;
}

DpRowList *
dp_row_list_ref (DpRowList *list)
{
  g_atomic_ref_count_inc (&list->refs);
  return list;
}

void
dp_row_list_unref (DpRowList *list)
{
  if (list == NULL || !g_atomic_ref_count_dec (&list->refs))
    return;
  g_ptr_array_unref (list->rows);
  g_free (list);
}

guint
dp_row_list_begin (const DpRowList *list, guint section)
{
  return section > 0 ? list->section_ends[section - 1] : 0;
}

guint
dp_row_list_end (const DpRowList *list, guint section)
{
  return list->section_ends[section];
}

gboolean
dp_row_list_same_section (const DpRowList *a, const DpRowList *b, guint section)
{
  return a->section_digests[section] == b->section_digests[section]
         && dp_row_list_end (a, section) - dp_row_list_begin (a, section)
              == dp_row_list_end (b, section) - dp_row_list_begin (b, section);
}

/* --- pools --- */

struct DpRowPool
{
  GHashTable *rows; /* hash of a row -> DpRow; of rows with equal hashes, one */
};

DpRowPool *
dp_row_pool_new (const DpRowList *list)
{
  DpRowPool *pool = g_new0 (DpRowPool, 1);
  pool->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, unref_row);
  for (guint i = 0; list != NULL && i < list->rows->len; i++)
    {
      DpRow *row = DP_ROW_LIST_ROW (list, i);
      g_hash_table_replace (pool->rows, &row->hash, dp_row_ref (row));
    }
  return pool;
}

void
dp_row_pool_free (DpRowPool *pool)
{
  g_hash_table_unref (pool->rows);
  g_free (pool);
}

DpRow *
dp_row_pool_get (DpRowPool *pool, guint section, const char *text, gsize length)
{
  guint64 hash = hash_text (section, text, length);
  DpRow *row = g_hash_table_lookup (pool->rows, &hash);
  if (row != NULL && row->section == section && row->length == length
      && memcmp (row->text, text, length) == 0)
    return dp_row_ref (row);
  row = dp_row_new (section, text, length);
  g_hash_table_replace (pool->rows, &row->hash, dp_row_ref (row));
  return row;
}
