/* CURVE on the bus: keys, and the check of who may connect (ZeroMQ RFC 26 and RFC 27).
 *
 * All processes of the system share one key pair. A process serves peers that prove to hold a
 * key pair whose public key is allowed: the own one, and the further ones of the settings.
 * Others are refused and counted.
 */
#pragma once

#include "common/counters.h"

#include <event2/event.h>
#include <glib.h>

/* Characters of a key in Z85, without the terminating NUL. */
#define DP_BUS_KEY_CHARS 40

typedef struct DpBusKeys
{
  const char *public_key; /* Z85 */
  const char *secret_key; /* Z85 */
  const char *allowed;    /* further public keys, separated by spaces; may be NULL */
} DpBusKeys;

/* FALSE if a key is malformed or public and secret key don't belong together. */
gboolean dp_bus_keys_check (const DpBusKeys *keys);

/* Makes a new key pair. */
void dp_bus_keys_make (char public_key[DP_BUS_KEY_CHARS + 1],
                       char secret_key[DP_BUS_KEY_CHARS + 1]);

/* Sets a DEALER's keys, before it connects. */
void dp_bus_keys_set_client (const DpBusKeys *keys, void *socket);

typedef struct DpBusAuth DpBusAuth;

/* Sets the ROUTER's keys, before it binds, and answers libzmq's questions about peers. All
 * pointers but `keys` must outlive the object. */
DpBusAuth *dp_bus_auth_new (struct event_base *base,
                            void *context,
                            void *router,
                            const DpBusKeys *keys,
                            DpCounters *counters);

/* Call before the ROUTER is closed. */
void dp_bus_auth_free (DpBusAuth *auth);
