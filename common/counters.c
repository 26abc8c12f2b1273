#include "common/counters.h"

#include <string.h>

typedef struct Counter
{
  guint64 value;
  gboolean is_gauge;
} Counter;

struct DpCounters
{
  gatomicrefcount refs;
  GHashTable *by_key; /* "name" or "name{label=\"value\"}" -> Counter */
};

/* Fits every name, label and value in use; longer keys are truncated. */
#define KEY_BYTES 192

static void
make_key (char key[KEY_BYTES], const char *name, const char *label, const char *value)
{
  if (label == NULL)
    g_strlcpy (key, name, KEY_BYTES);
  else
    g_snprintf (key, KEY_BYTES, "%s{%s=\"%s\"}", name, label, value);
}

static Counter *
lookup_or_insert (DpCounters *counters, const char *name, const char *label, const char *value)
{
  char key[KEY_BYTES];
  make_key (key, name, label, value);
  Counter *counter = g_hash_table_lookup (counters->by_key, key);
  if (counter == NULL)
    {
      counter = g_new0 (Counter, 1);
      g_hash_table_insert (counters->by_key, g_strdup (key), counter);
    }
  return counter;
}

static int
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static void
append_type (GString *out, const char *key, const char *previous, gboolean is_gauge)
{
  gsize length = strcspn (key, "{");
  gboolean same_name = previous != NULL && strcspn (previous, "{") == length
                       && strncmp (previous, key, length) == 0;
  if (!same_name)
    g_string_append_printf (out, "# TYPE %.*s %s\n", (int)length, key,
                            is_gauge ? "gauge" : "counter");
}

DpCounters *
dp_counters_new (void)
{
  DpCounters *counters = g_new0 (DpCounters, 1);
  g_atomic_ref_count_init (&counters->refs);
  counters->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return counters;
}

DpCounters *
dp_counters_ref (DpCounters *counters)
{
  g_atomic_ref_count_inc (&counters->refs);
  return counters;
}

void
dp_counters_unref (DpCounters *counters)
{
  if (counters == NULL || !g_atomic_ref_count_dec (&counters->refs))
    return;
  g_hash_table_unref (counters->by_key);
  g_free (counters);
}

void
dp_counters_add (
  DpCounters *counters, const char *name, const char *label, const char *value, guint64 amount)
{
  lookup_or_insert (counters, name, label, value)->value += amount;
}

void
dp_counters_observe_ms (DpCounters *counters, const char *name, guint64 ms)
{
  /* Covers the first-byte latency objectives and the request timeouts. */
  static const guint bounds_ms[] = { 10, 25, 50, 100, 150, 250, 500, 1000, 2500, 10000 };
  char member[KEY_BYTES];
  char bound[16];
  g_snprintf (member, sizeof member, "%s_bucket", name);
  for (guint i = 0; i < G_N_ELEMENTS (bounds_ms); i++)
    {
      g_snprintf (bound, sizeof bound, "%u", bounds_ms[i]);
      dp_counters_add (counters, member, "le", bound, ms <= bounds_ms[i]);
    }
  dp_counters_add (counters, member, "le", "+Inf", 1);
  g_snprintf (member, sizeof member, "%s_sum", name);
  dp_counters_add (counters, member, NULL, NULL, ms);
  g_snprintf (member, sizeof member, "%s_count", name);
  dp_counters_add (counters, member, NULL, NULL, 1);
}

void
dp_counters_set (
  DpCounters *counters, const char *name, const char *label, const char *value, guint64 amount)
{
  Counter *counter = lookup_or_insert (counters, name, label, value);
  counter->value = amount;
  counter->is_gauge = TRUE;
}

guint64
dp_counters_get (const DpCounters *counters,
                 const char *name,
                 const char *label,
                 const char *value)
{
  char key[KEY_BYTES];
  make_key (key, name, label, value);
  const Counter *counter = g_hash_table_lookup (counters->by_key, key);
  return counter != NULL ? counter->value : 0;
}

void
dp_counters_format (const DpCounters *counters, GString *out)
{
  GList *keys = g_list_sort (g_hash_table_get_keys (counters->by_key), compare_keys);
  const char *previous = NULL;
  for (GList *item = keys; item != NULL; item = item->next)
    {
      const char *key = item->data;
      const Counter *counter = g_hash_table_lookup (counters->by_key, key);
      append_type (out, key, previous, counter->is_gauge);
      g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n", key, counter->value);
      previous = key;
    }
  g_list_free (keys);
}
