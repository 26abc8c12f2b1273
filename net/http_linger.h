/* Closes connections without losing the response. The kernel resets a connection that is closed
 * with unread bytes, and the caller may lose a response that it has not read. A second
 * descriptor keeps such a connection open, and what arrives is discarded until the caller
 * closes it, within bounds.
 */
#pragma once

#include <event2/event.h>
#include <glib.h>

typedef struct DpHttpLinger DpHttpLinger;

DpHttpLinger *dp_http_linger_new (struct event_base *base);
void dp_http_linger_free (DpHttpLinger *linger);
/* `fd` is shut down and closed by its owner, which handles no more input from it. */
void dp_http_linger_add (DpHttpLinger *linger, int fd);
/* Number of connections that are kept open. */
guint dp_http_linger_count (const DpHttpLinger *linger);
