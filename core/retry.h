/* Decides what to do after an attempt has failed to give the caller a successful response. */
#pragma once

#include "common/id.h"

#include <glib.h>

/* How the attempt ended. */
typedef enum DpAttemptEnd
{
  DP_ATTEMPT_UNSENT,   /* no byte reached the target */
  DP_ATTEMPT_NO_PATH,  /* the same, and this VM has no path to any other target either */
  DP_ATTEMPT_DECLINED, /* the target states that it did not and will not run it */
  DP_ATTEMPT_BROKE,    /* response missing or incomplete; it may have run */
  DP_ATTEMPT_ERROR,    /* complete error response */
  DP_ATTEMPT_SILENT, /* not ended, but the target has sent nothing for too long; it may go on */
} DpAttemptEnd;

typedef struct DpAttemptFacts
{
  DpAttemptEnd end;
  gboolean is_repeatable;
  gboolean may_have_run;   /* in this attempt or an earlier one */
  gboolean answer_started; /* the response head was sent to the caller */
  gboolean can_resume;     /* another target can continue a started response */
  guint runs;              /* attempts that may have run */
  guint runs_max;
  guint attempt_count;    /* all attempts, declined ones included */
  gboolean within_budget; /* the retry budget allows another attempt */
  DpUsec time_left;
  DpUsec silence; /* if DP_ATTEMPT_SILENT: time since the request was sent */
} DpAttemptFacts;

typedef enum DpNextStep
{
  DP_STEP_RETRY,   /* at another target */
  DP_STEP_FORWARD, /* forward the target's error response to the caller */
  DP_STEP_NOT_RUN, /* refuse: it did not run, the caller may retry */
  DP_STEP_UNKNOWN, /* fail: it may have run */
  DP_STEP_ABORT,   /* end the response so that the caller sees it is truncated */
  DP_STEP_WAIT,    /* leave the attempt as it is */
} DpNextStep;

DpNextStep dp_retry_decide (const DpAttemptFacts *facts);

/* A VM's share of a pool's retry budget, over a sliding window. */
#define DP_RETRY_BUDGET_SLOTS 12
typedef struct DpRetryBudget
{
  double ratio; /* retries per request */
  double slack; /* additional retries of this VM per window */
  DpUsec window;
  guint requests[DP_RETRY_BUDGET_SLOTS];
  guint retries[DP_RETRY_BUDGET_SLOTS];
  gint64 slot; /* absolute number of the newest slot */
} DpRetryBudget;

void dp_retry_budget_init (DpRetryBudget *budget, double ratio, DpUsec window);
/* Divides `slack` additional retries per window evenly among `vms` VMs. The slack is 0 before
 * the first call. */
void dp_retry_budget_set_slack (DpRetryBudget *budget, double slack, guint vms);
void dp_retry_budget_count_request (DpRetryBudget *budget, DpUsec now);
gboolean dp_retry_budget_allows (DpRetryBudget *budget, DpUsec now);
/* Consumes one retry. Returns FALSE if the budget is exhausted: don't retry. */
gboolean dp_retry_budget_spend (DpRetryBudget *budget, DpUsec now);
