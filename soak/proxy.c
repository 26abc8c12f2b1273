#include "soak/soak.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

/* Of SOAK_PROXY_DELAY: well over a round trip, well under what callers wait for. */
#define DELAY_USEC 120000
#define HELD_MAX ((gsize)1024 * 1024)

const char *const soak_proxy_mode_names[SOAK_PROXY_MODES] = {
  [SOAK_PROXY_PASS] = "pass",       [SOAK_PROXY_DELAY] = "delay",
  [SOAK_PROXY_RESET] = "reset",     [SOAK_PROXY_SILENT] = "silent",
  [SOAK_PROXY_ONE_WAY] = "one_way",
};

struct SoakProxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  char to_address[SOAK_ADDRESS_BYTES];
  guint16 port;
  SoakProxyMode mode;
  GHashTable *links; /* set of Link */
};

typedef struct Link Link;

/* One direction of a link. */
typedef struct Side
{
  Link *link;
  struct bufferevent *bev; /* read from */
  struct bufferevent *other;
  struct event *late; /* what is delayed goes on */
  gboolean is_answer;
} Side;

struct Link
{
  SoakProxy *proxy;
  Side sides[2]; /* from the caller, from the server */
};

static void
link_free (gpointer data)
{
  Link *link = data;
  for (guint i = 0; i < 2; i++)
    event_free (link->sides[i].late);
  for (guint i = 0; i < 2; i++)
    bufferevent_free (link->sides[i].bev);
  g_free (link);
}

static void
link_reset (Link *link)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  for (guint i = 0; i < 2; i++)
    {
      evutil_socket_t fd = bufferevent_getfd (link->sides[i].bev);
      if (fd >= 0)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    }
  g_hash_table_remove (link->proxy->links, link);
}

static gboolean
holds_back (const Side *side)
{
  SoakProxyMode mode = side->link->proxy->mode;
  return mode == SOAK_PROXY_SILENT || (mode == SOAK_PROXY_ONE_WAY && side->is_answer);
}

static void
pass_on (Side *side)
{
  evbuffer_add_buffer (bufferevent_get_output (side->other), bufferevent_get_input (side->bev));
}

static void
on_late (evutil_socket_t fd, short what, void *user)
{
  Side *side = user;
  if (!holds_back (side))
    pass_on (side);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  Side *side = user;
  const struct timeval delay = { .tv_usec = DELAY_USEC };
  if (holds_back (side))
    return;
  if (side->link->proxy->mode != SOAK_PROXY_DELAY)
    pass_on (side);
  else if (!event_pending (side->late, EV_TIMEOUT, NULL))
    event_add (side->late, &delay);
}

static void
on_event (struct bufferevent *bev, short what, void *user)
{
  Side *side = user;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  if (!holds_back (side))
    pass_on (side);
  bufferevent_flush (side->other, EV_WRITE, BEV_FINISHED);
  if (evbuffer_get_length (bufferevent_get_output (side->other)) == 0
      || (what & BEV_EVENT_ERROR) != 0)
    {
      g_hash_table_remove (side->link->proxy->links, side->link);
      return;
    }
  /* What is left is written first; the other end closes on its own EOF or error. */
  shutdown (bufferevent_getfd (side->bev), SHUT_RD);
  bufferevent_disable (side->bev, EV_READ);
}

/* All has been written: an end whose other end has closed closes too. */
static void
on_written (struct bufferevent *bev, void *user)
{
  Side *side = user;
  const Side *from = &side->link->sides[side->is_answer ? 0 : 1];
  if ((bufferevent_get_enabled (from->bev) & EV_READ) == 0)
    g_hash_table_remove (side->link->proxy->links, side->link);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *user)
{
  SoakProxy *proxy = user;
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (proxy->port) };
  inet_pton (AF_INET, proxy->to_address, &to.sin_addr);
  Link *link = g_new0 (Link, 1);
  link->proxy = proxy;
  struct bufferevent *near = bufferevent_socket_new (proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
  struct bufferevent *far = bufferevent_socket_new (proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
  link->sides[0] = (Side){ .link = link, .bev = near, .other = far };
  link->sides[1] = (Side){ .link = link, .bev = far, .other = near, .is_answer = TRUE };
  for (guint i = 0; i < 2; i++)
    {
      Side *side = &link->sides[i];
      side->late = evtimer_new (proxy->base, on_late, side);
      bufferevent_setcb (side->bev, on_read, on_written, on_event, side);
      bufferevent_setwatermark (side->bev, EV_READ, 0, HELD_MAX);
    }
  g_hash_table_add (proxy->links, link);
  bufferevent_socket_connect (far, (struct sockaddr *)&to, sizeof to);
  bufferevent_enable (near, EV_READ | EV_WRITE);
  bufferevent_enable (far, EV_READ | EV_WRITE);
  if (proxy->mode == SOAK_PROXY_RESET)
    link_reset (link);
}

SoakProxy *
soak_proxy_new (struct event_base *base,
                const char *address,
                const char *to_address,
                guint16 port)
{
  SoakProxy *proxy = g_new0 (SoakProxy, 1);
  proxy->base = base;
  g_strlcpy (proxy->to_address, to_address, sizeof proxy->to_address);
  proxy->port = port;
  proxy->links = g_hash_table_new_full (NULL, NULL, link_free, NULL);
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (proxy->port) };
  inet_pton (AF_INET, address, &name.sin_addr);
  proxy->listener = evconnlistener_new_bind (base, on_accept, proxy,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&name, sizeof name);
  g_assert (proxy->listener != NULL);
  return proxy;
}

void
soak_proxy_free (SoakProxy *proxy)
{
  evconnlistener_free (proxy->listener);
  g_hash_table_unref (proxy->links);
  g_free (proxy);
}

void
soak_proxy_set_mode (SoakProxy *proxy, SoakProxyMode mode)
{
  proxy->mode = mode;
  GList *links = g_hash_table_get_keys (proxy->links);
  for (GList *at = links; at != NULL; at = at->next)
    {
      Link *link = at->data;
      if (mode == SOAK_PROXY_RESET)
        {
          link_reset (link);
          continue;
        }
      for (guint i = 0; i < 2; i++)
        if (!holds_back (&link->sides[i]))
          pass_on (&link->sides[i]);
    }
  g_list_free (links);
}
