/* What each target of a pool takes well, learned by the pool's owner.
 *
 * Owns, per target: the limit of concurrent requests, the measurements that it is based on, and
 * the prompts that the target has been given and has not read yet. Owns, per pool: the expected
 * time in a slot by kind of request, which makes measurements of different kinds comparable.
 * The dispatcher decides what to do with these numbers.
 *
 * The limit is between one and the ceiling (the target's slots plus one) and starts at the
 * ceiling. Measurements at lower concurrency that show clearly more useful work per time cause
 * a trial of a lower limit. A trial is kept only if measurements taken during the trial confirm
 * it, so that outdated measurements, a change in the mix of requests or a short slow period
 * don't lower a limit for long. A lowered limit is regularly tried one higher.
 *
 * Does no I/O and reads no clock.
 */
#pragma once

#include "core/latency_model.h"
#include "core/message.h"

typedef struct DpCapacity DpCapacity;

typedef enum DpCapacityMode
{
  DP_CAPACITY_LEARNED,
  DP_CAPACITY_SLOTS, /* the same window for all targets, from their slots */
} DpCapacityMode;

/* Shared by the targets of a pool. */
typedef struct DpCapacityPool
{
  DpLatencyModel durations[DP_URGENCY_LEVELS]; /* time in a slot by urgency and prompt */
  guint targets;
  guint trials;      /* targets whose limit is lowered on trial */
  DpUsec explore_at; /* no exploration before, see dp_capacity_pool_explore() */
  DpUsec explore_interval;
  DpCapacity *suspect; /* the slowest target to explore, found since the last one */
  double suspicion;
  guint lowered; /* number of limits lowered so far, trials included */
  guint raised;
  guint restored;         /* trials that were not confirmed */
  guint confirmed_in_row; /* trials that were, since the last that was not */
} DpCapacityPool;

void dp_capacity_pool_init (DpCapacityPool *pool);

/* The pool must outlive it. */
DpCapacity *dp_capacity_new (DpCapacityPool *pool, guint ceiling);
void dp_capacity_free (DpCapacity *capacity);
/* Changes the highest limit, which is at least 1. */
void dp_capacity_set_ceiling (DpCapacity *capacity, guint ceiling);
/* Forgets everything: the target has been restarted. */
void dp_capacity_reset (DpCapacity *capacity);

guint dp_capacity_limit (const DpCapacity *capacity);
gboolean dp_capacity_is_lowered (const DpCapacity *capacity);
/* Limit to announce to other VMs: the last confirmed one. */
guint dp_capacity_confirmed_limit (const DpCapacity *capacity);
/* Begins with a limit that another owner learned this long ago; it is checked like one that was
 * lowered here. Out of range or outdated: no effect, returns FALSE. */
gboolean dp_capacity_adopt (DpCapacity *capacity, guint limit, DpUsec age, DpUsec now);
/* Ends a trial without a result. */
void dp_capacity_end_trial (DpCapacity *capacity);
/* TRUE if there are measurements of this owner's own requests. */
gboolean dp_capacity_is_measured (const DpCapacity *capacity);
/* Time since the last measurement; G_MAXINT64: none. */
DpUsec dp_capacity_age (const DpCapacity *capacity, DpUsec now);
/* TRUE if that is too long ago to begin with the limit. */
gboolean dp_capacity_is_outdated (const DpCapacity *capacity, DpUsec now);

/* The number of requests at the target has changed to this. */
void dp_capacity_set_running (DpCapacity *capacity, guint running, DpUsec now);
/* Integral of the number of requests over time, in requests times microseconds. */
double dp_capacity_occupancy (const DpCapacity *capacity, DpUsec now);

/* A request that has left the target. */
typedef struct DpCapacitySample
{
  guint urgency;
  guint prompt_tokens;
  double running; /* average number of requests at the target while it was there */
  DpUsec sent_at;
  DpUsec duration;
  DpUsec first_event;   /* after sent_at; 0: there was none */
  DpUsec objective;     /* for the first event; 0: none */
  gboolean is_complete; /* FALSE: it was given up before its end */
} DpCapacitySample;

void dp_capacity_record (DpCapacity *capacity, const DpCapacitySample *sample, DpUsec now);
/* Decides about the limit; to be called regularly. `has_demand`: requests are waiting. Returns
 * TRUE if the limit has changed. */
gboolean dp_capacity_update (DpCapacity *capacity, gboolean has_demand, DpUsec now);
/* Tries a lower limit at one target that has been at its limit for seconds without measurements
 * at lower concurrency; to be called after all targets' updates. */
void dp_capacity_pool_explore (DpCapacityPool *pool, DpUsec now);

/* --- prompts: read one after another, in order of arrival --- */

void dp_capacity_add_prompt (DpCapacity *capacity, guint tokens, DpUsec now);
/* A prompt was read, i.e. the first event came, or its request has ended. */
void dp_capacity_remove_prompt (DpCapacity *capacity, guint tokens, DpUsec now);
guint dp_capacity_prompts (const DpCapacity *capacity);
/* Tokens still to be read, if a prompt token takes that long. */
guint dp_capacity_tokens_ahead (const DpCapacity *capacity, double ms_per_token, DpUsec now);
