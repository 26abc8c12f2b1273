/* Staged roll-out of a new version of one pool, as its owner decides it.
 *
 * Owns, for one order: how many requests may go to the new version and to which of its targets
 * (exposure), the comparison of both versions' answers (sequential test), the switch of all
 * requests to the new version, and the verdict with its cause. The choice of a target among
 * those that are allowed stays with the dispatcher. The order's record in the store and the
 * messages about it belong to the node.
 *
 * All state is soft: another owner starts with no exposure and no evidence. Statistics and
 * error rates: docs/design/rollouts.md. Does no I/O and reads no clock.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef enum DpRolloutState
{
  DP_ROLLOUT_NONE,      /* no order */
  DP_ROLLOUT_RUNNING,   /* a part of the requests goes to the new version */
  DP_ROLLOUT_SWITCHING, /* all new requests go to the new version, `completed` isn't written yet
                         */
  DP_ROLLOUT_COMPLETED,
  DP_ROLLOUT_ROLLED_BACK,
  DP_ROLLOUT_UNCERTAIN, /* a final state was written without an answer, or the orders are not
                         * known: nothing goes to the new version */
} DpRolloutState;

/* What decided on the state that an owner wants. */
typedef enum DpRolloutCause
{
  DP_ROLLOUT_CAUSE_NONE,        /* not decided yet */
  DP_ROLLOUT_CAUSE_TOLD,        /* the store or another VM */
  DP_ROLLOUT_CAUSE_GOOD,        /* enough answers, and no worse than the old version */
  DP_ROLLOUT_CAUSE_NO_OLD,      /* no targets of another version, nothing to compare with */
  DP_ROLLOUT_CAUSE_BAD_ANSWERS, /* the test over all routes */
  DP_ROLLOUT_CAUSE_BAD_ROUTE,   /* the test of one route */
  DP_ROLLOUT_CAUSE_BAD_COUNT,   /* more bad answers than expected in total */
  DP_ROLLOUT_CAUSE_NO_TARGETS,  /* no targets of the new version */
  DP_ROLLOUT_CAUSE_FEW_SLOTS,   /* the new targets can't take over the load */
  DP_ROLLOUT_CAUSE_FEW_ANSWERS, /* too few answers until shortly before the time limit */
  DP_ROLLOUT_CAUSE_IN_DOUBT, /* probably bad when the time to wait for more answers is over */
} DpRolloutCause;

typedef struct DpRolloutOrder
{
  DpName id;      /* of the order: hash of the object's created revision, target and duration */
  DpName version; /* new one */
  DpUsec duration;      /* from the order to its time limit */
  DpUsec age;           /* time since the order, as far as known */
  DpRolloutState state; /* as known from the store or from other VMs */
} DpRolloutOrder;

typedef struct DpRolloutOptions
{
  double expose_share;
  guint expose_slack;
  DpUsec rollback_time;
} DpRolloutOptions;

/* Requests and answers of one version since this VM knew the order. */
typedef struct DpRolloutCounts
{
  guint64 sent;
  guint64 good;
  guint64 bad;
} DpRolloutCounts;

typedef struct DpRolloutStatus
{
  DpName id;
  DpName version;
  DpRolloutState state; /* wanted by this VM as the owner */
  DpRolloutState known; /* as in the order */
  DpRolloutCause cause;
  DpName route; /* that decided; 0: all */
  guint step;   /* from 0 */
  guint steps;
  double share; /* of requests for the new version in this step */
  guint participants;
  guint old_targets;
  guint new_targets;
  guint old_slots;
  guint new_slots;
  guint old_running; /* requests that run at targets of other versions */
  DpRolloutCounts old_version;
  DpRolloutCounts new_version;
  double score; /* highest current sum of the tests */
  double threshold;
  DpUsec age; /* of the order */
} DpRolloutStatus;

typedef struct DpRollout DpRollout;

DpRollout *
dp_rollout_new (const DpRolloutOptions *options, const DpRolloutOrder *order, DpUsec now);
void dp_rollout_free (DpRollout *rollout);
/* The same order, with a new age and state. */
void dp_rollout_update (DpRollout *rollout, const DpRolloutOrder *order, DpUsec now);
DpName dp_rollout_id (const DpRollout *rollout);
DpName dp_rollout_version (const DpRollout *rollout);
/* State in force for requests: the stricter of what is known and what this VM wants. */
DpRolloutState dp_rollout_state (const DpRollout *rollout);
/* TRUE while only a share of the requests may go to the new version. */
gboolean dp_rollout_is_limited (const DpRollout *rollout);
/* FALSE if no request may be sent to that version any more, also to go on with a stream. */
gboolean dp_rollout_may_resume (const DpRollout *rollout, gboolean on_new);

/* --- exposure --- */

typedef struct DpRolloutTarget
{
  DpName name;
  gboolean is_new;
  gboolean is_participant; /* set by dp_rollout_choose() */
} DpRolloutTarget;

/* Chooses the new targets that take part in the current step. */
void dp_rollout_choose (const DpRollout *rollout, DpRolloutTarget *targets, guint count);

typedef struct DpRolloutRequest
{
  DpName route;
  gboolean is_retry; /* of a request that has failed, or the rest of a stream */
  gboolean is_bound; /* goes on with a stream of one version */
} DpRolloutRequest;

/* TRUE if the request may be sent to that version; NULL: if any request may. */
gboolean
dp_rollout_allows (DpRollout *rollout, const DpRolloutRequest *request, gboolean on_new);

/* A request was assigned to a target. Returns the number to pass to dp_rollout_uncount(). */
double dp_rollout_record_grant (DpRollout *rollout,
                                const DpRolloutRequest *request,
                                gboolean on_new,
                                DpUsec now);
/* The request will be assigned again or its end is not known: it no longer counts as one of the
 * requests of which the new version gets a share. */
void dp_rollout_uncount (DpRollout *rollout, DpName route, double counted);

/* --- answers --- */

typedef enum DpRolloutOutcome
{
  DP_ROLLOUT_OUTCOME_COMPLETE,
  DP_ROLLOUT_OUTCOME_ERROR, /* a failure of this one response */
  DP_ROLLOUT_OUTCOME_BREAK, /* a failure that one crash causes for many requests */
  DP_ROLLOUT_OUTCOME_LEFT,  /* the caller or the deadline ended the request */
} DpRolloutOutcome;

typedef struct DpRolloutAnswer
{
  DpName target;
  gboolean is_new;
  DpRolloutRequest request;
  guint prompt_tokens;
  DpUsec granted_at;
  DpUsec first_event; /* after the request was sent; 0: none */
  DpUsec duration;    /* in total */
  DpRolloutOutcome outcome;
} DpRolloutAnswer;

void dp_rollout_record_answer (DpRollout *rollout, const DpRolloutAnswer *answer, DpUsec now);

/* --- decision --- */

typedef struct DpRolloutFacts
{
  guint old_targets; /* that accept requests */
  guint new_targets;
  guint old_slots;
  guint new_slots; /* of those that don't fail */
  guint old_running;
} DpRolloutFacts;

/* Returns TRUE if the wanted state or the step has changed. */
gboolean dp_rollout_tick (DpRollout *rollout, const DpRolloutFacts *facts, DpUsec now);
void dp_rollout_get_status (const DpRollout *rollout, DpRolloutStatus *status);

const char *dp_rollout_state_name (DpRolloutState state);
const char *dp_rollout_cause_name (DpRolloutCause cause);
