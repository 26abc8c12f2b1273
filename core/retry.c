#include "core/retry.h"

/* Time that must be left for another sending to be worth it. */
#define TIME_MIN (30 * DP_USEC_PER_MSEC)
/* Sendings of one request, those that were declined included. */
#define SENDINGS_MAX 4
/* Part of the stated budget that is used: other VMs' counts are not known here. */
#define BUDGET_PART 0.75

static gboolean
may_send_again (const DpAttemptFacts *facts)
{
  return facts->within_budget && facts->sendings < SENDINGS_MAX && facts->time_left > TIME_MIN
         && (!facts->answer_begun || facts->can_go_on);
}

DpNextStep
dp_retry_decide (const DpAttemptFacts *facts)
{
  gboolean again = may_send_again (facts);
  switch (facts->end)
    {
    case DP_ATTEMPT_UNSENT:
    case DP_ATTEMPT_DECLINED:
      if (again)
        return DP_STEP_AGAIN;
      break;
    case DP_ATTEMPT_BROKE:
      if (again && facts->is_repeatable && facts->runs < facts->runs_max)
        return DP_STEP_AGAIN;
      break;
    case DP_ATTEMPT_ERROR:
      if (again && facts->is_repeatable && facts->runs < facts->runs_max)
        return DP_STEP_AGAIN;
      if (!facts->answer_begun)
        return DP_STEP_PASS_ON;
      break;
    }
  if (facts->answer_begun)
    return DP_STEP_BREAK_OFF;
  return facts->may_have_run ? DP_STEP_UNKNOWN : DP_STEP_NOT_RUN;
}

void
dp_retry_budget_init (DpRetryBudget *budget, double ratio, DpUsec window)
{
  budget->ratio = ratio * BUDGET_PART;
  budget->window = window;
}

void
dp_retry_budget_set_spare (DpRetryBudget *budget, double slack, guint vms)
{
  budget->spare = slack * BUDGET_PART / MAX (vms, 1);
}

/* Forgets slots that have left the window. One slot more than the window has is kept, since the
 * newest is not full. */
static guint
advance (DpRetryBudget *budget, DpUsec now)
{
  DpUsec width = MAX (budget->window / (DP_BUDGET_SLOTS - 1), 1);
  gint64 slot = now / width;
  gint64 steps = MIN (slot - budget->slot, DP_BUDGET_SLOTS);
  for (gint64 i = 0; i < steps; i++)
    {
      guint index = (guint)((slot - i) % DP_BUDGET_SLOTS);
      budget->requests[index] = 0;
      budget->repeats[index] = 0;
    }
  budget->slot = MAX (slot, budget->slot);
  return (guint)(budget->slot % DP_BUDGET_SLOTS);
}

void
dp_retry_budget_count_request (DpRetryBudget *budget, DpUsec now)
{
  budget->requests[advance (budget, now)]++;
}

gboolean
dp_retry_budget_spend (DpRetryBudget *budget, DpUsec now)
{
  guint newest = advance (budget, now);
  guint requests = 0;
  guint repeats = 0;
  for (guint i = 0; i < DP_BUDGET_SLOTS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
    }
  if (repeats + 1 > requests * budget->ratio + budget->spare)
    return FALSE;
  budget->repeats[newest]++;
  return TRUE;
}
