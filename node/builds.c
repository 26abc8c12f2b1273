/* Builds that serve side by side: which rules the builds of the other VMs keep. */
#include "node/node.h"

#include "common/log.h"

#include <json-c/json.h>

#define CHECK_INTERVAL DP_USEC_PER_SEC

static const char *
vm_text (const DpNode *node, DpName vm)
{
  const DpVm *row = node->view != NULL ? dp_view_find (node->view, vm) : NULL;
  return row != NULL ? row->text : "unknown";
}

static void
format_number (char text[24], guint64 number)
{
  g_snprintf (text, 24, "%" G_GUINT64_FORMAT, number);
}

void
dp_builds_record (DpNode *node, DpName vm, guint64 rules)
{
  guint64 before = dp_owners_rules (node->owners, vm);
  dp_owners_set_rules (node->owners, vm, rules);
  if (dp_owners_rules (node->owners, vm) == before)
    return;
  char stated[24], own[24], previous[24];
  format_number (stated, rules);
  format_number (own, DP_RULES_LEVEL);
  format_number (previous, before);
  gboolean is_valid = dp_rules_level (rules) == rules;
  dp_log (DP_LOG_NOTICE, is_valid ? "vm_rules" : "vm_rules_ignored", "vm", vm_text (node, vm),
          "rules", stated, "before", previous, "own", own, NULL);
}

static DpBuilds
compare_builds (const DpNode *node)
{
  DpBuilds builds = { .lowest = DP_RULES_LEVEL, .highest = DP_RULES_LEVEL };
  guint count = node->view != NULL ? node->view->vms->len : 0;
  guint newest = 0;
  for (guint i = 0; i < count; i++)
    {
      DpName vm = g_array_index (node->view->vms, DpVm, i).name;
      guint64 rules = dp_owners_rules (node->owners, vm);
      if (rules > builds.highest)
        newest = 0;
      builds.lowest = MIN (builds.lowest, rules);
      builds.highest = MAX (builds.highest, rules);
      newest += rules == builds.highest;
    }
  builds.older = count - newest;
  return builds;
}

static void
log_builds (DpNode *node, const DpBuilds *builds)
{
  char lowest[24], highest[24], older[24], vms[24];
  format_number (lowest, builds->lowest);
  format_number (highest, builds->highest);
  format_number (older, builds->older);
  format_number (vms, dp_peers_vm_count (node));
  dp_log (DP_LOG_NOTICE, builds->older > 0 ? "builds_mixed" : "builds_equal", "lowest", lowest,
          "highest", highest, "older_vms", older, "vms", vms, NULL);
}

/* An older VM may place its own requests for a plain service, whatever its targets state and
 * whatever order is in progress, so the owner can't keep the rule for these. */
static void
check_pool (const DpNode *node, DpNodePool *pool)
{
  gboolean breaks_limits = node->builds.lowest == 0 && pool->has_limits;
  gboolean breaks_order
    = node->builds.lowest < DP_RULES_LEVEL_ROLLOUTS && dp_rollouts_needs_owner (node, pool);
  gboolean is_unkept = (breaks_limits || breaks_order) && pool->kind != DP_POOL_ENGINES
                       && pool->owner == node->self;
  if (is_unkept && !pool->is_unkept)
    {
      char older[24];
      format_number (older, node->builds.older);
      dp_log (DP_LOG_WARNING, "rule_not_kept", "pool", pool->text, "older_vms", older, "reason",
              "older VMs may dispatch their own requests", NULL);
    }
  pool->is_unkept = is_unkept;
}

void
dp_builds_tick (DpNode *node, DpUsec now)
{
  if (now - node->builds_checked_at < CHECK_INTERVAL)
    return;
  node->builds_checked_at = now;
  const DpBuilds previous = node->builds;
  node->builds = compare_builds (node);
  if (node->builds.older != previous.older
      || (node->builds.older > 0
          && (node->builds.lowest != previous.lowest
              || node->builds.highest != previous.highest)))
    log_builds (node, &node->builds);
  dp_counters_set (node->counters, "dogwoodplank_older_vms", NULL, NULL, node->builds.older);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_pool (node, value);
}

void
dp_builds_add_status (const DpNode *node, struct json_object *status)
{
  struct json_object *vms = json_object_new_object ();
  for (guint i = 0; node->view != NULL && i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      guint64 rules = dp_owners_rules (node->owners, vm->name);
      json_object_object_add (vms, vm->text, json_object_new_int64 ((gint64)rules));
    }
  json_object_object_add (status, "rules", json_object_new_int64 (DP_RULES_LEVEL));
  json_object_object_add (status, "rules_by_vm", vms);
}
