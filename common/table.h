/* A table of fixed-size rows addressed by handles with a generation count.
 *
 * The table owns its rows. Handles may be kept indefinitely. A handle becomes stale when its
 * row is removed: dp_table_get() then returns NULL, even if another row reuses the slot. The
 * address of a row is stable until the row is removed.
 */
#pragma once

#include <glib.h>

/* Slot index in the low 32 bits, generation in the high 32 bits; 0 is never a valid handle. */
typedef guint64 DpHandle;

typedef struct DpTable DpTable;

typedef struct DpTableOptions
{
  gsize row_size;                /* bytes */
  void (*clear_row) (void *row); /* frees what the row owns; may be NULL */
} DpTableOptions;

DpTable *dp_table_new (const DpTableOptions *options);
DpTable *dp_table_ref (DpTable *table);
void dp_table_unref (DpTable *table);

/* Adds a zero-initialized row. `row`, if not NULL, receives its address. */
DpHandle dp_table_add (DpTable *table, void **row);

/* Returns the row, or NULL if the handle is stale. */
void *dp_table_get (DpTable *table, DpHandle handle);

/* Frees the row; does nothing if the handle is stale. */
void dp_table_remove (DpTable *table, DpHandle handle);

guint dp_table_count (DpTable *table);

/* Iterates in index order: pass 0 to start; returns 0 at the end. Rows may be removed during
 * the iteration. */
DpHandle dp_table_next (DpTable *table, DpHandle previous);
