#include "net/bus.h"

#include "net/codec.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

/* Messages of one link waiting within libzmq. */
#define HWM_MESSAGES 500
/* Connections waiting to be accepted: all peers may come at once. */
#define BACKLOG_CONNECTIONS 1024
#define HEARTBEAT_INTERVAL_MSEC 1000
#define HEARTBEAT_TIMEOUT_MSEC 3000
#define CONNECT_TIMEOUT_MSEC 1000
/* Without backoff, so that a peer that has restarted gets what waits for it; only links with
 * messages are tried, see LINK_IDLE_MAX. */
#define RECONNECT_MSEC 100
/* Unacknowledged data on a connection before TCP gives it up. */
#define TCP_TIMEOUT_MSEC 3000
/* Messages that wait here until their link is up. */
#define PENDING_MESSAGES_MAX 512
#define PENDING_BYTES_MAX ((gsize)4 * 1024 * 1024)
#define PENDING_AGE_MAX DP_USEC_PER_SEC
/* A link without messages for so long is closed. */
#define LINK_IDLE_MAX (10 * DP_USEC_PER_SEC)
/* Messages handled before other events get their turn. */
#define RECEIVE_BATCH 256

#define IDENTITY_BYTES 10

typedef struct Pending
{
  GByteArray *frame;
  DpUsec since;
} Pending;

/* One DEALER socket. */
typedef struct Link
{
  DpBus *bus;
  DpPeer peer;
  char address[46];
  void *socket;
  struct event *event;
  GQueue pending; /* Pending */
  gsize pending_bytes;
  DpUsec used;
} Link;

struct DpBus
{
  /* constant */
  struct event_base *base;
  DpPeer self;
  char *address;
  guint16 ports[DP_ROLE_COUNT];
  DpCounters *counters;
  DpBusReceive receive;
  gpointer user;
  gboolean has_keys;
  DpBusKeys keys; /* texts owned by the bus */
  /* for the life of the bus */
  DpBusAuth *auth; /* NULL without keys */
  void *context;
  void *router;
  struct event *router_event;
  struct event *tick;
  GHashTable *links; /* DpPeer -> Link */
  /* changes with each view */
  DpView *view;
};

G_DEFINE_QUARK (dp - bus - error, dp_bus_error)

static void
count_dropped (DpBus *bus, const char *reason)
{
  dp_counters_add (bus->counters, "dogwoodplank_bus_dropped_total", "reason", reason, 1);
}

static void
count_message (DpBus *bus, const char *direction, gsize bytes)
{
  dp_counters_add (bus->counters, "dogwoodplank_bus_messages_total", "direction", direction, 1);
  dp_counters_add (bus->counters, "dogwoodplank_bus_bytes_total", "direction", direction,
                   bytes);
}

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static int
socket_fd (void *socket)
{
  int fd = -1;
  size_t size = sizeof fd;
  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  return fd;
}

/* What the socket is ready for. libzmq updates it, and the descriptor, only when asked. */
static int
socket_events (void *socket)
{
  int events = 0;
  size_t size = sizeof events;
  zmq_getsockopt (socket, ZMQ_EVENTS, &events, &size);
  return events;
}

static void
set_common_options (void *socket)
{
  set_int (socket, ZMQ_LINGER, 0);
  set_int (socket, ZMQ_SNDHWM, HWM_MESSAGES);
  set_int (socket, ZMQ_RCVHWM, HWM_MESSAGES);
  set_int (socket, ZMQ_IPV6, 1);
  set_int (socket, ZMQ_TCP_MAXRT, TCP_TIMEOUT_MSEC);
  gint64 frame_max = DP_CODEC_FRAME_BYTES_MAX;
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &frame_max, sizeof frame_max);
}

/* Only the sending side sends heartbeats; they tell the other side how long to wait for the
 * next. libzmq 4.3.4 aborts if a receiving socket's own heartbeat is due while its queue is
 * full and the peer has closed the connection. */
static void
set_heartbeats (void *dealer)
{
  set_int (dealer, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MSEC);
  set_int (dealer, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MSEC);
  set_int (dealer, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MSEC);
}

static void
make_endpoint (char *out, gsize size, const char *address, guint16 port)
{
  gboolean is_ipv6 = strchr (address, ':') != NULL;
  g_snprintf (out, size, is_ipv6 ? "tcp://[%s]:%u" : "tcp://%s:%u", address, port);
}

