#include "standins/load_report.h"

#include <json-c/json.h>
#include <string.h>

static const char *const kind_names[LOAD_KINDS] = { "chat_stream", "chat_whole", "booking" };
static const char *const verdict_names[LOAD_VERDICTS]
  = { "right", "problem", "broken", "wrong" };

/* Results for one tier and request kind. */
typedef struct Cell
{
  guint64 verdicts[LOAD_VERDICTS];
  GArray *first_token_latencies; /* DpUsec, right responses only */
  GArray *total_latencies;       /* DpUsec, right responses only */
} Cell;

/* Responses to all requests with one idempotency key. */
typedef struct Booking
{
  guint right;
  guint not_run;
  guint undetermined; /* may have run or not: truncated, outcome unknown, service error */
  DpUsec last_not_run_sent_at; /* Unix time when the last request answered "not_run" was sent */
} Booking;

struct LoadReport
{
  const char *const *tiers;
  guint tier_count;
  Cell *cells;          /* tier_count x LOAD_KINDS */
  GHashTable *reasons;  /* "VERDICT REASON" -> count */
  GHashTable *bookings; /* idempotency key -> Booking */
  guint64 verdicts[LOAD_VERDICTS];
  DpUsec started_at;
};

static Cell *
get_cell (const LoadReport *report, guint tier, guint kind)
{
  return &report->cells[tier * LOAD_KINDS + kind];
}

static void
record_booking (LoadReport *report, const LoadRequest *request, const LoadResult *result)
{
  Booking *booking = g_hash_table_lookup (report->bookings, request->idempotency_key);
  if (booking == NULL)
    {
      booking = g_new0 (Booking, 1);
      g_hash_table_insert (report->bookings, g_strdup (request->idempotency_key), booking);
    }
  if (result->verdict == LOAD_RIGHT)
    booking->right += 1;
  else if (result->verdict == LOAD_PROBLEM && strcmp (result->outcome, "not_run") == 0)
    {
      booking->not_run += 1;
      booking->last_not_run_sent_at = MAX (booking->last_not_run_sent_at, result->sent_at);
    }
  else
    booking->undetermined += 1;
}

LoadReport *
load_report_new (const char *const *tiers, guint tier_count)
{
  LoadReport *report = g_new0 (LoadReport, 1);
  report->tiers = tiers;
  report->tier_count = tier_count;
  report->cells = g_new0 (Cell, (gsize)tier_count * LOAD_KINDS);
  for (guint i = 0; i < tier_count * LOAD_KINDS; i++)
    {
      report->cells[i].first_token_latencies = g_array_new (FALSE, FALSE, sizeof (DpUsec));
      report->cells[i].total_latencies = g_array_new (FALSE, FALSE, sizeof (DpUsec));
    }
  report->reasons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  report->bookings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  report->started_at = g_get_monotonic_time ();
  return report;
}

void
load_report_free (LoadReport *report)
{
  for (guint i = 0; i < report->tier_count * LOAD_KINDS; i++)
    {
      g_array_unref (report->cells[i].first_token_latencies);
      g_array_unref (report->cells[i].total_latencies);
    }
  g_free (report->cells);
  g_hash_table_unref (report->reasons);
  g_hash_table_unref (report->bookings);
  g_free (report);
}

void
load_report_add (LoadReport *report, const LoadRequest *request, const LoadResult *result)
{
  Cell *cell = get_cell (report, request->tier, request->kind);
  cell->verdicts[result->verdict] += 1;
  report->verdicts[result->verdict] += 1;
  if (result->verdict == LOAD_RIGHT)
    {
      DpUsec first_token_latency
        = result->first_token_latency > 0 ? result->first_token_latency : result->total_latency;
      g_array_append_val (cell->first_token_latencies, first_token_latency);
      g_array_append_val (cell->total_latencies, result->total_latency);
    }
  char *reason
    = g_strdup_printf ("verdict=%s reason=%s outcome=%s", verdict_names[result->verdict],
                       result->reason, result->outcome[0] != '\0' ? result->outcome : "-");
  guint64 *count = g_hash_table_lookup (report->reasons, reason);
  if (count == NULL)
    {
      count = g_new0 (guint64, 1);
      g_hash_table_insert (report->reasons, g_strdup (reason), count);
    }
  *count += 1;
  g_free (reason);
  if (request->idempotency_key != NULL)
    record_booking (report, request, result);
}

guint64
load_report_count (const LoadReport *report, LoadVerdict verdict)
{
  return report->verdicts[verdict];
}

/* --- effects --- */

/* Effects of one idempotency key, summed over all service instances. */
typedef struct Effect
{
  gint64 count;
  gint64 first_at; /* Unix time */
} Effect;

static Effect
find_effect (const GPtrArray *parsed, const char *key)
{
  Effect effect = { 0, 0 };
  for (guint i = 0; i < parsed->len; i++)
    {
      struct json_object *instance = g_ptr_array_index (parsed, i);
      struct json_object *counts;
      struct json_object *times;
      struct json_object *value;
      if (json_object_object_get_ex (instance, "by_key", &counts)
          && json_object_object_get_ex (counts, key, &value))
        effect.count += json_object_get_int64 (value);
      if (json_object_object_get_ex (instance, "first_at", &times)
          && json_object_object_get_ex (times, key, &value)
          && (effect.first_at == 0 || json_object_get_int64 (value) < effect.first_at))
        effect.first_at = json_object_get_int64 (value);
    }
  return effect;
}

