/* Requests that bring targets down, by a fingerprint of what the target gets.
 *
 * A request under which several targets broke off, and that none has answered whole in between,
 * is refused for a while. Processes tell each other their counts in DpQuarantine messages.
 */
#pragma once

#include "core/message.h"

typedef struct DpQuarantineOptions
{
  guint failures_max; /* from so many on, the request is refused */
  DpUsec hold_time;   /* for which it is refused */
  DpUsec memory_time; /* for which the count is kept after the last failure */
  guint rows_max;     /* beyond it, new fingerprints are not counted */
} DpQuarantineOptions;

typedef struct DpQuarantineTable DpQuarantineTable;

DpQuarantineTable *dp_quarantine_new (const DpQuarantineOptions *options);
void dp_quarantine_free (DpQuarantineTable *table);

/* TRUE if the request must not be sent; `remaining`, which may be NULL, gets for how long. */
gboolean dp_quarantine_holds (const DpQuarantineTable *table,
                              guint64 fingerprint,
                              DpUsec now,
                              DpUsec *remaining);

/* A target broke off under the request. Returns the count now; 0 if this failure did not count,
 * since it belongs to one that did. */
guint
dp_quarantine_add (DpQuarantineTable *table, guint64 fingerprint, DpName target, DpUsec now);

/* A target answered it whole. FALSE if nothing was counted. */
gboolean dp_quarantine_clear (DpQuarantineTable *table, guint64 fingerprint);

/* Another process's count. */
void dp_quarantine_take (DpQuarantineTable *table, const DpQuarantine *message, DpUsec now);

/* What to tell others; with 0 failures if nothing is counted. */
DpMessage
dp_quarantine_message (const DpQuarantineTable *table, guint64 fingerprint, DpUsec now);

/* Fingerprints with a count. */
guint dp_quarantine_count (const DpQuarantineTable *table);

/* Forgets what is too old. */
void dp_quarantine_tick (DpQuarantineTable *table, DpUsec now);
