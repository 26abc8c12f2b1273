/* Differences between two lists of rows, and their encoding in parts of limited size. */
#pragma once

#include "core/row_sync/rows.h"

/* Rows of a list, all versions of a state. Larger lists are refused. */
#define DP_ROW_LIST_ROWS_MAX (512 * 1024)
/* Bytes of the texts of a list. */
#define DP_ROW_LIST_BYTES_MAX ((gsize)4 * 1024 * 1024)

typedef enum DpRowDeltaError
{
  DP_ROW_DELTA_ERROR_MALFORMED, /* not an encoded part, or not for this base */
  DP_ROW_DELTA_ERROR_TOO_LARGE, /* more rows or bytes than allowed */
} DpRowDeltaError;

#define DP_ROW_DELTA_ERROR (dp_row_delta_error_quark ())
GQuark dp_row_delta_error_quark (void);

typedef struct DpRowDelta DpRowDelta;

/* The steps that make `list` of `base`, which may be NULL. Holds references to both. */
DpRowDelta *dp_row_delta_new (DpRowList *base, DpRowList *list);
void dp_row_delta_free (DpRowDelta *delta);
gboolean
dp_row_delta_is_of (const DpRowDelta *delta, const DpRowList *base, const DpRowList *list);

/* Encodes the steps for the rows of the list from index `first` on: those that fit into
 * `bytes_max`, but one row at least if there is any. */
GBytes *dp_row_delta_encode (const DpRowDelta *delta, guint first, gsize bytes_max);

/* Appends the rows that the steps make to `rows`, which may have some already. `base` NULL: the
 * steps may not refer to one. On failure returns FALSE with a DpRowDeltaError; `rows` then has
 * some of them. */
gboolean
dp_row_delta_decode (const DpRowList *base, GBytes *steps, GPtrArray *rows, GError **error);