/* Returns how the responses to a key contradict its effects, or NULL if they don't. */
static const char *
find_violation (const Booking *booking, const Effect *effect)
{
  if (effect->count > 1)
    return "ran_more_than_once";
  if (booking->right > 0 && effect->count == 0)
    return "confirmed_but_not_run";
  if (effect->count == 0)
    return NULL;
  if (booking->right == 0 && booking->undetermined == 0)
    return "not_run_but_ran";
  if (booking->not_run > 0 && effect->first_at < booking->last_not_run_sent_at)
    return "not_run_said_after_it_ran";
  return NULL;
}

static void
unref_object (gpointer object)
{
  json_object_put (object);
}

guint
load_report_check_effects (LoadReport *report, const GPtrArray *effects, GString *out)
{
  GPtrArray *parsed = g_ptr_array_new_with_free_func (unref_object);
  for (guint i = 0; i < effects->len; i++)
    {
      struct json_object *object = json_tokener_parse (g_ptr_array_index (effects, i));
      if (object == NULL)
        object = json_object_new_object ();
      g_ptr_array_add (parsed, object);
    }
  guint violations = 0;
  guint64 effect_count = 0;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, report->bookings);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Booking *booking = value;
      Effect effect = find_effect (parsed, key);
      effect_count += (guint64)effect.count;
      const char *violation = find_violation (booking, &effect);
      if (violation == NULL)
        continue;
      violations += 1;
      g_string_append_printf (
        out, "violation=%s key=%s effects=%" G_GINT64_FORMAT " right=%u not_run=%u open=%u\n",
        violation, (char *)key, effect.count, booking->right, booking->not_run,
        booking->undetermined);
    }
  g_string_append_printf (out, "bookings keys=%u effects=%" G_GUINT64_FORMAT " violations=%u\n",
                          g_hash_table_size (report->bookings), effect_count, violations);
  g_ptr_array_unref (parsed);
  return violations;
}

/* --- text --- */

static int
compare_usec (gconstpointer a, gconstpointer b)
{
  DpUsec left = *(const DpUsec *)a;
  DpUsec right = *(const DpUsec *)b;
  return left < right ? -1 : left > right;
}

static double
percentile_msec (GArray *sorted, guint percent)
{
  if (sorted->len == 0)
    return 0;
  guint64 index = (guint64)(sorted->len - 1) * percent / 100;
  return (double)g_array_index (sorted, DpUsec, index) / DP_USEC_PER_MSEC;
}

static void
append_latencies (GString *out, const char *name, GArray *values)
{
  g_array_sort (values, compare_usec);
  g_string_append_printf (out, " %s_ms_p50=%.2f %s_ms_p95=%.2f %s_ms_p99=%.2f", name,
                          percentile_msec (values, 50), name, percentile_msec (values, 95),
                          name, percentile_msec (values, 99));
}

static void
append_cell (const LoadReport *report, GString *out, guint tier, guint kind)
{
  const Cell *cell = get_cell (report, tier, kind);
  guint64 total = 0;
  for (guint i = 0; i < LOAD_VERDICTS; i++)
    total += cell->verdicts[i];
  if (total == 0)
    return;
  g_string_append_printf (out, "tier=%s kind=%s", report->tiers[tier], kind_names[kind]);
  for (guint i = 0; i < LOAD_VERDICTS; i++)
    g_string_append_printf (out, " %s=%" G_GUINT64_FORMAT, verdict_names[i], cell->verdicts[i]);
  append_latencies (out, "first", cell->first_token_latencies);
  append_latencies (out, "total", cell->total_latencies);
  g_string_append_c (out, '\n');
}

static int
compare_text (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

void
load_report_format (const LoadReport *report, GString *out)
{
  for (guint tier = 0; tier < report->tier_count; tier++)
    {
      for (guint kind = 0; kind < LOAD_KINDS; kind++)
        append_cell (report, out, tier, kind);
    }
  GList *reasons = g_list_sort (g_hash_table_get_keys (report->reasons), compare_text);
  for (GList *item = reasons; item != NULL; item = item->next)
    {
      const guint64 *count = g_hash_table_lookup (report->reasons, item->data);
      g_string_append_printf (out, "%s count=%" G_GUINT64_FORMAT "\n", (char *)item->data,
                              *count);
    }
  g_list_free (reasons);
  double seconds = (double)(g_get_monotonic_time () - report->started_at) / DP_USEC_PER_SEC;
  g_string_append_printf (out, "summary seconds=%.2f", seconds);
  for (guint i = 0; i < LOAD_VERDICTS; i++)
    g_string_append_printf (out, " %s=%" G_GUINT64_FORMAT, verdict_names[i],
                            report->verdicts[i]);
  g_string_append_printf (out, " right_per_second=%.1f\n",
                          (double)report->verdicts[LOAD_RIGHT] / seconds);
}
