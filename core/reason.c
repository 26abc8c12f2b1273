#include "core/reason.h"

typedef struct ReasonRow
{
  const char *name;
  int status;
  gboolean may_retry;
} ReasonRow;

static const ReasonRow rows[] = {
#define REASON_ROW(symbol, name, status, may_retry) { name, status, may_retry },
  DP_REASONS (REASON_ROW)
#undef REASON_ROW
};

const char *
dp_reason_name (DpReason reason)
{
  return rows[reason].name;
}

int
dp_reason_status (DpReason reason)
{
  return rows[reason].status;
}

gboolean
dp_reason_may_retry (DpReason reason)
{
  return rows[reason].may_retry;
}

const char *
dp_outcome_name (DpOutcome outcome)
{
  switch (outcome)
    {
    case DP_OUTCOME_NOT_RUN:
      return "not_run";
    case DP_OUTCOME_UNKNOWN:
      return "unknown";
    case DP_OUTCOME_DONE:
      return "done";
    }
  return "unknown";
}
