/* CURVE encryption and authentication on the bus (ZeroMQ RFC 26 and RFC 27).
 *
 * All processes of the system share one key pair. A process accepts peers that prove to hold a
 * key pair whose public key is allowed: the shared key, or one of the additional keys in the
 * settings, for key rotation. Other peers are rejected and counted.
 */
#pragma once

#include "common/counters.h"

#include <event2/event.h>
#include <glib.h>

/* Length of a Z85-encoded key, without the terminating NUL. */
#define DP_BUS_KEY_CHARS 40

typedef struct DpBusKeys
{
  const char *public_key; /* Z85 */
  const char *secret_key; /* Z85 */
  const char *allowed;    /* additional public keys, separated by spaces; may be NULL */
} DpBusKeys;

/* Returns FALSE if a key is missing or malformed, or public and secret key aren't a pair. */
gboolean dp_bus_keys_are_valid (const DpBusKeys *keys);

/* Generates a new key pair, Z85-encoded. */
void dp_bus_keys_generate (char public_key[DP_BUS_KEY_CHARS + 1],
                           char secret_key[DP_BUS_KEY_CHARS + 1]);

/* Sets the CURVE keys of a DEALER; call before it connects. */
void dp_bus_keys_configure_client (const DpBusKeys *keys, void *socket);

typedef struct DpBusAuth DpBusAuth;

/* Sets the CURVE keys of the ROUTER and starts the ZAP handler, which authenticates peers for
 * libzmq; call before the ROUTER binds. All pointers but `keys` must outlive the object. */
DpBusAuth *dp_bus_auth_new (struct event_base *base,
                            void *context,
                            void *router,
                            const DpBusKeys *keys,
                            DpCounters *counters);

/* Call before closing the ROUTER. */
void dp_bus_auth_free (DpBusAuth *auth);
