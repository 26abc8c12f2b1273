/* How many requests an owner assigns to a target beyond its slots, so that no slot is idle
 * while a result and the next grant are on their way.
 *
 * An owner measures, per pool, the time that its VMs' requests spend in slots and on the way.
 * How many requests a target lets wait isn't known, so each rejection lowers the number for
 * that target for some seconds. Does not choose targets, see
 * core/dispatcher/dispatcher_targets.c.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

/* Zero-initialized: nothing was measured. */
typedef struct DpTransit
{
  double transit_ms; /* mean time from a grant to its result, less the time in the slot */
  double slot_ms;    /* mean time in a slot */
  guint count;       /* of results, as far as it determines the weight of the next one */
} DpTransit;

/* A result has arrived `held` after the grant; the request was in its slot for `in_slot`. */
void dp_transit_record (DpTransit *transit, DpUsec held, DpUsec in_slot);
/* Number of requests beyond `slots`, at most as many again. */
guint dp_transit_extra (const DpTransit *transit, guint slots);

/* Bound of one target after rejections. Zero-initialized: none. */
typedef struct DpTransitBound
{
  guint max;
  DpUsec lowered_at; /* 0: never */
} DpTransitBound;

/* The target has rejected a request while `extra` requests beyond its slots were allowed. */
void dp_transit_bound_lower (DpTransitBound *bound, guint extra, DpUsec now);
/* Returns `extra` or the bound, whichever is lower. */
guint dp_transit_bound_apply (const DpTransitBound *bound, guint extra, DpUsec now);
