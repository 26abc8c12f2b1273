/* Keeps a target that crashes when it rejects too many requests from rejecting any: it is given
 * only as many as can surely run, and after a rejection fewer.
 *
 * Runs at the pool's owner, which assigns all requests, like core/target_limiter.h.
 */
#pragma once

#include "core/use_window.h"

typedef struct DpBrittleTarget DpBrittleTarget;

/* Returns a target that stays closed until dp_brittle_target_collect(). */
DpBrittleTarget *dp_brittle_target_new (DpUsec now);
void dp_brittle_target_free (DpBrittleTarget *brittle);

/* TRUE if the VMs have not been asked yet for what they have sent. */
gboolean dp_brittle_target_is_unprepared (const DpBrittleTarget *brittle);
/* The VMs are asked now: waits for their reports. */
void dp_brittle_target_collect (DpBrittleTarget *brittle, DpUsec now);
/* Closes the target: others may have assigned requests meanwhile. */
void dp_brittle_target_reset (DpBrittleTarget *brittle);
/* The target has just started, so that nothing runs there. */
void dp_brittle_target_open (DpBrittleTarget *brittle);

/* The target rejected a request for lack of room; `assigned`: without it. */
void dp_brittle_target_record_rejection (DpBrittleTarget *brittle, guint assigned, DpUsec now);
/* The target has completed a request, which frees a slot. */
void dp_brittle_target_record_end (DpBrittleTarget *brittle);
/* A request was given up that the target may still run, until then at the latest. */
void dp_brittle_target_record_abandoned (DpBrittleTarget *brittle, DpUsec until);

typedef struct DpBrittleLoad
{
  guint rejections_max; /* in a second, as stated by the target */
  guint slots;
  guint assigned; /* requests */
} DpBrittleLoad;

/* Number of additional requests that can be assigned now. */
guint
dp_brittle_target_capacity (DpBrittleTarget *brittle, const DpBrittleLoad *load, DpUsec now);
