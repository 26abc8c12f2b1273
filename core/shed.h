/* Refusal at the VM that took the request, while the pool's owner refuses its like on arrival.
 *
 * Answers the load in which callers ask for several times what a pool can serve: without it
 * each refusal costs a message to the owner and one back, and the owner's processor is what
 * all others wait for. A refusal holds for a short time, so that one request of each VM keeps
 * asking, and the owner hears how many were refused in between.
 */
#pragma once

#include "common/id.h"
#include "core/message.h"

#include <glib.h>

typedef struct DpShed
{
  struct
  {
    DpUsec until;     /* refused until then; 0: not */
    DpUsec goal_left; /* what has less time to be on time has less of a chance */
    DpUsec retry_after;
    DpReason reason;
    guint refused; /* since the last ask */
  } rows[DP_URGENCY_COUNT];
} DpShed;

/* The owner has refused such a request as soon as it came. */
void dp_shed_note (DpShed *shed,
                   guint urgency,
                   DpUsec goal_left,
                   DpReason reason,
                   DpUsec retry_after,
                   DpUsec now);

/* NONE: the owner is to be asked. Otherwise why the request is refused, and when its caller
 * should come back; the refusal is counted. */
DpReason
dp_shed_check (DpShed *shed, guint urgency, DpUsec goal_left, DpUsec now, DpUsec *retry_after);

/* Refused since the last call, for the ask that is sent now. */
guint dp_shed_take_count (DpShed *shed, guint urgency);
