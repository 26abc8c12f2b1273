#include "net/bus_auth.h"

#include <string.h>
#include <zmq.h>

#define KEY_BYTES 32
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_DOMAIN "dogwoodplank"
#define ZAP_VERSION "1.0"
#define MONITOR_ENDPOINT "inproc://bus.monitor"
/* Frames of a ZAP request (RFC 27). */
enum
{
  ZAP_FRAME_VERSION,
  ZAP_FRAME_ID,
  ZAP_FRAME_DOMAIN,
  ZAP_FRAME_ADDRESS,
  ZAP_FRAME_IDENTITY,
  ZAP_FRAME_MECHANISM,
  ZAP_FRAME_KEY,
  ZAP_FRAMES,
};
#define ZAP_FRAME_BYTES_MAX 256

typedef struct ZapRequest
{
  guint8 frames[ZAP_FRAMES][ZAP_FRAME_BYTES_MAX];
  gsize lengths[ZAP_FRAMES];
  guint count;
} ZapRequest;

struct DpBusAuth
{
  DpCounters *counters;
  GHashTable *allowed_keys; /* set of GBytes: raw public keys */
  void *router;
  void *zap; /* REP socket */
  struct event *zap_event;
  void *monitor; /* PAIR socket */
  struct event *monitor_event;
};

static void
count_refused_peer (DpBusAuth *auth, const char *reason)
{
  dp_counters_add (auth->counters, "dogwoodplank_bus_peers_refused_total", "reason", reason, 1);
}

static gboolean
decode_key (const char *text, guint8 out[KEY_BYTES])
{
  return text != NULL && strlen (text) == DP_BUS_KEY_CHARS
         && zmq_z85_decode (out, text) != NULL;
}

gboolean
dp_bus_keys_are_valid (const DpBusKeys *keys)
{
  guint8 raw[KEY_BYTES];
  char derived[DP_BUS_KEY_CHARS + 1];
  if (!decode_key (keys->public_key, raw) || !decode_key (keys->secret_key, raw))
    return FALSE;
  if (zmq_curve_public (derived, keys->secret_key) != 0
      || strcmp (derived, keys->public_key) != 0)
    return FALSE;
  char **allowed = g_strsplit_set (keys->allowed != NULL ? keys->allowed : "", " ", -1);
  gboolean ok = TRUE;
  for (guint i = 0; allowed[i] != NULL; i++)
    ok = ok && (allowed[i][0] == '\0' || decode_key (allowed[i], raw));
  g_strfreev (allowed);
  return ok;
}

void
dp_bus_keys_generate (char public_key[DP_BUS_KEY_CHARS + 1],
                      char secret_key[DP_BUS_KEY_CHARS + 1])
{
  zmq_curve_keypair (public_key, secret_key);
}

static void
set_string_option (void *socket, int option, const char *text)
{
  zmq_setsockopt (socket, option, text, strlen (text));
}

void
dp_bus_keys_configure_client (const DpBusKeys *keys, void *socket)
{
  set_string_option (socket, ZMQ_CURVE_SERVERKEY, keys->public_key);
  set_string_option (socket, ZMQ_CURVE_PUBLICKEY, keys->public_key);
  set_string_option (socket, ZMQ_CURVE_SECRETKEY, keys->secret_key);
}

/* --- ZAP requests --- */

/* Reads one request; oversized frames are left empty, excess ones are only counted. Returns
 * FALSE if none is available. */
static gboolean
receive_zap_request (void *zap, ZapRequest *request)
{
  int more = 1;
  while (more)
    {
      zmq_msg_t frame;
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, zap, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&frame);
          return FALSE;
        }
      gsize length = zmq_msg_size (&frame);
      if (request->count < ZAP_FRAMES && length <= ZAP_FRAME_BYTES_MAX)
        {
          memcpy (request->frames[request->count], zmq_msg_data (&frame), length);
          request->lengths[request->count] = length;
        }
      request->count++;
      more = zmq_msg_more (&frame);
      zmq_msg_close (&frame);
    }
  return TRUE;
}

static gboolean
is_key_allowed (const DpBusAuth *auth, const ZapRequest *request)
{
  if (request->count != ZAP_FRAMES || request->lengths[ZAP_FRAME_KEY] != KEY_BYTES)
    return FALSE;
  if (request->lengths[ZAP_FRAME_MECHANISM] != strlen ("CURVE")
      || memcmp (request->frames[ZAP_FRAME_MECHANISM], "CURVE", strlen ("CURVE")) != 0)
    return FALSE;
  GBytes *key = g_bytes_new_static (request->frames[ZAP_FRAME_KEY], KEY_BYTES);
  gboolean found = g_hash_table_contains (auth->allowed_keys, key);
  g_bytes_unref (key);
  return found;
}

