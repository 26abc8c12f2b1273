/* Which group a request asks, who owns it, and what an entry may send without an owner. */
#include "core/entry_board.h"

/* An advert older than this says nothing. */
#define ADVERT_AGE_MAX (2 * DP_USEC_PER_SEC)
/* Owners tried for one group before the group counts as unreachable. */
#define OWNERS_MAX 3

/* Groups in the order in which they are asked. */
typedef enum GroupClass
{
  GROUP_BUSY_REMOTE, /* full of work of this tier or higher tiers, in another data centre */
  GROUP_BUSY_LOCAL,
  GROUP_UNKNOWN_REMOTE,
  GROUP_DISPLACEABLE_REMOTE, /* serves or queues lower tiers */
  GROUP_DISPLACEABLE_LOCAL,
  GROUP_FREE_REMOTE,
  GROUP_FREE_LOCAL, /* or unknown */
} GroupClass;

static const GroupState *
fresh_state (const DpEntryBoard *board, DpName group)
{
  const GroupState *state = g_hash_table_lookup (board->groups, &group);
  if (state == NULL || board->now - state->advert_at > ADVERT_AGE_MAX)
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
is_local (const DpEntryBoard *board, const Request *request, guint index)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpGroup *group = DP_MANIFEST_ROW (manifest, groups, DpGroup, index);
  return DP_MANIFEST_ROW (manifest, data_centres, DpDataCentre, group->data_centre)->name
         == board->options.data_centre;
}

static GroupClass
classify (const DpEntryBoard *board, const Request *request, guint index)
{
  const DpGroup *group = DP_MANIFEST_ROW (request->routes->manifest, groups, DpGroup, index);
  gboolean local = is_local (board, request, index);
  const GroupState *state = fresh_state (board, group->name);
  if (state == NULL)
    return local ? GROUP_FREE_LOCAL : GROUP_UNKNOWN_REMOTE;
  if (state->advert.free_slots > 0)
    return local ? GROUP_FREE_LOCAL : GROUP_FREE_REMOTE;
  if (has_lower_tier (&state->advert, request->tier))
    return local ? GROUP_DISPLACEABLE_LOCAL : GROUP_DISPLACEABLE_REMOTE;
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

/* Estimated wait in the group; 0 if unknown. */
static DpUsec
advertised_wait (const DpEntryBoard *board, const Request *request, guint index)
{
  const DpGroup *group = DP_MANIFEST_ROW (request->routes->manifest, groups, DpGroup, index);
  const GroupState *state = fresh_state (board, group->name);
  return state != NULL ? state->advert.wait : 0;
}

/* TRUE if group `a` is asked before group `b` of the same class. */
static gboolean
is_better (const DpEntryBoard *board, const Request *request, guint a, guint b)
{
  DpUsec wait_a = advertised_wait (board, request, a);
  DpUsec wait_b = advertised_wait (board, request, b);
  if (wait_a != wait_b)
    return wait_a < wait_b;
  const DpManifest *manifest = request->routes->manifest;
  guint64 spread = request->ask.prefix_count > 0 ? request->ask.prefix[0] : request->handle;
  DpName name_a = DP_MANIFEST_ROW (manifest, groups, DpGroup, a)->name;
  DpName name_b = DP_MANIFEST_ROW (manifest, groups, DpGroup, b)->name;
  return dp_rendezvous_weight (spread, name_a) > dp_rendezvous_weight (spread, name_b);
}

int
entry_groups_choose (DpEntryBoard *board, const Request *request)
{
  const GArray *groups = request->routes->pool_groups[request->pool];
  /* After a refusal only groups that may do better are worth another ask. */
  GroupClass least
    = request->refusal == DP_REASON_NONE ? GROUP_BUSY_REMOTE : GROUP_UNKNOWN_REMOTE;
  int best = -1;
  GroupClass best_class = GROUP_BUSY_REMOTE;
  for (guint i = 0; i < groups->len; i++)
    {
      guint index = g_array_index (groups, guint, i);
      if (!entry_routes_serves (request->routes, index, request->ask.model))
        continue;
      if (was_tried (request, index))
        continue;
      GroupClass found = classify (board, request, index);
      if (found < least)
        continue;
      if (best >= 0 && found < best_class)
        continue;
      if (best >= 0 && found == best_class && !is_better (board, request, index, (guint)best))
        continue;
      best = (int)index;
      best_class = found;
    }
  return best;
}

gboolean
entry_groups_owner (DpEntryBoard *board, const Request *request, DpPeer *owner)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpGroup *group = DP_MANIFEST_ROW (manifest, groups, DpGroup, request->group);
  DpName centre
    = DP_MANIFEST_ROW (manifest, data_centres, DpDataCentre, group->data_centre)->name;
  const DpVm *ranked[OWNERS_MAX];
  guint count = dp_view_rank (board->view, group->name, centre, ranked, OWNERS_MAX);
  if (count == 0)
    count = dp_view_rank (board->view, group->name, 0, ranked, OWNERS_MAX);
  for (guint i = 0; i < count; i++)
    {
      if (entry_vm (board, ranked[i]->name)->silent_until > board->now)
        continue;
      owner->vm = ranked[i]->name;
      owner->role = DP_ROLE_SCHEDULER;
      return TRUE;
    }
  return FALSE;
}

