/* Test server that replies to each request with the given bytes, then closes the connection or
 * keeps it open. */
#pragma once

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

typedef struct RawPeer
{
  struct evconnlistener *listener;
  guint16 port;
  const char *answer;
  gsize answer_length;
  gboolean stay_open; /* don't close the connection after the answer */
  const char *repeat; /* NULL, or sent after the answer until the client closes */
  guint requests;     /* number of reads; 0 if no byte was received */
  GString *received;  /* NULL, or gets the bytes up to the answer */
} RawPeer;

/* Listens on a free port and sets `listener` and `port`. */
void raw_peer_start (RawPeer *peer, struct event_base *base, const char *address);
