#include "tests/raw_peer.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/socket.h>

#define REPEATS_PER_WRITE 200

static void
on_peer_written (struct bufferevent *bev, void *user)
{
  const RawPeer *peer = user;
  for (guint i = 0; peer->repeat != NULL && i < REPEATS_PER_WRITE; i++)
    bufferevent_write (bev, peer->repeat, strlen (peer->repeat));
  if (peer->repeat == NULL && !peer->stay_open)
    bufferevent_free (bev);
}

static void
on_peer_event (struct bufferevent *bev, short what, void *user)
{
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    bufferevent_free (bev);
}

/* Replies once the head of the request is complete. */
static void
on_peer_read (struct bufferevent *bev, void *user)
{
  RawPeer *peer = user;
  peer->requests++;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  if (end.pos < 0)
    return;
  if (peer->received != NULL)
    g_string_append_len (peer->received, (const char *)evbuffer_pullup (input, -1),
                         (gssize)evbuffer_get_length (input));
  evbuffer_drain (input, evbuffer_get_length (input));
  if (peer->answer_length == 0 && !peer->stay_open)
    {
      bufferevent_free (bev);
      return;
    }
  bufferevent_setcb (bev, NULL, on_peer_written, on_peer_event, user);
  bufferevent_write (bev, peer->answer, peer->answer_length);
}

static void
on_peer_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int length,
                void *user)
{
  struct event_base *base = evconnlistener_get_base (listener);
  struct bufferevent *bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (bev, on_peer_read, NULL, on_peer_event, user);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

void
raw_peer_start (RawPeer *peer, struct event_base *base, const char *address)
{
  struct sockaddr_in name = { .sin_family = AF_INET };
  ck_assert_int_eq (inet_pton (AF_INET, address, &name.sin_addr), 1);
  peer->listener = evconnlistener_new_bind (base, on_peer_accept, peer,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                            (struct sockaddr *)&name, sizeof name);
  ck_assert_ptr_nonnull (peer->listener);
  socklen_t length = sizeof name;
  getsockname (evconnlistener_get_fd (peer->listener), (struct sockaddr *)&name, &length);
  peer->port = ntohs (name.sin_port);
}
