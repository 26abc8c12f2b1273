/* Refusal at the VM that took the request, while the pool's owner refuses its like on arrival.
 *
 * Answers the load in which callers ask for several times what a pool can serve: without it
 * each refusal costs a message to the owner and one back, and the owner's processor is what
 * all others wait for. A refusal holds for a short time, so that a few requests of each VM keep
 * asking.
 */
#pragma once

#include "common/id.h"
#include "core/message.h"

#include <glib.h>

/* The last refusal of one urgency. */
typedef struct DpShedRow
{
  DpUsec until; /* refused until then; 0: not */
  DpUsec
    objective_left; /* of the request that was refused: with less of either time a request */
  DpUsec remaining; /* has less of a chance */
  DpUsec retry_after;
  DpReason reason;
} DpShedRow;

typedef struct DpShed
{
  DpShedRow rows[DP_URGENCY_COUNT];
} DpShed;

/* What decides whether a request is like another one. */
typedef struct DpShedRequest
{
  guint urgency;
  DpUsec objective_left;
  DpUsec remaining; /* until its deadline */
} DpShedRequest;

/* The owner has refused such a request since too much waits. */
void dp_shed_note (
  DpShed *shed, const DpShedRequest *request, DpReason reason, DpUsec retry_after, DpUsec now);

/* NONE: the owner is to be asked. Otherwise why the request is refused, and when its caller
 * should come back. */
DpReason dp_shed_check (const DpShed *shed,
                        const DpShedRequest *request,
                        DpUsec now,
                        DpUsec *retry_after);
