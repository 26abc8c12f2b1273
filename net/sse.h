/* Splits a byte stream into server-sent events (WHATWG HTML, section 9.2).
 *
 * Only complete events are emitted: all bytes up to and including the blank line that ends the
 * event. Lines end with LF or CR LF.
 */
#pragma once

#include <glib.h>

typedef struct DpSse DpSse;

/* `event` is valid only during the call and is not NUL-terminated. Returns FALSE to stop. */
typedef gboolean (*DpSseEventFunc) (gpointer user, const char *event, gsize length);

/* `event_max`: maximum size of one event in bytes. */
DpSse *dp_sse_new (gsize event_max);
void dp_sse_free (DpSse *sse);

/* Appends bytes to the stream and calls `callback` for each event that they complete. Returns
 * FALSE if an event is too large or the callback stopped; don't push to this object again. */
gboolean dp_sse_push (
  DpSse *sse, const void *data, gsize length, DpSseEventFunc callback, gpointer user);

/* TRUE if no incomplete event is buffered. */
gboolean dp_sse_is_empty (const DpSse *sse);
/* Bytes of the incomplete event. */
gsize dp_sse_length (const DpSse *sse);

/* Sets `id` to the event's id. Returns FALSE if the event has none, or more than one, if its id
 * is no decimal number, or if a line is not a field. Names of fields are in lower case here,
 * which tells them from text and from HTTP headers. */
gboolean dp_sse_read_id (const char *event, gsize length, guint64 *id);

/* Returns the value of the event's first "data" line, or NULL if there is none. It points into
 * `event` and is not NUL-terminated. */
const char *dp_sse_data (const char *event, gsize length, gsize *data_length);
