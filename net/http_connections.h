/* Accepted connections of one evhttp listener. Limits their number and the time that each may
 * take to send a request.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"
#include "core/byte_budget.h"
#include "core/reason.h"
#include "net/http_cost.h"
#include "net/http_framing.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>

typedef struct DpHttpConnections DpHttpConnections;

/* A request that is rejected before it was received in full. */
typedef struct DpHttpRejection
{
  DpReason reason;
  DpHttpFault fault; /* what is wrong with an invalid request */
  DpHttpLimit limit; /* what is exceeded by one that is refused */
} DpHttpRejection;

/* Writes the response to it, head and body. */
typedef void (*DpHttpRejectFunc) (gpointer user,
                                  const DpHttpRejection *rejection,
                                  struct evbuffer *response);

/* What all connections of all listeners may hold, in bytes. NULL: no limit. Each must outlive
 * the connections. */
typedef struct DpHttpBudgets
{
  DpByteBudget *bodies; /* of requests that have no response yet */
  DpByteBudget *heads;  /* header fields, as they are stored; only of long heads */
  DpByteBudget *unread; /* responses that callers have not read */
} DpHttpBudgets;

typedef struct DpHttpConnectionsOptions
{
  struct event_base *base;
  struct evhttp *http; /* gets its bufferevents from this object */
  const char *name;    /* label of the gauge; must outlive the object */
  /* open at once; idle and slow ones make room, else others wait in the listen backlog */
  guint max;
  DpUsec idle_timeout;    /* until the first byte of a request */
  DpUsec read_timeout;    /* between reads of a request */
  DpUsec head_timeout;    /* from the first byte of a request to the end of its head; 0: none */
  DpUsec request_timeout; /* from the first byte of a request to its end */
  gsize head_max;         /* bytes of a request's head */
  gsize body_max;         /* bytes of a request's body */
  DpHttpBudgets budgets;
  DpHttpRejectFunc on_reject; /* the connection is closed behind its response */
  gpointer user;
  DpCounters *counters; /* must outlive the object */
} DpHttpConnectionsOptions;

DpHttpConnections *dp_http_connections_new (const DpHttpConnectionsOptions *options);

/* Call this only after the evhttp has been freed. */
void dp_http_connections_free (DpHttpConnections *connections);

/* Sets the listener that is disabled while the limit is reached; NULL once it is closed. */
void dp_http_connections_set_listener (DpHttpConnections *connections,
                                       struct evconnlistener *listener);

/* TRUE if a new connection would be accepted. */
gboolean dp_http_connections_have_room (const DpHttpConnections *connections);

/* `busy`: TRUE while a request is being processed, FALSE once its response was sent. */
void dp_http_connections_set_busy (DpHttpConnections *connections,
                                   struct evhttp_connection *connection,
                                   gboolean busy);

/* The request has its response, which may not have been sent yet. */
void dp_http_connections_end_request (DpHttpConnections *connections,
                                      struct evhttp_connection *connection);

/* Checks a request that evhttp has just received in full: returns what is wrong with it, or
 * DP_HTTP_FAULT_NONE and the number of its header fields, behind which trailers follow. */
DpHttpFault dp_http_connections_check_request (DpHttpConnections *connections,
                                               struct evhttp_connection *connection,
                                               guint *field_count);

/* Holds for connections that become idle from now on, and for idle ones if it is longer than
 * theirs. */
void dp_http_connections_set_idle_timeout (DpHttpConnections *connections, DpUsec timeout);

/* Holds for heads that begin from now on. */
void dp_http_connections_set_head_max (DpHttpConnections *connections, gsize head_max);

/* Holds for bodies that begin from now on. */
void dp_http_connections_set_body_max (DpHttpConnections *connections, gsize body_max);

/* Call this before there are connections, or with empty budgets after the last use. */
void dp_http_connections_set_budgets (DpHttpConnections *connections,
                                      const DpHttpBudgets *budgets);

/* Bounds what is read from a connection until the current request has its whole response; holds
 * until dp_http_connections_set_busy() with FALSE. */
void dp_http_connections_limit_input (DpHttpConnections *connections,
                                      struct evhttp_connection *connection);

/* The connection closes while a request is in progress, whose body is no longer needed. */
void dp_http_connections_release_body (DpHttpConnections *connections,
                                       struct evhttp_connection *connection);

/* Holds for requests that begin from now on. */
void dp_http_connections_set_head_timeout (DpHttpConnections *connections, DpUsec timeout);

/* Timeout between reads for evhttp, which has a single one for idle connections and for
 * requests. */
DpUsec dp_http_connections_read_timeout (const DpHttpConnections *connections);

/* Closes the connections on which no part of a request has arrived. */
void dp_http_connections_close_idle (DpHttpConnections *connections);

/* TRUE if at least a part of a request has arrived on a connection and there is no complete
 * response to it yet. */
gboolean dp_http_connections_have_requests (DpHttpConnections *connections);

/* TRUE if bytes have arrived on a connection without a request in progress and were not read.
 */
gboolean dp_http_connections_have_unread (DpHttpConnections *connections);

/* The connection is about to be closed after a response: if bytes are left, reads them before,
 * see net/http_linger.h. */
void dp_http_connections_linger (DpHttpConnections *connections,
                                 struct evhttp_connection *connection);
/* Number of closed connections of which bytes are still read. */
guint dp_http_connections_lingering (const DpHttpConnections *connections);
