/* A TCP relay whose connections can go silent for good while new ones work. */
#pragma once

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

typedef struct RawRelay
{
  struct event_base *base;
  struct evconnlistener *listener;
  const char *target_address;
  guint16 port;    /* of listener and target */
  GPtrArray *ends; /* struct bufferevent: both ends of all connections */
  guint accepted;
} RawRelay;

/* Listens at `address` and `relay->port`; the other constant members are filled in before. */
void raw_relay_start (RawRelay *relay, const char *address);
void raw_relay_clear (RawRelay *relay);

/* From now on the open connections pass nothing on, and nobody is told. */
void raw_relay_silence (RawRelay *relay);
