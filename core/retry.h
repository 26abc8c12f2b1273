/* What follows when one sending of a request has ended without an answer for the caller. */
#pragma once

#include "common/id.h"

#include <glib.h>

/* How one sending ended. */
typedef enum DpAttemptEnd
{
  DP_ATTEMPT_UNSENT,   /* certainly no byte reached the target */
  DP_ATTEMPT_DECLINED, /* the target says that it did not and will not run it */
  DP_ATTEMPT_BROKE,    /* no whole answer; it may have run */
  DP_ATTEMPT_ERROR,    /* a whole answer that tells of a failure */
} DpAttemptEnd;

typedef struct DpAttemptFacts
{
  DpAttemptEnd end;
  gboolean is_repeatable;
  gboolean may_have_run; /* this sending or an earlier one */
  gboolean answer_begun; /* the caller has the head of an answer */
  gboolean can_go_on;    /* a begun answer can go on at another target */
  guint runs;            /* sendings that may have run */
  guint runs_max;
  guint sendings;         /* all */
  gboolean within_budget; /* of repeats, over all VMs */
  DpUsec time_left;
} DpAttemptFacts;

typedef enum DpNextStep
{
  DP_STEP_AGAIN,     /* to another target */
  DP_STEP_PASS_ON,   /* the target's own answer is the caller's */
  DP_STEP_NOT_RUN,   /* refuse: it did not run, the caller may come back */
  DP_STEP_UNKNOWN,   /* fail: it may have run */
  DP_STEP_BREAK_OFF, /* end the begun answer so that the cut is seen */
} DpNextStep;

DpNextStep dp_retry_decide (const DpAttemptFacts *facts);

/* A VM's part of the repeats that a pool may get beyond first sendings, in a sliding window. */
#define DP_BUDGET_SLOTS 12
typedef struct DpRetryBudget
{
  double ratio; /* repeats for each request */
  double spare; /* repeats beside them, of this VM, in a window */
  DpUsec window;
  guint requests[DP_BUDGET_SLOTS];
  guint repeats[DP_BUDGET_SLOTS];
  gint64 slot; /* number of the newest slot */
} DpRetryBudget;

void dp_retry_budget_init (DpRetryBudget *budget, double ratio, DpUsec window);
/* `vms` share the spare repeats. Nothing is spare before it is called. */
void dp_retry_budget_set_spare (DpRetryBudget *budget, double slack, guint vms);
void dp_retry_budget_count_request (DpRetryBudget *budget, DpUsec now);
/* FALSE: the repeat must not be made. */
gboolean dp_retry_budget_spend (DpRetryBudget *budget, DpUsec now);
