#include "core/byte_budget.h"

struct DpByteBudget
{
  gsize limit;
  gsize total;
  GHashTable *holders; /* holder -> bytes */
};

DpByteBudget *
dp_byte_budget_new (gsize limit)
{
  DpByteBudget *budget = g_new0 (DpByteBudget, 1);
  budget->limit = limit;
  budget->holders = g_hash_table_new (NULL, NULL);
  return budget;
}

void
dp_byte_budget_free (DpByteBudget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_unref (budget->holders);
  g_free (budget);
}

void
dp_byte_budget_set (DpByteBudget *budget, gpointer holder, gsize bytes)
{
  budget->total -= GPOINTER_TO_SIZE (g_hash_table_lookup (budget->holders, holder));
  budget->total += bytes;
  if (bytes > 0)
    g_hash_table_insert (budget->holders, holder, GSIZE_TO_POINTER (bytes));
  else
    g_hash_table_remove (budget->holders, holder);
}

gpointer
dp_byte_budget_find_excess (const DpByteBudget *budget)
{
  if (budget->total <= budget->limit)
    return NULL;
  gpointer largest = NULL;
  gsize most = 0;
  GHashTableIter iter;
  gpointer holder;
  gpointer bytes;
  g_hash_table_iter_init (&iter, budget->holders);
  while (g_hash_table_iter_next (&iter, &holder, &bytes))
    if (GPOINTER_TO_SIZE (bytes) > most)
      {
        most = GPOINTER_TO_SIZE (bytes);
        largest = holder;
      }
  return largest;
}

gboolean
dp_byte_budget_has_reserve (const DpByteBudget *budget)
{
  return budget->total <= budget->limit || budget->total - budget->limit <= budget->limit / 4;
}

gboolean
dp_byte_budget_admits (const DpByteBudget *budget, gpointer holder)
{
  gsize bytes = GPOINTER_TO_SIZE (g_hash_table_lookup (budget->holders, holder));
  return budget->total <= budget->limit && bytes <= budget->limit - budget->total;
}

gsize
dp_byte_budget_total (const DpByteBudget *budget)
{
  return budget->total;
}
