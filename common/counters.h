/* The metrics of one process: monotonic counters and gauges.
 *
 * Names, labels and values are copied. Names follow Prometheus conventions, for example
 * "dogwoodplank_refusals_total", with at most one label pair such as reason="queue_full".
 */
#pragma once

#include <glib.h>

typedef struct DpCounters DpCounters;

DpCounters *dp_counters_new (void);
DpCounters *dp_counters_ref (DpCounters *counters);
void dp_counters_unref (DpCounters *counters);

/* Adds `amount` to the counter. Without a label, `label` and `value` are both NULL. */
void dp_counters_add (
  DpCounters *counters, const char *name, const char *label, const char *value, guint64 amount);

/* Adds one observation to a histogram in milliseconds: updates NAME_bucket{le="..."}, NAME_sum
 * and NAME_count. */
void dp_counters_observe_ms (DpCounters *counters, const char *name, guint64 ms);

/* Sets a gauge to `amount`. */
void dp_counters_set (
  DpCounters *counters, const char *name, const char *label, const char *value, guint64 amount);

/* Returns the current value, or 0 if it was never set. */
guint64 dp_counters_get (const DpCounters *counters,
                         const char *name,
                         const char *label,
                         const char *value);

/* Appends all counters and gauges in Prometheus text format, sorted by name. */
void dp_counters_format (const DpCounters *counters, GString *out);