static void
send_zap_reply (void *zap, const ZapRequest *request, gboolean allowed)
{
  const char *status = allowed ? "200" : "400";
  const char *text = allowed ? "OK" : "key not allowed";
  zmq_send (zap, ZAP_VERSION, strlen (ZAP_VERSION), ZMQ_SNDMORE);
  zmq_send (zap, request->frames[ZAP_FRAME_ID], request->lengths[ZAP_FRAME_ID], ZMQ_SNDMORE);
  zmq_send (zap, status, strlen (status), ZMQ_SNDMORE);
  zmq_send (zap, text, strlen (text), ZMQ_SNDMORE);
  zmq_send (zap, "", 0, ZMQ_SNDMORE); /* user id */
  zmq_send (zap, "", 0, 0);           /* metadata */
}

static gboolean
socket_is_readable (void *socket)
{
  int events = 0;
  size_t size = sizeof events;
  zmq_getsockopt (socket, ZMQ_EVENTS, &events, &size);
  return (events & ZMQ_POLLIN) != 0;
}

static void
on_zap_event (evutil_socket_t fd, short what, void *user)
{
  DpBusAuth *auth = user;
  while (socket_is_readable (auth->zap))
    {
      ZapRequest request = { .count = 0 };
      if (!receive_zap_request (auth->zap, &request))
        return;
      gboolean allowed = is_key_allowed (auth, &request);
      if (!allowed)
        count_refused_peer (auth, "key");
      send_zap_reply (auth->zap, &request, allowed);
    }
}

/* --- handshake failures ---
 *
 * These occur before libzmq sends a ZAP request, so they are counted from socket events.
 */

static void
on_monitor_event (evutil_socket_t fd, short what, void *user)
{
  DpBusAuth *auth = user;
  while (socket_is_readable (auth->monitor))
    {
      zmq_msg_t event;
      zmq_msg_t address;
      zmq_msg_init (&event);
      zmq_msg_init (&address);
      if (zmq_msg_recv (&event, auth->monitor, ZMQ_DONTWAIT) > 0
          && zmq_msg_recv (&address, auth->monitor, ZMQ_DONTWAIT) >= 0)
        count_refused_peer (auth, "handshake");
      zmq_msg_close (&address);
      zmq_msg_close (&event);
    }
}

static struct event *
add_socket_event (struct event_base *base,
                  void *socket,
                  event_callback_fn callback,
                  DpBusAuth *auth)
{
  int fd = -1;
  size_t size = sizeof fd;
  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  struct event *event = event_new (base, fd, EV_READ | EV_PERSIST, callback, auth);
  event_add (event, NULL);
  event_active (event, EV_READ, 0);
  return event;
}

static void
allow_key (DpBusAuth *auth, const char *text)
{
  guint8 raw[KEY_BYTES];
  if (decode_key (text, raw))
    g_hash_table_add (auth->allowed_keys, g_bytes_new (raw, sizeof raw));
}

static void
init_allowed_keys (DpBusAuth *auth, const DpBusKeys *keys)
{
  auth->allowed_keys
    = g_hash_table_new_full (g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
  allow_key (auth, keys->public_key);
  char **allowed = g_strsplit_set (keys->allowed != NULL ? keys->allowed : "", " ", -1);
  for (guint i = 0; allowed[i] != NULL; i++)
    allow_key (auth, allowed[i]);
  g_strfreev (allowed);
}

static void
set_server_keys (void *router, const DpBusKeys *keys)
{
  int on = 1;
  zmq_setsockopt (router, ZMQ_CURVE_SERVER, &on, sizeof on);
  set_string_option (router, ZMQ_CURVE_SECRETKEY, keys->secret_key);
  set_string_option (router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN);
}

DpBusAuth *
dp_bus_auth_new (struct event_base *base,
                 void *context,
                 void *router,
                 const DpBusKeys *keys,
                 DpCounters *counters)
{
  DpBusAuth *auth = g_new0 (DpBusAuth, 1);
  auth->counters = counters;
  auth->router = router;
  init_allowed_keys (auth, keys);
  set_server_keys (router, keys);
  int linger = 0;
  auth->zap = zmq_socket (context, ZMQ_REP);
  zmq_setsockopt (auth->zap, ZMQ_LINGER, &linger, sizeof linger);
  zmq_bind (auth->zap, ZAP_ENDPOINT);
  auth->zap_event = add_socket_event (base, auth->zap, on_zap_event, auth);
  zmq_socket_monitor (router, MONITOR_ENDPOINT,
                      ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL
                        | ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL);
  auth->monitor = zmq_socket (context, ZMQ_PAIR);
  zmq_setsockopt (auth->monitor, ZMQ_LINGER, &linger, sizeof linger);
  zmq_connect (auth->monitor, MONITOR_ENDPOINT);
  auth->monitor_event = add_socket_event (base, auth->monitor, on_monitor_event, auth);
  return auth;
}

void
dp_bus_auth_free (DpBusAuth *auth)
{
  if (auth == NULL)
    return;
  zmq_socket_monitor (auth->router, NULL, 0);
  event_free (auth->zap_event);
  event_free (auth->monitor_event);
  zmq_close (auth->zap);
  zmq_close (auth->monitor);
  g_hash_table_unref (auth->allowed_keys);
  g_free (auth);
}
