/* Bounds the bytes that many holders keep together, such as responses that are being received.
 * When the limit is exceeded, the largest holder has to give up.
 */
#pragma once

#include <glib.h>

typedef struct DpByteBudget DpByteBudget;

/* `limit` in bytes. */
DpByteBudget *dp_byte_budget_new (gsize limit);
void dp_byte_budget_free (DpByteBudget *budget);

/* Sets what the holder keeps; 0 removes it. */
void dp_byte_budget_set (DpByteBudget *budget, gpointer holder, gsize bytes);

/* Returns the largest holder if all together exceed the limit, else NULL. */
gpointer dp_byte_budget_find_excess (const DpByteBudget *budget);

/* TRUE while the limit is exceeded by no more than a quarter, which is kept for small holders.
 */
gboolean dp_byte_budget_has_reserve (const DpByteBudget *budget);

/* TRUE if the holder keeps no more than what is left beside all holders: the fuller the budget,
 * the less a single holder may keep, and room is left for small ones. */
gboolean dp_byte_budget_admits (const DpByteBudget *budget, gpointer holder);

/* Bytes of all holders. */
gsize dp_byte_budget_total (const DpByteBudget *budget);
