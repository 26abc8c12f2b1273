/* Waiting requests of a group: strict tiers; within a tier, start-time fair queueing by
 * estimated tokens over the workspaces' weights; within a workspace, oldest first. */
#include "core/scheduler_board.h"

static int
compare_flows (gconstpointer a, gconstpointer b, gpointer data)
{
  const DpFlow *left = a;
  const DpFlow *right = b;
  if (left->start != right->start)
    return left->start < right->start ? -1 : 1;
  return left->workspace < right->workspace ? -1 : left->workspace > right->workspace;
}

static int
compare_latest_start (gconstpointer a, gconstpointer b, gpointer data)
{
  const DpGrant *left = a;
  const DpGrant *right = b;
  if (left->latest_start != right->latest_start)
    return left->latest_start < right->latest_start ? -1 : 1;
  return left->self < right->self ? -1 : left->self > right->self;
}

static void
lane_free (gpointer data)
{
  DpLane *lane = data;
  g_sequence_free (lane->flows);
  g_hash_table_unref (lane->by_workspace);
  g_free (lane);
}

static DpLane *
find_lane (const DpTierQueue *queue, DpName model)
{
  for (guint i = 0; i < queue->lanes->len; i++)
    {
      DpLane *lane = g_ptr_array_index (queue->lanes, i);
      if (lane->model == model)
        return lane;
    }
  return NULL;
}

static DpLane *
obtain_lane (DpTierQueue *queue, DpName model)
{
  DpLane *lane = find_lane (queue, model);
  if (lane != NULL)
    return lane;
  lane = g_new0 (DpLane, 1);
  lane->model = model;
  lane->flows = g_sequence_new (NULL);
  lane->by_workspace = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_ptr_array_add (queue->lanes, lane);
  return lane;
}

static DpShare *
obtain_share (DpTierQueue *queue, DpName workspace)
{
  DpShare *share = g_hash_table_lookup (queue->shares, &workspace);
  if (share != NULL)
    return share;
  share = g_new0 (DpShare, 1);
  share->workspace = workspace;
  g_hash_table_insert (queue->shares, &share->workspace, share);
  return share;
}

static DpFlow *
obtain_flow (DpTierQueue *queue, DpLane *lane, DpName workspace)
{
  DpFlow *flow = g_hash_table_lookup (lane->by_workspace, &workspace);
  if (flow != NULL)
    return flow;
  flow = g_new0 (DpFlow, 1);
  flow->workspace = workspace;
  flow->share = obtain_share (queue, workspace);
  g_queue_init (&flow->grants);
  g_hash_table_insert (lane->by_workspace, &flow->workspace, flow);
  return flow;
}

static double
workspace_weight (const DpSchedulerBoard *board, DpName workspace)
{
  int index = dp_manifest_find (board->manifest, DP_MANIFEST_WORKSPACE, workspace);
  if (index < 0)
    return 1;
  return MAX (DP_MANIFEST_ROW (board->manifest, workspaces, DpWorkspace, index)->weight, 1);
}

static void
unplace_flow (DpTierQueue *queue, DpFlow *flow)
{
  if (flow->place == NULL)
    return;
  g_sequence_remove (flow->place);
  flow->place = NULL;
  queue->waiting_weight -= flow->weight;
}

/* Places the flow by the virtual start of its first request. */
static void
place_flow (DpTierQueue *queue, DpLane *lane, DpFlow *flow)
{
  unplace_flow (queue, flow);
  if (g_queue_is_empty (&flow->grants))
    return;
  flow->start = MAX (queue->virtual_time, flow->share->finish);
  flow->place = g_sequence_insert_sorted (lane->flows, flow, compare_flows, NULL);
  queue->waiting_weight += flow->weight;
}

/* The workspace has been charged: its flows for all models move back. */
static void
place_flows_of (DpTierQueue *queue, DpName workspace)
{
  for (guint i = 0; i < queue->lanes->len; i++)
    {
      DpLane *lane = g_ptr_array_index (queue->lanes, i);
      DpFlow *flow = g_hash_table_lookup (lane->by_workspace, &workspace);
      if (flow != NULL)
        place_flow (queue, lane, flow);
    }
}

void
dp_queue_init (DpGroupState *group)
{
  group->by_latest_start = g_sequence_new (NULL);
  for (guint i = 0; i < DP_TIERS_MAX; i++)
    {
      DpTierQueue *queue = &group->tiers[i];
      queue->lanes = g_ptr_array_new_with_free_func (lane_free);
      queue->shares = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
      g_queue_init (&queue->newest);
    }
}

void
dp_queue_clear (DpGroupState *group)
{
  g_sequence_free (group->by_latest_start);
  for (guint i = 0; i < DP_TIERS_MAX; i++)
    {
      g_ptr_array_unref (group->tiers[i].lanes);
      g_hash_table_unref (group->tiers[i].shares);
    }
}

