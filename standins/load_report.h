/* Results of a load run: counts of verdicts and reasons, latencies by tier and request kind,
 * and the comparison of bookings with the effects that the services counted. */
#pragma once

#include "standins/load_exchange.h"

#include <glib.h>

typedef struct LoadReport LoadReport;

/* `tiers` holds the tiers' names and must outlive the report. */
LoadReport *load_report_new (const char *const *tiers, guint tier_count);
void load_report_free (LoadReport *report);

void load_report_add (LoadReport *report, const LoadRequest *request, const LoadResult *result);

guint64 load_report_count (const LoadReport *report, LoadVerdict verdict);

/* Compares the bookings with `effects`, the response bodies of GET /effects as text, one per
 * service instance. Appends a line per violation and a summary; returns the number of
 * violations. */
guint load_report_check_effects (LoadReport *report, const GPtrArray *effects, GString *out);

/* Appends the report as lines of key=value pairs. */
void load_report_format (const LoadReport *report, GString *out);
