/* Counters of one process: named totals that only rise, and gauges that are set.
 *
 * The set owns its names. Names follow Prometheus: "dogwoodplank_refusals_total" with at most
 * one label pair such as reason="queue_full".
 */
#pragma once

#include <glib.h>

typedef struct DpCounters DpCounters;

DpCounters *dp_counters_new (void);
DpCounters *dp_counters_ref (DpCounters *counters);
void dp_counters_unref (DpCounters *counters);

/* Adds `amount` to the counter; label and value may both be NULL. */
void dp_counters_add (
  DpCounters *counters, const char *name, const char *label, const char *value, guint64 amount);

/* Adds one measurement to a histogram of milliseconds: NAME_bucket{le="..."}, NAME_sum and
 * NAME_count. */
void dp_counters_observe_ms (DpCounters *counters, const char *name, guint64 ms);

/* Sets a gauge. */
void dp_counters_set (
  DpCounters *counters, const char *name, const char *label, const char *value, guint64 amount);

/* Current value; 0 if it was never touched. */
guint64 dp_counters_get (const DpCounters *counters,
                         const char *name,
                         const char *label,
                         const char *value);

/* Appends all counters in Prometheus' text format, sorted by name. */
void dp_counters_format (const DpCounters *counters, GString *out);
