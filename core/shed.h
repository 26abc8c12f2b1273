/* Load shedding at the VM that accepted a request, while the pool's owner is refusing similar
 * requests.
 *
 * When callers send several times what a pool can serve, each refusal by the owner costs a
 * message in each direction, and the owner's CPU becomes the bottleneck for all other requests.
 * A refusal is reused only briefly, so that a few requests of each VM still reach the owner.
 */
#pragma once

#include "common/id.h"
#include "core/message.h"

#include <glib.h>

/* The owner's last refusal at one urgency. It applies to requests whose objective_left and
 * remaining are both no greater than the refused request's. */
typedef struct DpShedRefusal
{
  DpUsec until;          /* refuse until then; 0: no refusal */
  DpUsec objective_left; /* of the refused request */
  DpUsec remaining;      /* of the refused request */
  DpUsec retry_after;
  DpReason reason;
} DpShedRefusal;

typedef struct DpShed
{
  DpShedRefusal refusals[DP_URGENCY_LEVELS];
} DpShed;

/* The properties that decide whether a refusal applies to a request. */
typedef struct DpShedRequest
{
  guint urgency;
  DpUsec objective_left; /* until the first byte is late */
  DpUsec remaining;      /* until its deadline */
} DpShedRequest;

/* Records that the owner refused `request` because too many requests are waiting. */
void dp_shed_record_refusal (
  DpShed *shed, const DpShedRequest *request, DpReason reason, DpUsec retry_after, DpUsec now);

/* Returns the reason to refuse the request without asking the owner, and sets *retry_after; or
 * DP_REASON_NONE, and leaves *retry_after unchanged. */
DpReason dp_shed_check (const DpShed *shed,
                        const DpShedRequest *request,
                        DpUsec now,
                        DpUsec *retry_after);
