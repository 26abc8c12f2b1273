#include "core/key_set.h"

GArray *
dp_key_set_new (guint count)
{
  return g_array_sized_new (FALSE, FALSE, sizeof (guint64), count);
}

void
dp_key_set_append (GArray *set, guint64 key)
{
  g_array_append_val (set, key);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  guint64 first = *(const guint64 *)a;
  guint64 second = *(const guint64 *)b;
  return first < second ? -1 : first > second;
}

void
dp_key_set_complete (GArray *set)
{
  g_array_sort (set, compare_keys);
  guint kept = 0;
  for (guint i = 0; i < set->len; i++)
    {
      guint64 key = g_array_index (set, guint64, i);
      if (kept == 0 || g_array_index (set, guint64, kept - 1) != key)
        g_array_index (set, guint64, kept++) = key;
    }
  g_array_set_size (set, kept);
}

guint
dp_key_set_count (const GArray *set)
{
  return set != NULL ? set->len : 0;
}

guint64
dp_key_set_get (const GArray *set, guint index)
{
  return g_array_index (set, guint64, index);
}

gboolean
dp_key_set_contains (const GArray *set, guint64 key)
{
  return set != NULL && g_array_binary_search ((GArray *)set, &key, compare_keys, NULL);
}

gboolean
dp_key_set_includes (const GArray *set, const GArray *subset)
{
  if (dp_key_set_count (subset) > dp_key_set_count (set))
    return FALSE;
  for (guint i = 0; i < dp_key_set_count (subset); i++)
    if (!dp_key_set_contains (set, dp_key_set_get (subset, i)))
      return FALSE;
  return TRUE;
}

GArray *
dp_key_set_subtract (const GArray *set, const GArray *other)
{
  GArray *rest = dp_key_set_new (dp_key_set_count (set));
  for (guint i = 0; i < dp_key_set_count (set); i++)
    if (!dp_key_set_contains (other, dp_key_set_get (set, i)))
      dp_key_set_append (rest, dp_key_set_get (set, i));
  return rest;
}
