/* Limits of workspaces from the manifest: requests in flight and requests a second.
 *
 * A group's owner sees all entries' requests for the group, so the limits are exact over all
 * entries within a group. What waits counts as in flight. */
#include "core/scheduler_board.h"

/* Seconds of its rate that a workspace may save up. */
#define BURST_SECONDS 1.0

static const DpWorkspace *
find_workspace (const DpSchedulerBoard *board, DpName name)
{
  int index = dp_manifest_find (board->manifest, DP_MANIFEST_WORKSPACE, name);
  return index >= 0 ? DP_MANIFEST_ROW (board->manifest, workspaces, DpWorkspace, index) : NULL;
}

static double
burst (const DpWorkspace *workspace)
{
  return MAX (workspace->requests_per_second * BURST_SECONDS, 1);
}

static DpUse *
obtain_use (DpSchedulerBoard *board, DpGroupState *group, DpName name)
{
  DpUse *use = g_hash_table_lookup (group->uses, &name);
  if (use != NULL)
    return use;
  const DpWorkspace *workspace = find_workspace (board, name);
  use = g_new0 (DpUse, 1);
  use->workspace = name;
  use->refilled_at = board->now;
  use->allowance = workspace != NULL ? burst (workspace) : 0;
  g_hash_table_insert (group->uses, &use->workspace, use);
  return use;
}

static void
refill (const DpSchedulerBoard *board, const DpWorkspace *workspace, DpUse *use)
{
  double seconds = (double)(board->now - use->refilled_at) / (double)DP_USEC_PER_SEC;
  use->allowance
    = MIN (use->allowance + seconds * workspace->requests_per_second, burst (workspace));
  use->refilled_at = board->now;
}

void
dp_limits_init (DpGroupState *group)
{
  group->uses = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

DpReason
dp_limits_check (DpSchedulerBoard *board, DpGroupState *group, DpName name, DpUsec *retry_after)
{
  const DpWorkspace *workspace = find_workspace (board, name);
  if (workspace == NULL)
    return DP_REASON_NONE;
  DpUse *use = obtain_use (board, group, name);
  if (workspace->requests_in_flight > 0 && use->in_flight >= workspace->requests_in_flight)
    {
      *retry_after = 0;
      return DP_REASON_TOO_MANY_IN_FLIGHT;
    }
  if (workspace->requests_per_second == 0)
    return DP_REASON_NONE;
  refill (board, workspace, use);
  if (use->allowance >= 1)
    return DP_REASON_NONE;
  double seconds = (1 - use->allowance) / workspace->requests_per_second;
  *retry_after = (DpUsec)(seconds * (double)DP_USEC_PER_SEC);
  return DP_REASON_RATE_LIMITED;
}

void
dp_limits_add (DpSchedulerBoard *board, DpGroupState *group, DpName workspace)
{
  obtain_use (board, group, workspace)->in_flight += 1;
}

void
dp_limits_charge (DpSchedulerBoard *board, DpGroupState *group, DpName workspace)
{
  obtain_use (board, group, workspace)->allowance -= 1;
}

void
dp_limits_refund (DpSchedulerBoard *board, DpGroupState *group, DpName workspace)
{
  obtain_use (board, group, workspace)->allowance += 1;
}

void
dp_limits_remove (DpSchedulerBoard *board, DpGroupState *group, DpName workspace)
{
  DpUse *use = obtain_use (board, group, workspace);
  if (use->in_flight > 0)
    use->in_flight -= 1;
}
