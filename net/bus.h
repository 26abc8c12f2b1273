/* Messages between the system's own processes, over ZeroMQ.
 *
 * Each process binds one ROUTER socket, on which it only receives, and has one DEALER socket
 * for each peer that it sends to. A DEALER is made with the first message and closed when it
 * has been idle or when the peer's VM leaves the view, so heartbeats run on links in use only.
 *
 * Sending never blocks and never fails: a message that can't be sent within a second is dropped
 * and counted. The protocols above repeat what matters.
 *
 * The bus holds a reference to the view and the counters; the caller owns the event base, which
 * must outlive the bus.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "net/bus_auth.h"

#include <event2/event.h>
#include <glib.h>

#define DP_BUS_ERROR (dp_bus_error_quark ())

typedef enum DpBusError
{
  DP_BUS_ERROR_BIND,
  DP_BUS_ERROR_SOCKET,
  DP_BUS_ERROR_KEYS,
} DpBusError;

GQuark dp_bus_error_quark (void);

/* `message` is valid during the call only. */
typedef void (*DpBusReceive) (gpointer user, DpPeer from, const DpMessage *message);

typedef struct DpBusOptions
{
  struct event_base *base;
  DpPeer self;
  const char *address;          /* IP number to bind; also used for peers on this VM */
  guint16 ports[DP_ROLE_COUNT]; /* by role, the same on all VMs */
  DpCounters *counters;         /* a reference is taken */
  const DpBusKeys *keys;        /* NULL: without CURVE */
  DpBusReceive receive;
  gpointer user;
} DpBusOptions;

typedef struct DpBus DpBus;

/* Binds the receiving socket. Returns NULL with DP_BUS_ERROR_... */
DpBus *dp_bus_new (const DpBusOptions *options, GError **error);

/* Closes all sockets; what is not sent yet is dropped. */
void dp_bus_free (DpBus *bus);

/* Peers are reached at the addresses of this view from now on. */
void dp_bus_set_view (DpBus *bus, DpView *view);

/* Sends a copy of `message`; the caller keeps its own. */
void dp_bus_send (DpBus *bus, DpPeer to, const DpMessage *message);
