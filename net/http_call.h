/* One outgoing HTTP/1.1 request on a connection of its own.
 *
 * The answer is streamed to callbacks. It counts as complete only when its framing says so: the
 * final chunk, or all bytes of Content-Length. An answer that only the closing of the
 * connection ends can't be told from a cut one and is incomplete.
 *
 * Callbacks never run during dp_http_call_start(). The call frees itself after `end`, or with
 * dp_http_call_cancel().
 */
#pragma once

#include "common/id.h"
#include "net/http_header.h"

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

typedef enum DpHttpEnd
{
  DP_HTTP_COMPLETE,
  DP_HTTP_CONNECT_FAILED, /* there was no connection */
  DP_HTTP_BROKEN,         /* closed too early, or not HTTP */
  DP_HTTP_INCOMPLETE,     /* ended by an orderly closing only */
  DP_HTTP_SILENT,         /* no progress within a time limit */
} DpHttpEnd;

typedef struct DpHttpCall DpHttpCall;

typedef struct DpHttpCallbacks
{
  /* Status line and headers are there; see dp_http_call_header(). */
  void (*head) (gpointer user, DpHttpCall *call, int status);
  void (*data) (gpointer user, const void *data, gsize length);
  /* Called once, last, unless the call was cancelled. `nothing_sent`: it is certain that no
   * byte of the request was handed to the peer. */
  void (*end) (gpointer user, DpHttpEnd end, gboolean nothing_sent);
} DpHttpCallbacks;

typedef struct DpHttpCallOptions
{
  struct event_base *base;
  const char *address; /* IP number */
  guint16 port;
  enum evhttp_cmd_type method;
  const char *path;
  const char *host; /* Host header; NULL: address and port */
  const DpHttpHeader *headers;
  guint header_count;
  const void *body; /* copied */
  gsize body_length;
  /* progress limits; 0: the default */
  DpUsec connect_timeout;
  DpUsec first_byte_timeout; /* from the request's first byte out to the body's first byte in */
  DpUsec idle_timeout;       /* between bytes */
  gsize answer_max;          /* bytes of the body; 0: the default */
  const DpHttpCallbacks *callbacks;
  gpointer user;
} DpHttpCallOptions;

/* Never NULL; a failure to start arrives as `end`. */
DpHttpCall *dp_http_call_start (const DpHttpCallOptions *options);

/* Closes the connection; no callback runs any more. */
void dp_http_call_cancel (DpHttpCall *call);

/* Value of the answer's header, or NULL; from `head` on. */
const char *dp_http_call_header (const DpHttpCall *call, const char *name);

/* Calls `function` for each header of the answer. */
void
dp_http_call_each_header (const DpHttpCall *call, DpHttpHeaderFunc function, gpointer user);
