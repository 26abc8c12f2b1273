/* Internal state of core/capacity/. */
#pragma once

#include "core/capacity/capacity.h"

/* Measurements kept per target: about those of the last ten seconds of a busy one. */
#define DP_CAPACITY_ROWS 64

typedef struct DpCapacityRow
{
  guint urgency;
  guint prompt_tokens;
  float running;
  gboolean has_objective;
  gboolean is_late;
  gboolean is_complete;
  DpUsec sent_at;
  DpUsec duration;
} DpCapacityRow;

typedef enum DpCapacityState
{
  DP_CAPACITY_STEADY,
  DP_CAPACITY_LOWERING, /* a lower limit is tried */
  DP_CAPACITY_RAISING,  /* a higher one is tried */
} DpCapacityState;

/* Useful work per time, as a logarithm, in a group of measurements. */
typedef struct DpCapacityScore
{
  guint count;
  double running;  /* average concurrency */
  double slowness; /* median time in a slot relative to the pool's, as a logarithm */
  double value;
  double error; /* standard error of `value` */
  DpUsec span;  /* from the first request's start to the last one's end */
} DpCapacityScore;

struct DpCapacity
{
  DpCapacityPool *pool;
  guint ceiling;
  guint limit;
  DpCapacityState state;
  guint confirmed;           /* limit to return to after a trial that was not confirmed */
  DpCapacityScore reference; /* score at `confirmed`, for a trial */
  DpUsec trial_at;
  DpUsec checked_at;
  DpUsec raise_at; /* a lowered limit is tried higher from then on */
  DpUsec raise_interval;
  guint raise_step;
  DpUsec lower_at; /* no trial of a lower limit before */
  DpUsec lower_interval;
  DpUsec compared_at;  /* last comparison with lower concurrency */
  DpUsec binding_at;   /* last time that the number of requests was at the limit */
  DpUsec demand_at;    /* last time that requests were waiting */
  DpUsec saturated_at; /* since then they were */
  DpUsec measured_at;  /* last measurement, or that of the owner whose limit was adopted */
  /* number of requests at the target */
  guint running;
  double area;
  DpUsec area_at;
  /* prompts not read yet */
  guint prompts;
  guint64 tokens;
  DpUsec reading_since;
  /* measurements, oldest overwritten */
  guint row_count;
  guint next_row;
  DpCapacityRow rows[DP_CAPACITY_ROWS];
};

/* Selects measurements: average concurrency in [low, high], sent at or after `sent_after` and
 * ended at or after `ended_after`; the newest `count_max` of them. */
typedef struct DpCapacityGroup
{
  double low;
  double high;
  DpUsec sent_after;
  DpUsec ended_after;
  guint count_max;
} DpCapacityGroup;

DpCapacityScore dp_capacity_score (const DpCapacity *capacity, const DpCapacityGroup *group);
