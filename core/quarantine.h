/* Quarantine of requests that crash targets, by a fingerprint of what the target receives.
 *
 * A request is refused for a while after several targets broke off while serving it and none
 * completed it in between. Processes exchange their counts in DpQuarantine messages.
 */
#pragma once

#include "core/message.h"

typedef struct DpQuarantineOptions
{
  guint failures_max;     /* number of failures from which the request is refused */
  DpUsec block_duration;  /* how long it is refused after the last failure */
  DpUsec memory_duration; /* how long the count is kept after the last failure */
  guint rows_max;         /* once reached, new fingerprints are not counted */
} DpQuarantineOptions;

typedef struct DpQuarantineTable DpQuarantineTable;

DpQuarantineTable *dp_quarantine_new (const DpQuarantineOptions *options);
void dp_quarantine_free (DpQuarantineTable *table);

/* TRUE if the request must not be sent. `remaining` (may be NULL) is set to the time left. */
gboolean dp_quarantine_blocks (const DpQuarantineTable *table,
                               guint64 fingerprint,
                               DpUsec now,
                               DpUsec *remaining);

/* Counts a target that broke off while serving the request. Returns the new count; 0 if this
 * failure is part of one that was already counted, or if the table is full. */
guint dp_quarantine_record_failure (DpQuarantineTable *table,
                                    guint64 fingerprint,
                                    DpName target,
                                    DpUsec now);

/* Clears the count after a complete response. Returns FALSE if there was none. */
gboolean dp_quarantine_clear (DpQuarantineTable *table, guint64 fingerprint);

/* Merges another process's count: the higher count and the later times apply, 0 failures clear
 * it. */
void dp_quarantine_merge (DpQuarantineTable *table, const DpQuarantine *message, DpUsec now);

/* Builds the message with this process's count; 0 failures if there is none. */
DpMessage
dp_quarantine_message (const DpQuarantineTable *table, guint64 fingerprint, DpUsec now);

/* Number of fingerprints with a count. */
guint dp_quarantine_count (const DpQuarantineTable *table);

/* Removes expired counts. */
void dp_quarantine_tick (DpQuarantineTable *table, DpUsec now);
