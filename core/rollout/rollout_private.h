/* Internal state of a roll-out, shared by core/rollout/rollout*.c. */
#pragma once

#include "core/latency_model.h"
#include "core/rollout/rollout.h"

/* Further routes share the last row. */
#define DP_ROLLOUT_ROUTES_MAX 32
/* Answers are compared by slots of time. */
#define DP_ROLLOUT_SLOT (250 * DP_USEC_PER_MSEC)
/* The old version's rate is taken over 10 s. */
#define DP_ROLLOUT_SLOTS 40
/* A good version passes it with a probability of at most exp (-12) for each answer that starts
 * a sum: 1 in 80 roll-outs with 1,000 answers, counted twice (overall and by route). */
#define DP_ROLLOUT_THRESHOLD 12.0

typedef struct DpRolloutSlot
{
  guint answers;
  guint bad;
} DpRolloutSlot;

/* Sequential comparison of two streams of answers. */
typedef struct DpRolloutChart
{
  DpRolloutSlot old_slots[DP_ROLLOUT_SLOTS];
  DpRolloutSlot new_slots[DP_ROLLOUT_SLOTS];
  gint64 slot; /* current one, counted from time 0 */
  guint64 old_answers;
  guint64 old_bad;
  guint64 new_answers;
  guint64 new_bad;
  double expected_bad; /* of new_answers, at the old version's rate */
  double score;
} DpRolloutChart;

/* One route's part of the budget and of the evidence. */
typedef struct DpRolloutRoute
{
  DpName name;
  guint64 counted;  /* requests of which the new version gets a share */
  double allowance; /* requests that may go to the new version now */
  DpRolloutChart chart;
  DpLatencyModel old_times;
  guint old_times_count;
} DpRolloutRoute;

/* Speed of one target's machine, relative to the old version's average. */
typedef struct DpRolloutSpeed
{
  gboolean is_new;
  double base; /* low quantile of its times relative to expected ones */
  guint answers;
  DpUsec broken_at;  /* start of a series of failures; 0: none */
  DpUsec counted_at; /* last failure of the series that was counted */
} DpRolloutSpeed;

struct DpRollout
{
  DpRolloutOptions options;
  DpRolloutOrder order;
  DpUsec started_at; /* of the order */
  DpUsec now;
  DpRolloutState wanted;
  DpRolloutCause cause;
  DpName cause_route;
  DpUsec switched_at;
  gboolean saw_old; /* a target of another version */
  DpRolloutFacts facts;
  guint participants;
  /* exposure */
  guint step;
  DpUsec step_at;
  guint64 step_answers; /* of the new version, when the step began */
  guint64 counted;
  gboolean is_open; /* see dp_rollout_budget_is_open() */
  guint route_count;
  DpRolloutRoute routes[DP_ROLLOUT_ROUTES_MAX];
  /* evidence */
  DpRolloutChart overall;
  GHashTable *speeds;  /* DpName of a target -> DpRolloutSpeed */
  double slowest_base; /* of the old version's targets; 0: not known */
  double fastest_base;
  DpUsec bases_at;
  DpRolloutCounts old_version;
  DpRolloutCounts new_version;
};

DpRolloutRoute *dp_rollout_route (DpRollout *rollout, DpName name);

/* --- rollout_budget.c: how many requests go to the new version --- */

guint dp_rollout_step_count (void);
/* Share of the requests in the current step. */
double dp_rollout_share (const DpRollout *rollout);
/* Number of new targets that take part. */
guint dp_rollout_count_participants (const DpRollout *rollout);
gboolean dp_rollout_budget_allows (DpRollout *rollout, const DpRolloutRequest *request);
/* Goes to the next step if the evidence of the current one suffices. */
gboolean dp_rollout_next_step (DpRollout *rollout);

/* --- rollout_test.c: is the new version worse? --- */

void dp_rollout_test_init (DpRollout *rollout);
void dp_rollout_test_add (DpRollout *rollout, const DpRolloutAnswer *answer);
/* Evaluates the slots that are over. */
void dp_rollout_test_advance (DpRollout *rollout);
/* Returns the cause to roll back, or NONE. */
DpRolloutCause dp_rollout_test_verdict (const DpRollout *rollout, DpName *route);
double dp_rollout_test_score (const DpRollout *rollout);
/* TRUE if enough answers of the new version were seen to complete the roll-out. */
gboolean dp_rollout_test_has_enough (const DpRollout *rollout);
