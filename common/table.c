#include "common/table.h"

typedef struct Slot
{
  guint32 generation; /* odd while the slot is in use */
  void *row;
} Slot;

struct DpTable
{
  gatomicrefcount refs;
  DpTableOptions options;
  GArray *slots;
  GArray *free_indices;
  guint count;
};

static DpHandle
make_handle (guint32 index, guint32 generation)
{
  return ((guint64)generation << 32) | index;
}

static Slot *
find_slot (DpTable *table, DpHandle handle)
{
  guint32 index = (guint32)handle;
  if (index >= table->slots->len)
    return NULL;
  Slot *slot = &g_array_index (table->slots, Slot, index);
  if (slot->generation != (guint32)(handle >> 32) || slot->row == NULL)
    return NULL;
  return slot;
}

static void
release_row (DpTable *table, Slot *slot)
{
  if (table->options.clear_row != NULL)
    table->options.clear_row (slot->row);
  g_free (slot->row);
  slot->row = NULL;
}

DpTable *
dp_table_new (const DpTableOptions *options)
{
  DpTable *table = g_new0 (DpTable, 1);
  g_atomic_ref_count_init (&table->refs);
  table->options = *options;
  table->slots = g_array_new (FALSE, TRUE, sizeof (Slot));
  table->free_indices = g_array_new (FALSE, FALSE, sizeof (guint32));
  return table;
}

DpTable *
dp_table_ref (DpTable *table)
{
  g_atomic_ref_count_inc (&table->refs);
  return table;
}

void
dp_table_unref (DpTable *table)
{
  if (table == NULL || !g_atomic_ref_count_dec (&table->refs))
    return;
  for (guint i = 0; i < table->slots->len; i++)
    {
      Slot *slot = &g_array_index (table->slots, Slot, i);
      if (slot->row != NULL)
        release_row (table, slot);
    }
  g_array_unref (table->slots);
  g_array_unref (table->free_indices);
  g_free (table);
}

DpHandle
dp_table_add (DpTable *table, void **row)
{
  guint32 index;
  if (table->free_indices->len > 0)
    {
      index = g_array_index (table->free_indices, guint32, table->free_indices->len - 1);
      g_array_set_size (table->free_indices, table->free_indices->len - 1);
    }
  else
    {
      index = table->slots->len;
      g_array_set_size (table->slots, index + 1);
    }
  Slot *slot = &g_array_index (table->slots, Slot, index);
  slot->generation += 1;
  slot->row = g_malloc0 (table->options.row_size);
  table->count += 1;
  if (row != NULL)
    *row = slot->row;
  return make_handle (index, slot->generation);
}

void *
dp_table_get (DpTable *table, DpHandle handle)
{
  Slot *slot = find_slot (table, handle);
  return slot != NULL ? slot->row : NULL;
}

void
dp_table_remove (DpTable *table, DpHandle handle)
{
  Slot *slot = find_slot (table, handle);
  if (slot == NULL)
    return;
  release_row (table, slot);
  slot->generation += 1;
  guint32 index = (guint32)handle;
  g_array_append_val (table->free_indices, index);
  table->count -= 1;
}

guint
dp_table_count (DpTable *table)
{
  return table->count;
}

DpHandle
dp_table_next (DpTable *table, DpHandle previous)
{
  guint32 index = previous == 0 ? 0 : (guint32)previous + 1;
  for (; index < table->slots->len; index++)
    {
      Slot *slot = &g_array_index (table->slots, Slot, index);
      if (slot->row != NULL)
        return make_handle (index, slot->generation);
    }
  return 0;
}
