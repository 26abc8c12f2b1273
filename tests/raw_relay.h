/* TCP relay that can stall its open connections while new ones work. */
#pragma once

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

typedef struct RawRelay
{
  struct event_base *base;
  struct evconnlistener *listener;
  const char *upstream_address;
  guint16 port;            /* of both listener and upstream */
  GPtrArray *bufferevents; /* two per connection: client and upstream */
  guint accepted;
} RawRelay;

/* Starts to listen at `address` and `relay->port`. The caller sets `base`, `upstream_address`
 * and `port` first. */
void raw_relay_start (RawRelay *relay, const char *address);
void raw_relay_clear (RawRelay *relay);

/* Stops forwarding on the connections that are open now, without closing them. */
void raw_relay_stall (RawRelay *relay);
