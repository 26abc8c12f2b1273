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

const char *dp_rollout_state_name (DpRolloutState state);
const char *dp_rollout_cause_name (DpRolloutCause cause);