/* Routing id of a process. The leading letter keeps it apart from libzmq's own ids, which start
 * with a zero byte. */
static void
make_identity (DpPeer peer, guint8 out[IDENTITY_BYTES])
{
  guint64 vm = GUINT64_TO_BE (peer.vm);
  out[0] = 'P';
  memcpy (&out[1], &vm, sizeof vm);
  out[IDENTITY_BYTES - 1] = (guint8)peer.role;
}

/* --- sending --- */

static void
free_pending (gpointer data)
{
  Pending *pending = data;
  g_byte_array_unref (pending->frame);
  g_free (pending);
}

static void
free_link (gpointer data)
{
  Link *link = data;
  g_queue_clear_full (&link->pending, free_pending);
  event_free (link->event);
  zmq_close (link->socket);
  g_free (link);
}

static void
drop_first_pending (Link *link)
{
  Pending *pending = g_queue_pop_head (&link->pending);
  link->pending_bytes -= pending->frame->len;
  free_pending (pending);
}

/* Hands over what the socket takes; the rest stays. */
static void
flush_link (Link *link)
{
  while (!g_queue_is_empty (&link->pending))
    {
      const Pending *pending = g_queue_peek_head (&link->pending);
      const GByteArray *frame = pending->frame;
      if (zmq_send (link->socket, frame->data, frame->len, ZMQ_DONTWAIT) < 0)
        break;
      count_message (link->bus, "sent", frame->len);
      drop_first_pending (link);
    }
  socket_events (link->socket);
}

static void
on_link_event (evutil_socket_t fd, short what, void *user)
{
  Link *link = user;
  if ((socket_events (link->socket) & ZMQ_POLLOUT) != 0)
    flush_link (link);
}

static void
expire_pending (Link *link, DpUsec now)
{
  const Pending *pending;
  while ((pending = g_queue_peek_head (&link->pending)) != NULL)
    {
      if (now - pending->since < PENDING_AGE_MAX)
        break;
      count_dropped (link->bus, "unreachable");
      drop_first_pending (link);
    }
}

static Link *
make_link (DpBus *bus, DpPeer peer, const char *address)
{
  void *socket = zmq_socket (bus->context, ZMQ_DEALER);
  if (socket == NULL)
    return NULL;
  set_common_options (socket);
  set_heartbeats (socket);
  set_int (socket, ZMQ_IMMEDIATE, 1);
  set_int (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MSEC);
  set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MSEC);
  if (bus->has_keys)
    dp_bus_keys_set_client (&bus->keys, socket);
  guint8 identity[IDENTITY_BYTES];
  make_identity (bus->self, identity);
  zmq_setsockopt (socket, ZMQ_ROUTING_ID, identity, sizeof identity);
  char endpoint[80];
  make_endpoint (endpoint, sizeof endpoint, address, bus->ports[peer.role]);
  if (zmq_connect (socket, endpoint) < 0)
    {
      zmq_close (socket);
      return NULL;
    }
  Link *link = g_new0 (Link, 1);
  link->bus = bus;
  link->peer = peer;
  g_strlcpy (link->address, address, sizeof link->address);
  link->socket = socket;
  g_queue_init (&link->pending);
  link->event
    = event_new (bus->base, socket_fd (socket), EV_READ | EV_PERSIST, on_link_event, link);
  event_add (link->event, NULL);
  g_hash_table_insert (bus->links, &link->peer, link);
  return link;
}

/* IP number of the VM, or NULL if it is not known or dead. */
static const char *
vm_address (const DpBus *bus, DpName vm)
{
  const DpVm *row = bus->view != NULL ? dp_view_find (bus->view, vm) : NULL;
  if (vm == bus->self.vm)
    return bus->address;
  if (row == NULL || row->state == DP_VM_DEAD)
    return NULL;
  return row->address;
}

static Link *
obtain_link (DpBus *bus, DpPeer peer)
{
  if (peer.role >= DP_ROLE_COUNT)
    return NULL;
  Link *link = g_hash_table_lookup (bus->links, &peer);
  if (link != NULL)
    return link;
  const char *address = vm_address (bus, peer.vm);
  return address != NULL ? make_link (bus, peer, address) : NULL;
}

/* --- receiving --- */

