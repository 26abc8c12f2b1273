/* Binary deltas between two manifest texts.
 *
 * A change is usually one row of a text of about 1 MB. With 11,000 changes a day, sending whole
 * texts would cost more than 100 KB/s per VM.
 *
 * A delta is a msgpack array of operations: [offset, length] copies a range of the old text, a
 * binary value is literal data. A delta doesn't identify the two texts: callers send their
 * revisions and digests and must check the digest of the result.
 */
#pragma once

#include <glib.h>

typedef enum DpDeltaError
{
  DP_DELTA_ERROR_MALFORMED, /* not a delta, or not for this old text */
  DP_DELTA_ERROR_TOO_LARGE, /* the new text exceeds the limit */
} DpDeltaError;

#define DP_DELTA_ERROR dp_delta_error_quark ()
GQuark dp_delta_error_quark (void);

/* Returns the delta that turns `old_text` into `new_text`. */
GBytes *dp_delta_make (GBytes *old_text, GBytes *new_text);

/* Returns the new text, or NULL with `error` set if `delta` is malformed or the new text would
 * exceed `size_max` bytes. */
GBytes *dp_delta_apply (
  GBytes *old_text, const void *delta, gsize length, gsize size_max, GError **error);
