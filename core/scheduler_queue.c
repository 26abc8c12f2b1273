/* Waiting requests of a group: strict priority between tiers; within a tier, start-time fair
 * queueing of workspaces by weight and estimated tokens; within a workspace, oldest first. */
#include "core/scheduler_private.h"

static int
compare_flows (gconstpointer a, gconstpointer b, gpointer data)
{
  const DpFlow *left = a;
  const DpFlow *right = b;
  if (left->virtual_start != right->virtual_start)
    return left->virtual_start < right->virtual_start ? -1 : 1;
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
model_queue_free (gpointer data)
{
  DpModelQueue *model_queue = data;
  g_sequence_free (model_queue->flows);
  g_hash_table_unref (model_queue->by_workspace);
  g_free (model_queue);
}

static DpModelQueue *
find_model_queue (const DpTierQueue *queue, DpName model)
{
  for (guint i = 0; i < queue->model_queues->len; i++)
    {
      DpModelQueue *model_queue = g_ptr_array_index (queue->model_queues, i);
      if (model_queue->model == model)
        return model_queue;
    }
  return NULL;
}

static DpModelQueue *
obtain_model_queue (DpTierQueue *queue, DpName model)
{
  DpModelQueue *model_queue = find_model_queue (queue, model);
  if (model_queue != NULL)
    return model_queue;
  model_queue = g_new0 (DpModelQueue, 1);
  model_queue->model = model;
  model_queue->flows = g_sequence_new (NULL);
  model_queue->by_workspace = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_ptr_array_add (queue->model_queues, model_queue);
  return model_queue;
}

static DpWorkspaceShare *
obtain_share (DpTierQueue *queue, DpName workspace)
{
  DpWorkspaceShare *share = g_hash_table_lookup (queue->shares, &workspace);
  if (share != NULL)
    return share;
  share = g_new0 (DpWorkspaceShare, 1);
  share->workspace = workspace;
  g_hash_table_insert (queue->shares, &share->workspace, share);
  return share;
}

static DpFlow *
obtain_flow (DpTierQueue *queue, DpModelQueue *model_queue, DpName workspace)
{
  DpFlow *flow = g_hash_table_lookup (model_queue->by_workspace, &workspace);
  if (flow != NULL)
    return flow;
  flow = g_new0 (DpFlow, 1);
  flow->workspace = workspace;
  flow->share = obtain_share (queue, workspace);
  g_queue_init (&flow->grants);
  g_hash_table_insert (model_queue->by_workspace, &flow->workspace, flow);
  return flow;
}

static double
workspace_weight (const DpSchedulerCore *core, DpName workspace)
{
  int index = dp_manifest_find (core->manifest, DP_MANIFEST_WORKSPACE, workspace);
  if (index < 0)
    return 1;
  return MAX (DP_MANIFEST_ROW (core->manifest, workspaces, DpWorkspace, index)->weight, 1);
}

static void
unlink_flow (DpTierQueue *queue, DpFlow *flow)
{
  if (flow->iter == NULL)
    return;
  g_sequence_remove (flow->iter);
  flow->iter = NULL;
  queue->waiting_weight -= flow->weight;
}

/* Inserts the flow into its model queue by the virtual start of its first request, or takes it
 * out if it is empty. */
static void
link_flow (DpTierQueue *queue, DpModelQueue *model_queue, DpFlow *flow)
{
  unlink_flow (queue, flow);
  if (g_queue_is_empty (&flow->grants))
    return;
  flow->virtual_start = MAX (queue->virtual_time, flow->share->virtual_finish);
  flow->iter = g_sequence_insert_sorted (model_queue->flows, flow, compare_flows, NULL);
  queue->waiting_weight += flow->weight;
}

/* Reorders the workspace's flows for all models after it was charged. */
static void
reorder_flows_of (DpTierQueue *queue, DpName workspace)
{
  for (guint i = 0; i < queue->model_queues->len; i++)
    {
      DpModelQueue *model_queue = g_ptr_array_index (queue->model_queues, i);
      DpFlow *flow = g_hash_table_lookup (model_queue->by_workspace, &workspace);
      if (flow != NULL)
        link_flow (queue, model_queue, flow);
    }
}

void
dp_queue_init (DpGroupState *group)
{
  group->by_latest_start = g_sequence_new (NULL);
  for (guint i = 0; i < DP_TIERS_MAX; i++)
    {
      DpTierQueue *queue = &group->tiers[i];
      queue->model_queues = g_ptr_array_new_with_free_func (model_queue_free);
      queue->shares = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
      g_queue_init (&queue->by_arrival);
    }
}

void
dp_queue_clear (DpGroupState *group)
{
  g_sequence_free (group->by_latest_start);
  for (guint i = 0; i < DP_TIERS_MAX; i++)
    {
      g_ptr_array_unref (group->tiers[i].model_queues);
      g_hash_table_unref (group->tiers[i].shares);
    }
}

void
dp_queue_push (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant)
{
  DpTierQueue *queue = &group->tiers[grant->tier];
  DpModelQueue *model_queue = obtain_model_queue (queue, grant->model);
  DpFlow *flow = obtain_flow (queue, model_queue, grant->workspace);
  grant->state = DP_GRANT_WAITING;
  grant->flow = flow;
  grant->link.data = grant;
  grant->arrival_link.data = grant;
  g_queue_push_tail_link (&flow->grants, &grant->link);
  g_queue_push_tail_link (&queue->by_arrival, &grant->arrival_link);
  grant->latest_start_iter
    = g_sequence_insert_sorted (group->by_latest_start, grant, compare_latest_start, NULL);
  queue->waiting += 1;
  queue->waiting_work += grant->work;
  flow->work += grant->work;
  group->waiting += 1;
  if (flow->iter != NULL)
    return;
  flow->weight = workspace_weight (core, grant->workspace);
  link_flow (queue, model_queue, flow);
}

void
dp_queue_remove (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant)
{
  DpTierQueue *queue = &group->tiers[grant->tier];
  DpFlow *flow = grant->flow;
  g_queue_unlink (&flow->grants, &grant->link);
  g_queue_unlink (&queue->by_arrival, &grant->arrival_link);
  g_sequence_remove (grant->latest_start_iter);
  grant->latest_start_iter = NULL;
  grant->flow = NULL;
  queue->waiting -= 1;
  queue->waiting_work -= grant->work;
  flow->work -= grant->work;
  group->waiting -= 1;
  if (g_queue_is_empty (&flow->grants))
    unlink_flow (queue, flow);
}

void
dp_queue_take (DpSchedulerCore *core, DpGroupState *group, DpGrant *grant)
{
  DpTierQueue *queue = &group->tiers[grant->tier];
  DpWorkspaceShare *share = grant->flow->share;
  double start = MAX (queue->virtual_time, share->virtual_finish);
  queue->virtual_time = start;
  share->virtual_finish = start + grant->cost / grant->flow->weight;
  dp_queue_remove (core, group, grant);
  reorder_flows_of (queue, grant->workspace);
}

/* Checks for room first: that is cheaper, and most targets have none. */
static gboolean
can_serve (const DpSchedulerCore *core, const DpTargetState *target, const DpGrant *grant)
{
  return dp_target_has_room (core, target, grant) && dp_target_is_eligible (target, grant);
}

/* TRUE if the target would finish the request in time and the request should not wait for a
 * target that has more of its prompt cached. */
static gboolean
may_start_now (const DpSchedulerCore *core,
               const DpTargetState *target,
               const DpGrant *grant,
               double cached)
{
  return !dp_prefix_should_wait (core, target, grant, cached)
         && core->now + dp_estimate_service_time (target, grant, cached) <= grant->deadline;
}

/* Of the flow's oldest requests that the target can serve now, returns the one with the longest
 * cached prefix. Stops at the first that has waited for DP_PREFIX_BYPASS_MAX_USEC. */
static DpGrant *
first_in_flow (const DpSchedulerCore *core, const DpFlow *flow, const DpTargetState *target)
{
  DpGrant *best = NULL;
  double best_cached = 0;
  guint seen = 0;
  for (GList *link = flow->grants.head; link != NULL && seen < DP_QUEUE_SCAN_MAX;
       link = link->next, seen++)
    {
      DpGrant *grant = link->data;
      if (!can_serve (core, target, grant))
        continue;
      double cached = dp_prefix_cached_tokens (target, grant);
      if (!may_start_now (core, target, grant, cached))
        continue;
      if (best == NULL || cached > best_cached)
        {
          best = grant;
          best_cached = cached;
        }
      if (core->now - grant->arrived > DP_PREFIX_BYPASS_MAX_USEC)
        break;
    }
  return best;
}

static DpGrant *
first_in_model_queue (const DpSchedulerCore *core,
                      const DpModelQueue *model_queue,
                      const DpTargetState *target)
{
  guint seen = 0;
  for (GSequenceIter *at = g_sequence_get_begin_iter (model_queue->flows);
       !g_sequence_iter_is_end (at) && seen < DP_QUEUE_SCAN_MAX; at = g_sequence_iter_next (at))
    {
      DpGrant *grant = first_in_flow (core, g_sequence_get (at), target);
      if (grant != NULL)
        return grant;
      seen++;
    }
  return NULL;
}

DpGrant *
dp_queue_first_servable (DpSchedulerCore *core,
                         DpGroupState *group,
                         guint tier,
                         const DpTargetState *target)
{
  DpTierQueue *queue = &group->tiers[tier];
  DpGrant *best = NULL;
  for (guint i = 0; queue->waiting > 0 && i < queue->model_queues->len; i++)
    {
      DpGrant *grant
        = first_in_model_queue (core, g_ptr_array_index (queue->model_queues, i), target);
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
  const DpModelQueue *model_queue = find_model_queue (queue, grant->model);
  const DpFlow *flow = model_queue != NULL
                         ? g_hash_table_lookup (model_queue->by_workspace, &grant->workspace)
                         : NULL;
  if (flow == NULL || flow->iter == NULL)
    {
      *share = 1;
      return 0;
    }
  *share = flow->weight / MAX (queue->waiting_weight, flow->weight);
  return flow->work;
}

int
dp_queue_lowest_tier_below (const DpGroupState *group, guint tier)
{
  for (guint i = DP_TIERS_MAX - 1; i > tier; i--)
    {
      if (group->tiers[i].waiting > 0)
        return (int)i;
    }
  return -1;
}
