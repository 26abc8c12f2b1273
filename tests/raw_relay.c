#include "tests/raw_relay.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

static void
fill_address (struct sockaddr_in *name, const char *address, guint16 port)
{
  *name = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons (port) };
  ck_assert_int_eq (inet_pton (AF_INET, address, &name->sin_addr), 1);
}

static void
pass_on (struct bufferevent *bev, void *user)
{
  struct bufferevent *other = user;
  evbuffer_add_buffer (bufferevent_get_output (other), bufferevent_get_input (bev));
}

/* Closed connections stay until the relay is cleared. */
static void
on_relay_event (struct bufferevent *bev, short what, void *user)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    bufferevent_disable (bev, EV_READ | EV_WRITE);
}

static void
on_relay_accept (struct evconnlistener *listener,
                 evutil_socket_t fd,
                 struct sockaddr *address,
                 int length,
                 void *user)
{
  RawRelay *relay = user;
  relay->accepted++;
  struct bufferevent *near = bufferevent_socket_new (relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
  struct bufferevent *far = bufferevent_socket_new (relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
  struct sockaddr_in name;
  fill_address (&name, relay->target_address, relay->port);
  bufferevent_setcb (near, pass_on, NULL, on_relay_event, far);
  bufferevent_setcb (far, pass_on, NULL, on_relay_event, near);
  bufferevent_socket_connect (far, (struct sockaddr *)&name, sizeof name);
  bufferevent_enable (near, EV_READ | EV_WRITE);
  bufferevent_enable (far, EV_READ | EV_WRITE);
  g_ptr_array_add (relay->ends, near);
  g_ptr_array_add (relay->ends, far);
}

void
raw_relay_start (RawRelay *relay, const char *address)
{
  struct sockaddr_in name;
  fill_address (&name, address, relay->port);
  relay->ends = g_ptr_array_new_with_free_func ((GDestroyNotify)bufferevent_free);
  relay->listener = evconnlistener_new_bind (relay->base, on_relay_accept, relay,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&name, sizeof name);
  ck_assert_ptr_nonnull (relay->listener);
}

void
raw_relay_clear (RawRelay *relay)
{
  evconnlistener_free (relay->listener);
  g_ptr_array_unref (relay->ends);
}

void
raw_relay_silence (RawRelay *relay)
{
  for (guint i = 0; i < relay->ends->len; i++)
    bufferevent_disable (g_ptr_array_index (relay->ends, i), EV_READ | EV_WRITE);
}
