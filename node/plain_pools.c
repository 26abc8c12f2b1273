/* Plain services near capacity: reports to the pool's owner that targets reject requests, and
 * its announcements that it assigns all requests. The decisions are those of
 * core/shared_mode/shared_mode.h. */
#include "node/node.h"

#include "common/log.h"

/* A new owner assigns nothing for this long: VMs that heard its announcement tell what they
 * have sent. It covers both ways between data centres, and a tick. */
#define COLLECT_DURATION (20 * DP_USEC_PER_MSEC)
/* The same after this process was paused: another VM may own the pool by now, and its messages
 * have to be read first. */
#define RESUME_DURATION (60 * DP_USEC_PER_MSEC)

DpSharedMode *
dp_plain_pools_new_mode (const DpNode *node, DpPoolKind kind)
{
  gboolean has_mode = kind != DP_POOL_ENGINES && node->params.has_shared_mode;
  return has_mode ? dp_shared_mode_new (node->self) : NULL;
}

static DpSharedModeLoad
read_load (const DpNode *node, const DpNodePool *pool)
{
  DpDispatcherStatus status = dp_dispatcher_status (pool->dispatcher);
  return (DpSharedModeLoad){ .slots = status.slots,
                             .running = status.running,
                             .waiting = status.waiting,
                             .vms = dp_peers_vm_count (node) };
}

static void
log_decision (const DpNodePool *pool,
              const DpSharedModeLoad *load,
              const DpSharedModeDecision *decision)
{
  char use[16], slots[16], running[16], waiting[16], rejections[16], age[24];
  g_snprintf (use, sizeof use, "%.0f", decision->use * 100);
  g_snprintf (slots, sizeof slots, "%u", load->slots);
  g_snprintf (running, sizeof running, "%u", load->running);
  g_snprintf (waiting, sizeof waiting, "%u", load->waiting);
  g_snprintf (rejections, sizeof rejections, "%u", decision->rejections);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT, decision->age / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, "pool_mode", "pool", pool->text, "shared",
          decision->cause != DP_SHARED_MODE_CALM ? "yes" : "no", "cause",
          dp_shared_mode_cause_name (decision->cause), "use_percent", use, "slots", slots,
          "running", running, "waiting", waiting, "rejections", rejections, "age_ms", age,
          NULL);
}

/* Follows the announcements. */
static void
apply_mode (DpNode *node, DpNodePool *pool, DpUsec now)
{
  gboolean is_on = dp_shared_mode_is_on (pool->mode, now);
  if (is_on == pool->is_short)
    return;
  dp_log (DP_LOG_INFO, "pool_shared", "pool", pool->text, "shared", is_on ? "yes" : "no", NULL);
  if (is_on)
    dp_counters_add (node->counters, "dogwoodplank_pools_shared_total", NULL, NULL, 1);
  dp_placement_set_short (node, pool, is_on);
}

static void
announce (DpNode *node, DpNodePool *pool, const DpPoolShared *announcement, DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_POOL_SHARED, .pool_shared = *announcement };
  message.pool_shared.pool = pool->name;
  dp_peers_send_to_all (node, &message);
  dp_shared_mode_on_announcement (pool->mode, node->self, announcement, now);
}

/* Decides as the owner, if this VM is or is used as such. */
static void
decide (DpNode *node, DpNodePool *pool, DpUsec now)
{
  DpPoolShared announcement;
  DpSharedModeDecision decision;
  const DpSharedModeLoad load = read_load (node, pool);
  if (dp_owners_choose (node->owners, pool->name, now) != node->self
      && !dp_shared_mode_is_used (pool->mode, now))
    dp_shared_mode_not_owner (pool->mode);
  else if (dp_shared_mode_next_announcement (pool->mode, &load, now, &announcement, &decision))
    {
      if (decision.cause != DP_SHARED_MODE_NONE)
        log_decision (pool, &load, &decision);
      if (decision.cause != DP_SHARED_MODE_NONE && decision.cause != DP_SHARED_MODE_CALM)
        dp_dispatcher_hold (pool->dispatcher, now + COLLECT_DURATION);
      announce (node, pool, &announcement, now);
    }
  const DpSharedModeOthers others = dp_shared_mode_others (pool->mode, now);
  dp_dispatcher_set_others (pool->dispatcher, others.count, others.running);
  apply_mode (node, pool, now);
}

