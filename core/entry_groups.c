/* Chooses the group and the owner for a grant request, and a target if no owner responds. */
#include "core/entry_private.h"

/* Older adverts are ignored. */
#define ADVERT_AGE_MAX (2 * DP_USEC_PER_SEC)
/* Owners tried for one group before the group counts as unreachable. */
#define OWNER_CANDIDATES 3

/* Load classes of groups; those with a higher value are tried first. */
typedef enum GroupClass
{
  GROUP_BUSY_REMOTE, /* full, without requests of less urgent tiers; in another data centre */
  GROUP_BUSY_LOCAL,
  GROUP_UNKNOWN_REMOTE,     /* no recent advert */
  GROUP_PREEMPTIBLE_REMOTE, /* full, but runs or queues requests of less urgent tiers */
  GROUP_PREEMPTIBLE_LOCAL,
  GROUP_FREE_REMOTE,
  GROUP_FREE_LOCAL, /* or no recent advert */
} GroupClass;

static const GroupState *
fresh_state (const DpEntryCore *core, DpName group)
{
  const GroupState *state = g_hash_table_lookup (core->groups, &group);
  if (state == NULL || core->now - state->advert_at > ADVERT_AGE_MAX)
    return NULL;
  return state;
}

static gboolean
has_lower_tier (const DpAdvert *advert, guint tier)
{
  for (guint i = tier + 1; i < MIN (advert->tier_count, DP_ADVERT_TIERS_MAX); i++)
    if (advert->running[i] + advert->waiting[i] > 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_local (const DpEntryCore *core, const Request *request, guint index)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpGroup *group = DP_MANIFEST_ROW (manifest, groups, DpGroup, index);
  return DP_MANIFEST_ROW (manifest, data_centres, DpDataCentre, group->data_centre)->name
         == core->options.data_centre;
}

static GroupClass
classify (const DpEntryCore *core, const Request *request, guint index)
{
  const DpGroup *group = DP_MANIFEST_ROW (request->routes->manifest, groups, DpGroup, index);
  gboolean local = is_local (core, request, index);
  const GroupState *state = fresh_state (core, group->name);
  if (state == NULL)
    return local ? GROUP_FREE_LOCAL : GROUP_UNKNOWN_REMOTE;
  if (state->advert.free_slots > 0)
    return local ? GROUP_FREE_LOCAL : GROUP_FREE_REMOTE;
  if (has_lower_tier (&state->advert, request->tier))
    return local ? GROUP_PREEMPTIBLE_LOCAL : GROUP_PREEMPTIBLE_REMOTE;
  return local ? GROUP_BUSY_LOCAL : GROUP_BUSY_REMOTE;
}

static gboolean
was_tried (const Request *request, guint group)
{
  for (guint i = 0; i < request->tried_groups->len; i++)
    if (g_array_index (request->tried_groups, guint, i) == group)
      return TRUE;
  return FALSE;
}

/* Advertised wait of the group; 0: unknown. */
static DpUsec
advertised_wait (const DpEntryCore *core, const Request *request, guint index)
{
  const DpGroup *group = DP_MANIFEST_ROW (request->routes->manifest, groups, DpGroup, index);
  const GroupState *state = fresh_state (core, group->name);
  return state != NULL ? state->advert.wait : 0;
}

/* TRUE if group `a` is tried before group `b` of the same class: the one with the shorter wait.
 * At equal waits, requests that share a prefix prefer the same group. */
static gboolean
is_preferred (const DpEntryCore *core, const Request *request, guint a, guint b)
{
  DpUsec wait_a = advertised_wait (core, request, a);
  DpUsec wait_b = advertised_wait (core, request, b);
  if (wait_a != wait_b)
    return wait_a < wait_b;
  const DpManifest *manifest = request->routes->manifest;
  guint64 spread
    = request->grant_ask.prefix_count > 0 ? request->grant_ask.prefix[0] : request->handle;
  DpName name_a = DP_MANIFEST_ROW (manifest, groups, DpGroup, a)->name;
  DpName name_b = DP_MANIFEST_ROW (manifest, groups, DpGroup, b)->name;
  return dp_rendezvous_weight (spread, name_a) > dp_rendezvous_weight (spread, name_b);
}

int
entry_groups_choose (DpEntryCore *core, const Request *request)
{
  const GArray *groups = request->routes->pool_groups[request->pool];
  /* After a refusal, groups known to be busy are not tried. */
  GroupClass lowest
    = request->refusal == DP_REASON_NONE ? GROUP_BUSY_REMOTE : GROUP_UNKNOWN_REMOTE;
  int best = -1;
  GroupClass best_class = GROUP_BUSY_REMOTE;
  for (guint i = 0; i < groups->len; i++)
    {
      guint index = g_array_index (groups, guint, i);
      if (!entry_routes_serves (request->routes, index, request->grant_ask.model))
        continue;
      if (was_tried (request, index))
        continue;
      GroupClass found = classify (core, request, index);
      if (found < lowest)
        continue;
      if (best >= 0 && found < best_class)
        continue;
      if (best >= 0 && found == best_class && !is_preferred (core, request, index, (guint)best))
        continue;
      best = (int)index;
      best_class = found;
    }
  return best;
}

gboolean
entry_groups_owner (DpEntryCore *core, const Request *request, DpPeer *owner)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpGroup *group = DP_MANIFEST_ROW (manifest, groups, DpGroup, request->group);
  DpName centre
    = DP_MANIFEST_ROW (manifest, data_centres, DpDataCentre, group->data_centre)->name;
  const DpVm *ranked[OWNER_CANDIDATES];
  guint count = dp_view_rank (core->view, group->name, centre, ranked, OWNER_CANDIDATES);
  if (count == 0)
    count = dp_view_rank (core->view, group->name, 0, ranked, OWNER_CANDIDATES);
  for (guint i = 0; i < count; i++)
    {
      if (entry_vm (core, ranked[i]->name)->unresponsive_until > core->now)
        continue;
      owner->vm = ranked[i]->name;
      owner->role = DP_ROLE_SCHEDULER;
      return TRUE;
    }
  return FALSE;
}