static guint
live_entries (const DpEntryBoard *board, DpName centre)
{
  guint count = 0;
  for (guint i = 0; i < board->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (board->view->vms, DpVm, i);
      if (vm->state == DP_VM_LIVE && vm->data_centre == centre)
        count++;
    }
  return MAX (count, 1);
}

static guint
sent_to (DpEntryBoard *board, DpName target)
{
  guint count = 0;
  for (DpHandle h = dp_table_next (board->requests, 0); h != 0;
       h = dp_table_next (board->requests, h))
    {
      const Request *other = dp_table_get (board->requests, h);
      if (other->phase == PHASE_SENT && other->target == target)
        count++;
    }
  return count;
}

gboolean
entry_groups_excludes (const Request *request, DpName target)
{
  for (guint i = 0; i < request->ask.excluded_count; i++)
    if (request->ask.excluded[i] == target)
      return TRUE;
  return FALSE;
}

static gboolean
carries (const DpManifest *manifest, const DpTarget *target, DpName model)
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

/* Only targets of this data centre: other data centres' owners may well be reachable to others.
 */
int
entry_groups_local_target (DpEntryBoard *board, const Request *request)
{
  const DpManifest *manifest = board->routes->manifest;
  int centre = dp_manifest_find (manifest, DP_MANIFEST_DATA_CENTRE, board->options.data_centre);
  DpName pool = entry_pool (request)->name;
  guint entries = live_entries (board, board->options.data_centre);
  int best = -1;
  guint best_free = 0;
  for (guint i = 0; i < manifest->targets->len; i++)
    {
      const DpTarget *target = DP_MANIFEST_ROW (manifest, targets, DpTarget, i);
      if ((int)target->data_centre != centre || entry_groups_excludes (request, target->name)
          || DP_MANIFEST_ROW (manifest, pools, DpPool, target->pool)->name != pool
          || !carries (manifest, target, request->ask.model))
        continue;
      guint share = MAX (target->window / entries, 1);
      guint used = sent_to (board, target->name);
      guint free = used < share ? share - used : 0;
      if (free <= best_free)
        continue;
      best = (int)i;
      best_free = free;
    }
  return best;
}

void
entry_groups_on_advert (DpEntryBoard *board, const DpAdvert *advert)
{
  GroupState *state = g_hash_table_lookup (board->groups, &advert->group);
  if (state == NULL)
    {
      state = g_new0 (GroupState, 1);
      g_hash_table_insert (board->groups, g_memdup2 (&advert->group, sizeof (DpName)), state);
    }
  state->advert = *advert;
  state->advert_at = board->now;
}
