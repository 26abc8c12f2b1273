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
forward_data (struct bufferevent *bev, void *user)
{
  struct bufferevent *peer = user;
  evbuffer_add_buffer (bufferevent_get_output (peer), bufferevent_get_input (bev));
}

/* Closed connections are freed by raw_relay_clear(). */
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
  struct bufferevent *client = bufferevent_socket_new (relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
  struct bufferevent *upstream
    = bufferevent_socket_new (relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
  struct sockaddr_in name;
  fill_address (&name, relay->upstream_address, relay->port);
  bufferevent_setcb (client, forward_data, NULL, on_relay_event, upstream);
  bufferevent_setcb (upstream, forward_data, NULL, on_relay_event, client);
  bufferevent_socket_connect (upstream, (struct sockaddr *)&name, sizeof name);
  bufferevent_enable (client, EV_READ | EV_WRITE);
  bufferevent_enable (upstream, EV_READ | EV_WRITE);
  g_ptr_array_add (relay->bufferevents, client);
  g_ptr_array_add (relay->bufferevents, upstream);
}

void
raw_relay_start (RawRelay *relay, const char *address)
{
  struct sockaddr_in name;
  fill_address (&name, address, relay->port);
  relay->bufferevents = g_ptr_array_new_with_free_func ((GDestroyNotify)bufferevent_free);
  relay->listener = evconnlistener_new_bind (relay->base, on_relay_accept, relay,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&name, sizeof name);
  ck_assert_ptr_nonnull (relay->listener);
}

void
raw_relay_clear (RawRelay *relay)
{
  evconnlistener_free (relay->listener);
  g_ptr_array_unref (relay->bufferevents);
}

void
raw_relay_stall (RawRelay *relay)
{
  for (guint i = 0; i < relay->bufferevents->len; i++)
    bufferevent_disable (g_ptr_array_index (relay->bufferevents, i), EV_READ | EV_WRITE);
}
