/* A table of fixed-size rows, addressed by handles that go stale when the row is removed.
 *
 * The table owns its rows. A handle may be kept anywhere and for any time: dp_table_get()
 * answers NULL once the row is gone, also when its place has been taken by another row.
 * A row's address is stable until that row is removed.
 */
#pragma once

#include <glib.h>

/* Row index in the low half, generation in the high half; 0 is never a valid handle. */
typedef guint64 DpHandle;

typedef struct DpTable DpTable;

typedef struct DpTableOptions
{
  gsize row_size;                /* bytes */
  void (*clear_row) (void *row); /* releases what a row owns; may be NULL */
} DpTableOptions;

DpTable *dp_table_new (const DpTableOptions *options);
DpTable *dp_table_ref (DpTable *table);
void dp_table_unref (DpTable *table);

/* Adds a zeroed row. `row`, if not NULL, receives its address. */
DpHandle dp_table_add (DpTable *table, void **row);

/* The row of `handle`, or NULL if it has been removed. */
void *dp_table_get (DpTable *table, DpHandle handle);

/* Clears and removes the row; does nothing for a stale handle. */
void dp_table_remove (DpTable *table, DpHandle handle);

guint dp_table_count (DpTable *table);

/* Iterates in index order: start with 0, stop when 0 comes back. Rows may be removed meanwhile.
 */
DpHandle dp_table_next (DpTable *table, DpHandle previous);