static const char *
bad_frame_reason (const GError *error)
{
  switch ((DpCodecError)error->code)
    {
    case DP_CODEC_ERROR_VERSION:
      return "version";
    case DP_CODEC_ERROR_TYPE:
      return "type";
    case DP_CODEC_ERROR_VALUE:
      return "value";
    case DP_CODEC_ERROR_TOO_LARGE:
      return "too_large";
    case DP_CODEC_ERROR_MALFORMED:
      break;
    }
  return "malformed";
}

static void
count_bad_frame (DpBus *bus, const char *reason)
{
  dp_counters_add (bus->counters, "dogwoodplank_bus_bad_frames_total", "reason", reason, 1);
}

static void
handle_frame (DpBus *bus, zmq_msg_t *identity, zmq_msg_t *frame)
{
  DpPeer from;
  DpMessage message;
  GError *error = NULL;
  gsize length = zmq_msg_size (frame);
  if (!dp_codec_decode (zmq_msg_data (frame), length, &from, &message, &error))
    {
      count_bad_frame (bus, bad_frame_reason (error));
      g_error_free (error);
      return;
    }
  guint8 expected[IDENTITY_BYTES];
  make_identity (from, expected);
  if (zmq_msg_size (identity) == sizeof expected
      && memcmp (zmq_msg_data (identity), expected, sizeof expected) == 0)
    {
      count_message (bus, "received", length);
      bus->receive (bus->user, from, &message);
    }
  else
    count_bad_frame (bus, "sender");
  dp_message_clear (&message);
}

/* Receives one message of [identity, frame]; other shapes are dropped. FALSE: none waits. */
static gboolean
receive_one (DpBus *bus)
{
  zmq_msg_t identity;
  zmq_msg_t frame;
  zmq_msg_init (&identity);
  zmq_msg_init (&frame);
  gboolean received = zmq_msg_recv (&identity, bus->router, ZMQ_DONTWAIT) >= 0;
  guint parts = received ? 1 : 0;
  while (received && zmq_msg_more (parts == 1 ? &identity : &frame))
    {
      if (zmq_msg_recv (&frame, bus->router, ZMQ_DONTWAIT) < 0)
        break;
      parts++;
    }
  if (parts == 2)
    handle_frame (bus, &identity, &frame);
  else if (parts > 0)
    count_bad_frame (bus, "parts");
  zmq_msg_close (&frame);
  zmq_msg_close (&identity);
  return received;
}

static void
on_router_event (evutil_socket_t fd, short what, void *user)
{
  DpBus *bus = user;
  /* The descriptor is edge-triggered: it tells nothing about messages that were there before.
   */
  for (guint i = 0; i < RECEIVE_BATCH; i++)
    if (!receive_one (bus))
      return;
  event_active (bus->router_event, EV_READ, 0);
}

/* --- upkeep --- */

static DpUsec
monotonic_now (void)
{
  return g_get_monotonic_time ();
}

static void
on_tick (evutil_socket_t fd, short what, void *user)
{
  DpBus *bus = user;
  DpUsec now = monotonic_now ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, bus->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Link *link = value;
      flush_link (link);
      expire_pending (link, now);
      if (now - link->used > LINK_IDLE_MAX)
        g_hash_table_iter_remove (&iter);
    }
  if ((socket_events (bus->router) & ZMQ_POLLIN) != 0)
    event_active (bus->router_event, EV_READ, 0);
}

static gboolean
link_is_stale (gpointer key, gpointer value, gpointer user)
{
  const Link *link = value;
  const char *address = vm_address (user, link->peer.vm);
  return address == NULL || strcmp (address, link->address) != 0;
}

static guint
peer_hash (gconstpointer data)
{
  const DpPeer *peer = data;
  return (guint)(peer->vm ^ peer->vm >> 32) + (guint)peer->role;
}

static gboolean
peer_equal (gconstpointer a, gconstpointer b)
{
  const DpPeer *left = a;
  const DpPeer *right = b;
  return left->vm == right->vm && left->role == right->role;
}

