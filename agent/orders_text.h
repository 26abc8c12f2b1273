/* JSON encoding of the lease object and of an engine's /orders. */
#pragma once

#include "core/orders.h"

/* Returns the value of the lease object. Free with g_free(). */
char *dp_lease_format (const DpLease *lease);

/* Returns FALSE if the text is not a valid lease. */
gboolean dp_lease_parse (const char *text, gsize length, DpLease *lease);

/* Returns the body of POST /orders. `names` maps DpName to the text of a model's name; models
 * that it doesn't contain are left out. Free with g_free(). */
char *dp_order_format (const DpOrder *order, GHashTable *names);

/* Parses an engine's response to GET /orders and adds its model names to `names`. Keeps the
 * first DP_ORDER_MODELS_MAX models. Returns FALSE if the text is malformed. */
gboolean
dp_engine_state_parse (const char *text, gsize length, DpEngineState *state, GHashTable *names);

/* Adds a model's name. Ignored once the table has reached its maximum size. */
void dp_model_names_add (GHashTable *names, const char *text);

/* Returns an empty table from DpName to the text of a model's name. */
GHashTable *dp_model_names_new (void);
