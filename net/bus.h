/* Message bus between the system's own processes, over ZeroMQ.
 *
 * Each process binds one ROUTER socket, which only receives, and opens one DEALER socket per
 * peer that it sends to. A DEALER is opened with the first message and closed when it has been
 * idle or its peer's VM leaves the view, so only links in use carry heartbeats.
 *
 * Sending never blocks and never returns an error: a message that can't be sent within one
 * second is dropped and counted. The protocols above the bus resend where needed.
 *
 * The bus holds references to the view and the counters. The caller owns the event base, which
 * must outlive the bus.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "net/bus_auth.h"
#include "net/work_meter.h"

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

/* Called for each received message; `message` is valid during the call only. */
typedef void (*DpBusReceiveFunc) (gpointer user, DpPeer from, const DpMessage *message);

typedef struct DpBusOptions
{
  struct event_base *base;
  DpPeer self;
  const char *address;          /* IP address to bind; also used for peers on this VM */
  guint16 ports[DP_ROLE_COUNT]; /* indexed by DpRole; the same on all VMs */
  DpCounters *counters;         /* a reference is taken */
  DpWorkMeter *meter;           /* gets the time that messages take; must outlive the bus */
  const DpBusKeys *keys;        /* NULL: no CURVE */
  DpUsec pending_timeout;       /* for messages that wait for a connection; 0: one second */
  DpBusReceiveFunc receive;
  gpointer user;
} DpBusOptions;

typedef struct DpBus DpBus;

/* Creates a bus and binds its receiving socket. Returns NULL with a DpBusError on failure. */
DpBus *dp_bus_new (const DpBusOptions *options, GError **error);

/* Closes all sockets and drops unsent messages. */
void dp_bus_free (DpBus *bus);

/* Takes peers' addresses from `view` from now on, and closes the links to peers whose address
 * has changed or that are dead or not in it. Takes a reference. */
void dp_bus_set_view (DpBus *bus, DpView *view);

/* Queues a copy of `message` for `to`; the caller keeps ownership. */
void dp_bus_send (DpBus *bus, DpPeer to, const DpMessage *message);
