/* Results of a load run: verdicts, reasons and latencies by tier and kind, and the check of
 * bookings against the effects that the service counted. */
#pragma once

#include "standins/load_exchange.h"

#include <glib.h>

typedef struct LoadReport LoadReport;

/* `tiers` are names; they must outlive the report. */
LoadReport *load_report_new (const char *const *tiers, guint tier_count);
void load_report_free (LoadReport *report);

void load_report_add (LoadReport *report, const LoadRequest *request, const LoadResult *result);

guint64 load_report_count (const LoadReport *report, LoadVerdict verdict);

/* Compares bookings with the bodies of GET /effects, one a service instance. Appends a line for
 * each violation; returns how many. */
guint load_report_check_effects (LoadReport *report, const GPtrArray *effects, GString *out);

/* Appends the report: key=value lines. */
void load_report_format (const LoadReport *report, GString *out);
