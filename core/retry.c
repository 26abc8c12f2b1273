#include "core/retry.h"

/* With less time left, another attempt is not worth starting. */
#define REMAINING_TIME_MIN (30 * DP_USEC_PER_MSEC)
/* Attempts per request, declined ones included. */
#define ATTEMPTS_MAX 4
/* A sound target may send nothing for a second or so. */
#define SILENCE_MAX (1500 * DP_USEC_PER_MSEC)
/* Fraction of the configured budget that is used, since other VMs' counts are not known here.
 */
#define BUDGET_FRACTION 0.75

static gboolean
may_retry (const DpAttemptFacts *facts)
{
  return facts->within_budget && facts->attempt_count < ATTEMPTS_MAX
         && facts->time_left > REMAINING_TIME_MIN
         && (!facts->answer_started || facts->can_resume);
}

DpNextStep
dp_retry_decide (const DpAttemptFacts *facts)
{
  gboolean again = may_retry (facts);
  switch (facts->end)
    {
    case DP_ATTEMPT_UNSENT:
    case DP_ATTEMPT_DECLINED:
      if (again)
        return DP_STEP_RETRY;
      break;
    case DP_ATTEMPT_NO_PATH:
      break;
    case DP_ATTEMPT_BROKE:
      if (again && facts->is_repeatable && facts->runs < facts->runs_max)
        return DP_STEP_RETRY;
      break;
    case DP_ATTEMPT_ERROR:
      if (again && facts->is_repeatable && facts->runs < facts->runs_max)
        return DP_STEP_RETRY;
      if (!facts->answer_started)
        return DP_STEP_FORWARD;
      break;
    case DP_ATTEMPT_SILENT:
      if (again && facts->is_repeatable && facts->runs < facts->runs_max)
        return DP_STEP_RETRY;
      if (facts->answer_started || facts->silence < SILENCE_MAX)
        return DP_STEP_WAIT;
      break;
    }
  if (facts->answer_started)
    return DP_STEP_ABORT;
  return facts->may_have_run ? DP_STEP_UNKNOWN : DP_STEP_NOT_RUN;
}

void
dp_retry_budget_init (DpRetryBudget *budget, double ratio, DpUsec window)
{
  budget->ratio = ratio * BUDGET_FRACTION;
  budget->window = window;
}

void
dp_retry_budget_set_slack (DpRetryBudget *budget, double slack, guint vms)
{
  budget->slack = slack * BUDGET_FRACTION / MAX (vms, 1);
}

/* Clears slots that have left the window and returns the index of the newest. The window spans
 * DP_RETRY_BUDGET_SLOTS - 1 slots; one more is kept since the newest is still filling. */
static guint
advance (DpRetryBudget *budget, DpUsec now)
{
  DpUsec width = MAX (budget->window / (DP_RETRY_BUDGET_SLOTS - 1), 1);
  gint64 slot = now / width;
  gint64 steps = MIN (slot - budget->slot, DP_RETRY_BUDGET_SLOTS);
  for (gint64 i = 0; i < steps; i++)
    {
      guint index = (guint)((slot - i) % DP_RETRY_BUDGET_SLOTS);
      budget->requests[index] = 0;
      budget->retries[index] = 0;
    }
  budget->slot = MAX (slot, budget->slot);
  return (guint)(budget->slot % DP_RETRY_BUDGET_SLOTS);
}

void
dp_retry_budget_count_request (DpRetryBudget *budget, DpUsec now)
{
  budget->requests[advance (budget, now)]++;
}

gboolean
dp_retry_budget_allows (DpRetryBudget *budget, DpUsec now)
{
  advance (budget, now);
  guint requests = 0;
  guint retries = 0;
  for (guint i = 0; i < DP_RETRY_BUDGET_SLOTS; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  return retries + 1 <= requests * budget->ratio + budget->slack;
}

gboolean
dp_retry_budget_spend (DpRetryBudget *budget, DpUsec now)
{
  if (!dp_retry_budget_allows (budget, now))
    return FALSE;
  budget->retries[advance (budget, now)]++;
  return TRUE;
}
