/* Lists of rows: state that all VMs follow, such as the config, as rows of opaque text.
 *
 * Rows and lists are immutable and reference-counted. The versions of a state share the rows
 * that a change leaves as they are, so that a new version costs what it changes and one pointer
 * a row.
 */
#pragma once

#include <glib.h>

/* A list has up to this many sections, for example one for routes and one for workspaces. Its
 * rows are in the order of their sections. */
#define DP_ROW_SECTIONS 4

typedef struct DpRow
{
  gatomicrefcount refs;
  guint section;
  guint64 hash; /* of section and text */
  /* What the owner of the list has read from the text, and keeps with it; NULL: nothing yet. */
  gpointer value;
  GDestroyNotify free_value;
  gsize length; /* bytes of the text */
  char text[];  /* not terminated */
} DpRow;

/* Copies the text. `section` must be below DP_ROW_SECTIONS. */
DpRow *dp_row_new (guint section, const char *text, gsize length);
DpRow *dp_row_ref (DpRow *row);
void dp_row_unref (DpRow *row);
/* Sets the value read from the text, which had none. */
void dp_row_set_value (DpRow *row, gpointer value, GDestroyNotify free_value);
gboolean dp_row_equal (const DpRow *a, const DpRow *b);

typedef struct DpRowList
{
  gatomicrefcount refs;
  GPtrArray *rows; /* DpRow */
  guint64 digest;  /* of all rows in their order; never 0 */
  guint64 section_digests[DP_ROW_SECTIONS];
  guint section_ends[DP_ROW_SECTIONS]; /* index after the last row of the section */
  gsize bytes;                         /* of all texts */
} DpRowList;

/* Creates an array that holds references to rows. */
GPtrArray *dp_row_array_new (guint size);

/* Takes over the array, whose rows must be in the order of their sections. */
DpRowList *dp_row_list_new (GPtrArray *rows);
DpRowList *dp_row_list_ref (DpRowList *list);
void dp_row_list_unref (DpRowList *list);

#define DP_ROW_LIST_ROW(list, index) ((DpRow *)g_ptr_array_index ((list)->rows, index))

/* Index after the last row of the section, and of its first one. */
guint dp_row_list_begin (const DpRowList *list, guint section);
guint dp_row_list_end (const DpRowList *list, guint section);
gboolean dp_row_list_same_section (const DpRowList *a, const DpRowList *b, guint section);

/* Rows by their text, to use a row again for an equal text. */
typedef struct DpRowPool DpRowPool;

/* A pool of the rows of the list, which may be NULL. */
DpRowPool *dp_row_pool_new (const DpRowList *list);
void dp_row_pool_free (DpRowPool *pool);
/* Returns a reference to the row of that text, which is new if the pool had none. */
DpRow *dp_row_pool_get (DpRowPool *pool, guint section, const char *text, gsize length);
