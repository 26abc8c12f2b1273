#include "common/id.h"

#include <string.h>
#include <xxhash.h>

DpName
dp_name (const char *text)
{
  if (text == NULL || text[0] == '\0')
    return 0;
  guint64 hash = XXH3_64bits (text, strlen (text));
  return hash != 0 ? hash : 1;
}

DpName
dp_name_pair (DpName first, DpName second)
{
  guint64 pair[2] = { first, second };
  guint64 hash = XXH3_64bits (pair, sizeof pair);
  return hash != 0 ? hash : 1;
}

guint64
dp_hash_bytes (const void *data, gsize length, guint64 seed)
{
  return XXH3_64bits_withSeed (data, length, seed);
}

guint64
dp_rendezvous_weight (DpName key, DpName member)
{
  guint64 pair[2] = { key, member };
  return XXH3_64bits (pair, sizeof pair);
}

gboolean
dp_id_equal (DpId a, DpId b)
{
  return a.high == b.high && a.low == b.low;
}

gboolean
dp_id_is_none (DpId id)
{
  return id.high == 0 && id.low == 0;
}

guint
dp_id_hash (gconstpointer id)
{
  const DpId *value = id;
  return (guint)(value->high ^ value->low);
}

gboolean
dp_id_equal_func (gconstpointer a, gconstpointer b)
{
  return dp_id_equal (*(const DpId *)a, *(const DpId *)b);
}

void
dp_id_format (DpId id, char out[DP_ID_STRING_SIZE])
{
  g_snprintf (out, DP_ID_STRING_SIZE, "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              id.high, id.low);
}

gboolean
dp_id_parse (const char *text, DpId *out)
{
  DpId id = { 0, 0 };
  for (int i = 0; i < DP_ID_STRING_SIZE - 1; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);
      if (digit < 0)
        return FALSE;
      guint64 *half = i < 16 ? &id.high : &id.low;
      *half = (*half << 4) | (guint64)digit;
    }
  if (text[DP_ID_STRING_SIZE - 1] != '\0')
    return FALSE;
  *out = id;
  return TRUE;
}
