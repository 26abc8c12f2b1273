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
/* Sums for a small and for a large increase of the rate, which is found sooner. */
#define DP_ROLLOUT_SUMS 2
/* A good version passes it with a probability of at most exp (-12) for each answer that starts
 * a sum: 1 in 40 roll-outs with 1,000 answers in two sums each, overall and by route. */
#define DP_ROLLOUT_THRESHOLD 12.0
/* With a sum above this, the share is not raised and requests aren't switched: the next answers
 * decide. A good version has one rarely, and not for long. */
#define DP_ROLLOUT_DOUBT 4.0
/* Threshold when the time to wait is over: the sums are compared with it once only, and all
 * requests would go to the new version next. */
#define DP_ROLLOUT_THRESHOLD_LAST 7.0

/* Requests and their bad answers count in the slot in which the request was assigned. Counted
 * when they come, fast failures would outnumber slower good answers for a moment each time that
 * more requests go to a version. */
typedef struct DpRolloutSlot
{
  guint requests;
  guint bad;
} DpRolloutSlot;

/* Sequential comparison of two streams of answers. */
typedef struct DpRolloutChart
{
  DpRolloutSlot old_slots[DP_ROLLOUT_SLOTS];
  DpRolloutSlot new_slots[DP_ROLLOUT_SLOTS];
  gint64 slot; /* current one, counted from time 0 */
  guint64 old_requests;
  guint64 old_bad;
  guint64 new_answers; /* that have come */
  /* of the new version's requests in evaluated slots */
  guint64 new_bad;
  double expected_bad; /* at the old version's rate */
  double old_peak;     /* highest rate of the old version at a moment */
  double sums[DP_ROLLOUT_SUMS];
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
  DpUsec broken_at; /* start of a series of failures; 0: none */
  DpUsec break_counted_at;
  DpUsec slow_since; /* begin of a second with slow answers */
  guint slow_counted;
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
void dp_rollout_test_add_request (DpRollout *rollout, DpName route, gboolean on_new);
void dp_rollout_test_add (DpRollout *rollout, const DpRolloutAnswer *answer);
/* Evaluates the slots that are over. */
void dp_rollout_test_advance (DpRollout *rollout);
/* Returns the cause to roll back, or NONE. */
DpRolloutCause dp_rollout_test_verdict (const DpRollout *rollout, DpName *route);
double dp_rollout_test_score (const DpRollout *rollout);
/* TRUE if enough answers of the new version were seen to complete the roll-out. */
gboolean dp_rollout_test_has_enough (const DpRollout *rollout);
