/* Accepted connections of one evhttp listener: how many there may be, and for how long one may
 * keep the server waiting for a request.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>

typedef struct DpHttpConnections DpHttpConnections;

typedef struct DpHttpConnectionsOptions
{
  struct event_base *base;
  struct evhttp *http;    /* takes its bufferevents from here on */
  const char *name;       /* label of the gauge; must outlive the object */
  guint max;              /* open at once; further ones wait to be accepted */
  DpUsec request_timeout; /* for a request as a whole, from the end of the one before */
  DpCounters *counters;   /* must outlive the object */
} DpHttpConnectionsOptions;

DpHttpConnections *dp_http_connections_new (const DpHttpConnectionsOptions *options);

/* Call after the evhttp has been freed. */
void dp_http_connections_free (DpHttpConnections *connections);

/* The listener that is stopped while there are too many; NULL once it is closed. */
void dp_http_connections_set_listener (DpHttpConnections *connections,
                                       struct evconnlistener *listener);

/* Tells that a request is being answered, or that the answer has gone out. */
void dp_http_connections_set_busy (DpHttpConnections *connections,
                                   struct evhttp_connection *connection,
                                   gboolean busy);

void dp_http_connections_set_request_timeout (DpHttpConnections *connections, DpUsec timeout);

/* Closes the connections on which no request is being answered. */
void dp_http_connections_close_idle (DpHttpConnections *connections);