static void
report (DpNode *node, DpNodePool *pool, DpUsec now)
{
  const DpSharedModeLoad load = read_load (node, pool);
  DpMessage message = { .type = DP_MESSAGE_POOL_SHARED };
  if (!dp_shared_mode_next_report (pool->mode, &load, now, &message.pool_shared))
    return;
  message.pool_shared.pool = pool->name;
  DpName owner = dp_owners_choose (node->owners, pool->name, now);
  if (owner != node->self)
    dp_peers_send (node, owner, &message);
  else
    dp_shared_mode_on_report (pool->mode, node->self, &message.pool_shared, now);
}

static void
step (DpNode *node, DpNodePool *pool, DpUsec now)
{
  report (node, pool, now);
  decide (node, pool, now);
}

/* TRUE if the attempt ended for lack of capacity at the target, as far as can be told. */
static gboolean
is_rejection (const DpNodeRequest *request, DpReason reason)
{
  const DpTargetResponse *answer = &request->answer;
  if (reason == DP_REASON_NO_TARGET)
    return answer->is_declined && answer->status == 503 && !answer->is_leaving;
  return reason == DP_REASON_TARGET_BROKE && request->first_byte_after == 0;
}

void
dp_plain_pools_on_attempt_end (DpNodeRequest *request, DpReason reason)
{
  DpNode *node = request->node;
  DpNodePool *pool = request->pool;
  if (pool->mode == NULL || !is_rejection (request, reason))
    return;
  dp_counters_add (node->counters, "dogwoodplank_service_rejections_total", "kind",
                   reason == DP_REASON_NO_TARGET ? "rejected" : "reset", 1);
  request->was_rejected = TRUE;
  dp_shared_mode_record_rejection (pool->mode, request->target);
  step (node, pool, dp_node_now ());
}

void
dp_plain_pools_on_ask (DpNode *node, DpNodePool *pool, const DpGrantAsk *ask)
{
  /* A request that a target rejected is sent to the owner in any case. */
  if (pool->mode == NULL || ask->excluded_count > 0)
    return;
  dp_shared_mode_on_ask (pool->mode, dp_node_now ());
  if (!pool->is_short)
    decide (node, pool, dp_node_now ());
}

void
dp_plain_pools_on_contact (DpNode *node, DpName vm)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpNodePool *pool = value;
      DpMessage message = { .type = DP_MESSAGE_POOL_SHARED };
      if (pool->mode == NULL
          || !dp_shared_mode_repeat (pool->mode, dp_node_now (), &message.pool_shared))
        continue;
      message.pool_shared.pool = pool->name;
      dp_peers_send (node, vm, &message);
    }
}

void
dp_plain_pools_on_message (DpNode *node, DpName from, const DpPoolShared *message)
{
  DpNodePool *pool = g_hash_table_lookup (node->pools, &message->pool);
  if (pool == NULL || pool->mode == NULL)
    return;
  DpUsec now = dp_node_now ();
  if (message->is_owner)
    dp_shared_mode_on_announcement (pool->mode, from, message, now);
  else
    dp_shared_mode_on_report (pool->mode, from, message, now);
  decide (node, pool, now);
}

void
dp_plain_pools_tick (DpNode *node, DpUsec now, gboolean was_paused)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *pools = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((DpNodePool *)value)->mode != NULL)
      g_ptr_array_add (pools, value);
  guint shared = 0;
  for (guint i = 0; i < pools->len; i++)
    {
      DpNodePool *pool = g_ptr_array_index (pools, i);
      if (was_paused)
        dp_dispatcher_hold (pool->dispatcher, now + RESUME_DURATION);
      step (node, pool, now);
      shared += pool->is_short;
    }
  dp_counters_set (node->counters, "dogwoodplank_shared_pools", NULL, NULL, shared);
  g_ptr_array_unref (pools);
}
