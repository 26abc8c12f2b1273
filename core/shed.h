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

typedef struct DpShed
{
  struct
  {
    DpUsec until;     /* refused until then; 0: not */
    DpUsec goal_left; /* what has less time to be on time has less of a chance */
    DpUsec retry_after;
    DpReason reason;
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
 * should come back. */
DpReason dp_shed_check (
  const DpShed *shed, guint urgency, DpUsec goal_left, DpUsec now, DpUsec *retry_after);
