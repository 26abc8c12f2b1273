/* Splits a byte stream into server-sent events (WHATWG HTML, section 9.2).
 *
 * Only whole events come out: the bytes up to and with the blank line that ends an event. Lines
 * end with LF or CR LF.
 */
#pragma once

#include <glib.h>

typedef struct DpSse DpSse;

/* `event` is valid during the call only. */
typedef void (*DpSseEvent) (gpointer user, const char *event, gsize length);

/* `event_max`: bytes of one event. */
DpSse *dp_sse_new (gsize event_max);
void dp_sse_free (DpSse *sse);

/* Feeds bytes; calls `callback` for each event that they complete. FALSE: an event is larger
 * than allowed; the stream is of no use any more. */
gboolean
dp_sse_push (DpSse *sse, const void *data, gsize length, DpSseEvent callback, gpointer user);

/* TRUE if no part of an event is held back. */
gboolean dp_sse_is_empty (const DpSse *sse);

/* The value of the event's first "data" line: a place within `event`, not NUL-terminated. NULL
 * if there is none. */
const char *dp_sse_data (const char *event, gsize length, gsize *data_length);
