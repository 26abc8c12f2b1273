/* Admission control of a pool's dispatcher: what keeps a request from waiting in vain.
 *
 * Owns two pieces of soft state at the pool's owner: the rate at which work arrives, by urgency
 * (DpInflow), and the refused requests whose callers are expected to come back (DpReturns). A
 * new owner starts without either and learns them within a second.
 */
#pragma once

#include "core/message.h"

#include <glib.h>

/* --- work that arrives --- */

/* Decaying sums of the work that requests of each urgency have brought lately. */
typedef struct DpInflow
{
  double work_ms[DP_URGENCY_LEVELS];
  DpUsec updated_at;
  DpUsec began_at; /* first arrival after a pause */
} DpInflow;

/* A request has arrived that will take this time in a slot. */
void dp_inflow_add (DpInflow *inflow, guint urgency, double slot_ms, DpUsec now);

/* Average number of slots that requests which are more urgent than this keep busy as they
 * arrive; 0 until arrivals were seen for long enough. */
double dp_inflow_slots_above (const DpInflow *inflow, guint urgency, DpUsec now);

/* --- refused requests --- */

typedef struct DpReturns DpReturns;

DpReturns *dp_returns_new (void);
void dp_returns_free (DpReturns *returns);

/* The request was refused; its caller may come back until `until`. Requests without a prompt
 * have nothing by which they are recognized. */
void dp_returns_expect (DpReturns *returns, const DpGrantAsk *ask, DpUsec until, DpUsec now);

/* TRUE if the request was refused before; it is forgotten then. */
gboolean dp_returns_take (DpReturns *returns, const DpGrantAsk *ask, DpUsec now);

guint dp_returns_count (const DpReturns *returns);