void
dp_queue_push (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant)
{
  DpTierQueue *queue = &group->tiers[grant->tier];
  DpLane *lane = obtain_lane (queue, grant->model);
  DpFlow *flow = obtain_flow (queue, lane, grant->workspace);
  grant->state = DP_GRANT_WAITING;
  grant->flow = flow;
  grant->link.data = grant;
  grant->arrival_link.data = grant;
  g_queue_push_tail_link (&flow->grants, &grant->link);
  g_queue_push_tail_link (&queue->newest, &grant->arrival_link);
  grant->latest_start_place
    = g_sequence_insert_sorted (group->by_latest_start, grant, compare_latest_start, NULL);
  queue->waiting += 1;
  queue->waiting_work += grant->work;
  flow->work += grant->work;
  group->waiting += 1;
  if (flow->place != NULL)
    return;
  flow->weight = workspace_weight (board, grant->workspace);
  place_flow (queue, lane, flow);
}

void
dp_queue_remove (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant)
{
  DpTierQueue *queue = &group->tiers[grant->tier];
  DpFlow *flow = grant->flow;
  g_queue_unlink (&flow->grants, &grant->link);
  g_queue_unlink (&queue->newest, &grant->arrival_link);
  g_sequence_remove (grant->latest_start_place);
  grant->latest_start_place = NULL;
  grant->flow = NULL;
  queue->waiting -= 1;
  queue->waiting_work -= grant->work;
  flow->work -= grant->work;
  group->waiting -= 1;
  if (g_queue_is_empty (&flow->grants))
    unplace_flow (queue, flow);
}

void
dp_queue_take (DpSchedulerBoard *board, DpGroupState *group, DpGrant *grant)
{
  DpTierQueue *queue = &group->tiers[grant->tier];
  DpShare *share = grant->flow->share;
  double start = MAX (queue->virtual_time, share->finish);
  queue->virtual_time = start;
  share->finish = start + grant->cost / grant->flow->weight;
  dp_queue_remove (board, group, grant);
  place_flows_of (queue, grant->workspace);
}

/* The cheap part first: most targets have no room. */
static gboolean
has_place (const DpSchedulerBoard *board, const DpTargetState *target, const DpGrant *grant)
{
  return dp_target_has_room (board, target, grant) && dp_target_is_able (target, grant);
}

static gboolean
is_timely (const DpSchedulerBoard *board,
           const DpTargetState *target,
           const DpGrant *grant,
           double cached)
{
  return !dp_prefix_should_wait (board, target, grant, cached)
         && board->now + dp_estimate_service (target, grant, cached) <= grant->deadline;
}

/* Of the flow's oldest requests that the target can serve now, the one of which it has most
 * cached, or the first once that has waited for long. */
static DpGrant *
first_in_flow (const DpSchedulerBoard *board, const DpFlow *flow, const DpTargetState *target)
{
  DpGrant *best = NULL;
  double best_cached = 0;
  guint seen = 0;
  for (GList *link = flow->grants.head; link != NULL && seen < DP_QUEUE_SCAN_MAX;
       link = link->next, seen++)
    {
      DpGrant *grant = link->data;
      if (!has_place (board, target, grant))
        continue;
      double cached = dp_prefix_cached_on (target, grant);
      if (!is_timely (board, target, grant, cached))
        continue;
      if (best == NULL || cached > best_cached)
        {
          best = grant;
          best_cached = cached;
        }
      if (board->now - grant->arrived > DP_PREFIX_PATIENCE_USEC)
        break;
    }
  return best;
}

static DpGrant *
first_in_lane (const DpSchedulerBoard *board, const DpLane *lane, const DpTargetState *target)
{
  guint seen = 0;
  for (GSequenceIter *at = g_sequence_get_begin_iter (lane->flows);
       !g_sequence_iter_is_end (at) && seen < DP_QUEUE_SCAN_MAX; at = g_sequence_iter_next (at))
    {
      DpGrant *grant = first_in_flow (board, g_sequence_get (at), target);
      if (grant != NULL)
        return grant;
      seen++;
    }
  return NULL;
}

DpGrant *
dp_queue_first_servable (DpSchedulerBoard *board,
                         DpGroupState *group,
                         guint tier,
                         const DpTargetState *target)
{
  DpTierQueue *queue = &group->tiers[tier];
  DpGrant *best = NULL;
  for (guint i = 0; queue->waiting > 0 && i < queue->lanes->len; i++)
    {
      DpGrant *grant = first_in_lane (board, g_ptr_array_index (queue->lanes, i), target);
      if (grant == NULL)
        continue;
      if (best == NULL || compare_flows (grant->flow, best->flow, NULL) < 0)
        best = grant;
    }
  return best;
}

double
dp_queue_flow_work (const DpGroupState *group, const DpGrant *grant, double *share)
{
  const DpTierQueue *queue = &group->tiers[grant->tier];
  const DpLane *lane = find_lane (queue, grant->model);
  const DpFlow *flow
    = lane != NULL ? g_hash_table_lookup (lane->by_workspace, &grant->workspace) : NULL;
  if (flow == NULL || flow->place == NULL)
    {
      *share = 1;
      return 0;
    }
  *share = flow->weight / MAX (queue->waiting_weight, flow->weight);
  return flow->work;
}

int
dp_queue_lowest_below (const DpGroupState *group, guint tier)
{
  for (guint i = DP_TIERS_MAX - 1; i > tier; i--)
    {
      if (group->tiers[i].waiting > 0)
        return (int)i;
    }
  return -1;
}