static guint
count_live_vms (const DpEntryCore *core, DpName centre)
{
  guint count = 0;
  for (guint i = 0; i < core->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (core->view->vms, DpVm, i);
      if (vm->state == DP_VM_LIVE && vm->data_centre == centre)
        count++;
    }
  return MAX (count, 1);
}

static guint
count_sent (DpEntryCore *core, DpName target)
{
  guint count = 0;
  for (DpHandle h = dp_table_next (core->requests, 0); h != 0;
       h = dp_table_next (core->requests, h))
    {
      const Request *other = dp_table_get (core->requests, h);
      if (other->phase == PHASE_SENT && other->target == target)
        count++;
    }
  return count;
}

gboolean
entry_groups_excludes (const Request *request, DpName target)
{
  for (guint i = 0; i < request->grant_ask.excluded_count; i++)
    if (request->grant_ask.excluded[i] == target)
      return TRUE;
  return FALSE;
}

static gboolean
serves_model (const DpManifest *manifest, const DpTarget *target, DpName model)
{
  if (model == 0)
    return TRUE;
  for (guint i = 0; target->models != NULL && i < target->models->len; i++)
    {
      guint index = g_array_index (target->models, guint, i);
      if (DP_MANIFEST_ROW (manifest, models, DpModel, index)->name == model)
        return TRUE;
    }
  return FALSE;
}

/* Only targets of this data centre are used: owners in other data centres may be reachable for
 * other entries, which then send to their targets. */
int
entry_groups_local_target (DpEntryCore *core, const Request *request)
{
  const DpManifest *manifest = core->routes->manifest;
  int centre = dp_manifest_find (manifest, DP_MANIFEST_DATA_CENTRE, core->options.data_centre);
  DpName pool = entry_pool (request)->name;
  guint entries = count_live_vms (core, core->options.data_centre);
  int best = -1;
  guint best_free = 0;
  for (guint i = 0; i < manifest->targets->len; i++)
    {
      const DpTarget *target = DP_MANIFEST_ROW (manifest, targets, DpTarget, i);
      if ((int)target->data_centre != centre || entry_groups_excludes (request, target->name)
          || DP_MANIFEST_ROW (manifest, pools, DpPool, target->pool)->name != pool
          || !serves_model (manifest, target, request->grant_ask.model))
        continue;
      guint share = MAX (target->window / entries, 1);
      guint used = count_sent (core, target->name);
      guint free = used < share ? share - used : 0;
      if (free <= best_free)
        continue;
      best = (int)i;
      best_free = free;
    }
  return best;
}

void
entry_groups_on_advert (DpEntryCore *core, const DpAdvert *advert)
{
  GroupState *state = g_hash_table_lookup (core->groups, &advert->group);
  if (state == NULL)
    {
      state = g_new0 (GroupState, 1);
      g_hash_table_insert (core->groups, g_memdup2 (&advert->group, sizeof (DpName)), state);
    }
  state->advert = *advert;
  state->advert_at = core->now;
}