static gboolean
bind_router (DpBus *bus, GError **error)
{
  bus->router = zmq_socket (bus->context, ZMQ_ROUTER);
  if (bus->router == NULL)
    {
      g_set_error (error, DP_BUS_ERROR, DP_BUS_ERROR_SOCKET, "%s", zmq_strerror (errno));
      return FALSE;
    }
  set_common_options (bus->router);
  set_int (bus->router, ZMQ_BACKLOG, BACKLOG_CONNECTIONS);
  /* A restarted peer takes its identity over from its old connection, which may hang. */
  set_int (bus->router, ZMQ_ROUTER_HANDOVER, 1);
  if (bus->has_keys)
    bus->auth
      = dp_bus_auth_new (bus->base, bus->context, bus->router, &bus->keys, bus->counters);
  char endpoint[80];
  make_endpoint (endpoint, sizeof endpoint, bus->address, bus->ports[bus->self.role]);
  if (zmq_bind (bus->router, endpoint) == 0)
    return TRUE;
  g_set_error (error, DP_BUS_ERROR, DP_BUS_ERROR_BIND, "%s: %s", endpoint,
               zmq_strerror (errno));
  return FALSE;
}

static void
add_events (DpBus *bus)
{
  bus->router_event = event_new (bus->base, socket_fd (bus->router), EV_READ | EV_PERSIST,
                                 on_router_event, bus);
  event_add (bus->router_event, NULL);
  event_active (bus->router_event, EV_READ, 0);
  bus->tick = event_new (bus->base, -1, EV_PERSIST, on_tick, bus);
  const struct timeval second = { .tv_sec = 1 };
  event_add (bus->tick, &second);
}

static void
copy_keys (DpBus *bus, const DpBusKeys *keys)
{
  bus->has_keys = TRUE;
  bus->keys.public_key = g_strdup (keys->public_key);
  bus->keys.secret_key = g_strdup (keys->secret_key);
  bus->keys.allowed = g_strdup (keys->allowed);
}

static void
clear_keys (DpBusKeys *keys)
{
  g_free ((char *)keys->public_key);
  g_free ((char *)keys->secret_key);
  g_free ((char *)keys->allowed);
}

DpBus *
dp_bus_new (const DpBusOptions *options, GError **error)
{
  if (options->keys != NULL && !dp_bus_keys_check (options->keys))
    {
      g_set_error (error, DP_BUS_ERROR, DP_BUS_ERROR_KEYS, "the CURVE keys are malformed");
      return NULL;
    }
  DpBus *bus = g_new0 (DpBus, 1);
  bus->base = options->base;
  bus->self = options->self;
  bus->address = g_strdup (options->address);
  memcpy (bus->ports, options->ports, sizeof bus->ports);
  bus->counters = dp_counters_ref (options->counters);
  bus->receive = options->receive;
  bus->user = options->user;
  bus->links = g_hash_table_new_full (peer_hash, peer_equal, NULL, free_link);
  if (options->keys != NULL)
    copy_keys (bus, options->keys);
  bus->context = zmq_ctx_new ();
  if (!bind_router (bus, error))
    {
      dp_bus_free (bus);
      return NULL;
    }
  add_events (bus);
  return bus;
}

void
dp_bus_free (DpBus *bus)
{
  if (bus == NULL)
    return;
  g_hash_table_unref (bus->links);
  g_clear_pointer (&bus->router_event, event_free);
  g_clear_pointer (&bus->tick, event_free);
  dp_bus_auth_free (bus->auth);
  if (bus->router != NULL)
    zmq_close (bus->router);
  zmq_ctx_term (bus->context);
  dp_view_unref (bus->view);
  dp_counters_unref (bus->counters);
  clear_keys (&bus->keys);
  g_free (bus->address);
  g_free (bus);
}

void
dp_bus_set_view (DpBus *bus, DpView *view)
{
  DpView *old = bus->view;
  bus->view = dp_view_ref (view);
  dp_view_unref (old);
  g_hash_table_foreach_remove (bus->links, link_is_stale, bus);
}

void
dp_bus_send (DpBus *bus, DpPeer to, const DpMessage *message)
{
  Link *link = obtain_link (bus, to);
  if (link == NULL)
    {
      count_dropped (bus, "no_peer");
      return;
    }
  GByteArray *frame = dp_codec_encode (bus->self, message);
  link->used = monotonic_now ();
  if (g_queue_get_length (&link->pending) >= PENDING_MESSAGES_MAX
      || link->pending_bytes + frame->len > PENDING_BYTES_MAX)
    {
      count_dropped (bus, "queue_full");
      g_byte_array_unref (frame);
      return;
    }
  Pending *pending = g_new (Pending, 1);
  *pending = (Pending){ .frame = frame, .since = link->used };
  g_queue_push_tail (&link->pending, pending);
  link->pending_bytes += frame->len;
  flush_link (link);
}
