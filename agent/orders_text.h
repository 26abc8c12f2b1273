/* Texts of the lease object and of an engine's /orders. */
#pragma once

#include "core/orders.h"

/* Value of the lease object. Free with g_free(). */
char *dp_lease_format (const DpLease *lease);

/* FALSE if the text is not a lease. */
gboolean dp_lease_parse (const char *text, gsize length, DpLease *lease);

/* Body of POST /orders. `names` gives the text of each model (DpName -> char *); a model
 * without a text is left out. Free with g_free(). */
char *dp_order_format (const DpOrder *order, GHashTable *names);

/* Reads an engine's answer to GET /orders. Model names are added to `names`. FALSE if the text
 * is malformed. */
gboolean
dp_target_state_parse (const char *text, gsize length, DpEngineState *state, GHashTable *names);

/* Remembers the text of a model's name. */
void dp_order_name_add (GHashTable *names, const char *text);
GHashTable *dp_order_names_new (void);
