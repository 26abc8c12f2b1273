/* Rate limits of workspaces over all VMs.
 *
 * In any window a workspace may use what its rate brings in that time, and its burst. Each
 * limit has one VM that keeps count (see core/owners.h); the other VMs ask it for credit ahead
 * of their use. A VM spends its credit, and goes into a small debt while the keeper has said
 * that there is enough, so that few requests wait for an answer. Without a keeper's answer a VM
 * uses an equal share of the limit.
 */
#pragma once

#include "common/id.h"
#include "core/message.h"

#include <glib.h>

typedef struct DpQuotaLimit
{
  DpName workspace;
  double per_second; /* 0: none */
  double burst;
  DpUsec window;
} DpQuotaLimit;

/* --- at the VM that takes requests --- */

typedef struct DpQuotaUser DpQuotaUser;

DpQuotaUser *dp_quota_user_new (void);
void dp_quota_user_free (DpQuotaUser *user);

typedef enum DpQuotaVerdict
{
  DP_QUOTA_ADMITTED, /* and charged */
  DP_QUOTA_REFUSED,  /* the workspace is over its limit */
  DP_QUOTA_WAITS,    /* until the keeper answers the ask that is due now */
} DpQuotaVerdict;

/* What is asked of a limit. */
typedef struct DpQuotaRequest
{
  double cost;
  guint vms;       /* share the limit while no keeper answers */
  guint64 counted; /* 0 at first; which answer it waits for */
} DpQuotaRequest;

/* A request has come. If it is refused, `retry_after` says when to come back. */
DpQuotaVerdict dp_quota_user_admit (DpQuotaUser *user,
                                    const DpQuotaLimit *limit,
                                    DpQuotaRequest *request,
                                    DpUsec now,
                                    DpUsec *retry_after);
/* The same for one that waits: after an answer, and from time to time without one. */
DpQuotaVerdict dp_quota_user_admit_again (DpQuotaUser *user,
                                          const DpQuotaLimit *limit,
                                          DpQuotaRequest *request,
                                          DpUsec now,
                                          DpUsec *retry_after);
/* Gives back what a request was charged that ran nowhere. */
void dp_quota_user_give_back (DpQuotaUser *user, DpName workspace, double cost);
/* Appends the asks (DpLimitAsk) that are due. */
void dp_quota_user_due_asks (DpQuotaUser *user, DpUsec now, GArray *out);
/* The same for one workspace, after a request of it has come: an ask is due at once if it is in
 * debt or requests wait. FALSE: none is due. */
gboolean
dp_quota_user_due_ask (DpQuotaUser *user, DpName workspace, DpUsec now, DpLimitAsk *ask);
void dp_quota_user_given (DpQuotaUser *user, const DpLimitGiven *given);

/* --- at the VM that keeps a limit --- */

typedef struct DpQuotaKeeper DpQuotaKeeper;

/* A limit that is kept from before `fresh_until` on starts unused. */
DpQuotaKeeper *dp_quota_keeper_new (DpUsec fresh_until);
void dp_quota_keeper_free (DpQuotaKeeper *keeper);
/* `reach` is the part of all VMs that can ask here, 0 to 1: the rest has a keeper of its own.
 */
DpLimitGiven dp_quota_keeper_ask (DpQuotaKeeper *keeper,
                                  const DpQuotaLimit *limit,
                                  const DpLimitAsk *ask,
                                  double reach,
                                  DpUsec now);
