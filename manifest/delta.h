/* Differences between two texts of a manifest.
 *
 * At 11,000 changes a day of a text near a megabyte, sending whole texts to every VM would take
 * more than a hundred kilobytes a second and VM; a change is mostly one row.
 *
 * A delta is msgpack: an array of pieces, each either [offset, length] of the old text or the
 * bytes themselves. It says nothing of which text it starts from: callers name both by revision
 * and digest, and check the digest of what comes out.
 */
#pragma once

#include <glib.h>

typedef enum DpDeltaError
{
  DP_DELTA_ERROR_MALFORMED, /* not a delta, or not one for that old text */
  DP_DELTA_ERROR_TOO_LARGE, /* the new text would be over the limit */
} DpDeltaError;

#define DP_DELTA_ERROR dp_delta_error_quark ()
GQuark dp_delta_error_quark (void);

/* The delta that makes `new_text` from `old_text`. */
GBytes *dp_delta_make (GBytes *old_text, GBytes *new_text);

/* The new text, of at most `size_max` bytes; NULL with `error` set if it can't be made. */
GBytes *dp_delta_apply (
  GBytes *old_text, const void *delta, gsize length, gsize size_max, GError **error);
