#include "core/owners.h"

#include <math.h>

/* A candidate is probed after this time without a message from it. */
#define PROBE_INTERVAL (400 * DP_USEC_PER_MSEC)
/* A VM is unresponsive this long after an unanswered probe. It is longer than a slow VM needs
 * to drain a full send queue, and well below the time that callers wait. */
#define PROBE_TIMEOUT (250 * DP_USEC_PER_MSEC)
/* VMs that use this one as an owner send messages far more often. */
#define IN_TOUCH_AGE_MAX (2500 * DP_USEC_PER_MSEC)
/* Small fleets: the first VMs in the ranking of this key are the relays. */
#define RELAY_KEY "relays"
/* VMs with at least this fraction of the largest weight are in the strongest class. */
#define STRONGEST_CLASS_FRACTION 0.7
/* After a timeout a VM owns nothing until it has been responsive for this long. The time
 * doubles with each further timeout, up to the maximum. */
#define PROBATION_MIN DP_USEC_PER_SEC
#define PROBATION_MAX (8 * DP_USEC_PER_SEC)
/* The same for a VM that has restarted. When many VMs restart one after another, each pool
 * changes its owner once per leaving owner instead of twice. */
#define RESTART_PROBATION (2 * DP_USEC_PER_SEC)
/* After this time without a timeout, the probation starts at the minimum again. */
#define TIMEOUT_MEMORY (30 * DP_USEC_PER_SEC)

typedef struct Peer
{
  DpUsec last_seen_at;
  DpUsec probed_at; /* 0: no probe is outstanding */
  gboolean is_unresponsive;
  gboolean is_leaving;
  DpUsec timed_out_at;     /* last timeout or restart; 0: never */
  DpUsec probation;        /* duration of the probation after it */
  DpUsec responsive_since; /* the probation runs from here */
  gboolean has_rules;      /* it has sent a message that states them, or would */
  guint64 rules;
} Peer;

struct DpOwners
{
  DpName self;
  DpUsec started_at;
  DpView *view;
  GHashTable *peers;    /* DpName -> Peer */
  GHashTable *rankings; /* key -> GArray of DpName, the owner first */
};

DpOwners *
dp_owners_new (DpName self, DpUsec started_at)
{
  DpOwners *owners = g_new0 (DpOwners, 1);
  owners->self = self;
  owners->started_at = started_at;
  owners->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  owners->rankings = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                            (GDestroyNotify)g_array_unref);
  return owners;
}

void
dp_owners_free (DpOwners *owners)
{
  if (owners == NULL)
    return;
  dp_view_unref (owners->view);
  g_hash_table_unref (owners->peers);
  g_hash_table_unref (owners->rankings);
  g_free (owners);
}

void
dp_owners_set_view (DpOwners *owners, DpView *view)
{
  dp_view_unref (owners->view);
  owners->view = dp_view_ref (view);
  g_hash_table_remove_all (owners->rankings);
}

static Peer *
find_peer (const DpOwners *owners, DpName vm)
{
  return g_hash_table_lookup (owners->peers, &vm);
}

static Peer *
ensure_peer (DpOwners *owners, DpName vm)
{
  Peer *peer = find_peer (owners, vm);
  if (peer != NULL)
    return peer;
  peer = g_new0 (Peer, 1);
  g_hash_table_insert (owners->peers, g_memdup2 (&vm, sizeof vm), peer);
  return peer;
}

typedef struct RankedVm
{
  DpName vm;
  guint64 rules;
  guint weight_class;
  guint64 score;
} RankedVm;

static gint
compare_ranked_vms (gconstpointer a, gconstpointer b)
{
  const RankedVm *left = a;
  const RankedVm *right = b;
  if (left->rules != right->rules)
    return left->rules > right->rules ? -1 : 1;
  if (left->weight_class != right->weight_class)
    return (left->weight_class > right->weight_class)
           - (left->weight_class < right->weight_class);
  return (left->score < right->score) - (left->score > right->score);
}

static guint
effective_weight (const DpVm *vm)
{
  return vm->weight > 0 ? vm->weight : DP_VM_SHARE_DEFAULT;
}

/* An owner works for all VMs, so a weak one would be overloaded first. The strongest class
 * ranks first regardless of the hash, followed by one class for each halving of the weight. */
static guint
weight_class (guint weight, guint largest)
{
  if (weight >= largest * STRONGEST_CLASS_FRACTION)
    return 0;
  return 1 + (guint)log2 ((double)largest / weight);
}

static guint
largest_weight (const DpOwners *owners)
{
  guint largest = 0;
  for (guint i = 0; owners->view != NULL && i < owners->view->vms->len; i++)
    largest = MAX (largest, effective_weight (&g_array_index (owners->view->vms, DpVm, i)));
  return largest;
}

gboolean
dp_owners_is_strongest (const DpOwners *owners)
{
  const DpVm *self = owners->view != NULL ? dp_view_find (owners->view, owners->self) : NULL;
  return self == NULL || weight_class (effective_weight (self), largest_weight (owners)) == 0;
}

static guint64
rules_of (const DpOwners *owners, const DpVm *vm)
{
  const Peer *peer = find_peer (owners, vm->name);
  return peer != NULL && peer->has_rules ? peer->rules : dp_rules_level (vm->rules);
}

guint64
dp_owners_rules (const DpOwners *owners, DpName vm)
{
  const DpVm *row = owners->view != NULL ? dp_view_find (owners->view, vm) : NULL;
  return row != NULL ? rules_of (owners, row) : 0;
}

/* Levels 0 and 1 differ by their weights, which VMs of level 0 rank by, too. So all VMs agree
 * on the owner, also those that have the list from a VM that doesn't pass levels on. */
static GArray *
rank_vms (const DpOwners *owners, DpName key)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (RankedVm));
  guint count = owners->view != NULL ? owners->view->vms->len : 0;
  guint largest = largest_weight (owners);
  for (guint i = 0; i < count; i++)
    {
      const DpVm *vm = &g_array_index (owners->view->vms, DpVm, i);
      RankedVm row = { .vm = vm->name,
                       .rules = MAX (rules_of (owners, vm), 1),
                       .weight_class = weight_class (effective_weight (vm), largest),
                       .score = dp_rendezvous_weight (key, vm->name) };
      g_array_append_val (rows, row);
    }
  g_array_sort (rows, compare_ranked_vms);
  GArray *names = g_array_new (FALSE, FALSE, sizeof (DpName));
  for (guint i = 0; i < rows->len; i++)
    g_array_append_val (names, g_array_index (rows, RankedVm, i).vm);
  g_array_unref (rows);
  return names;
}

static const GArray *
obtain_ranking (DpOwners *owners, DpName key)
{
  GArray *names = g_hash_table_lookup (owners->rankings, &key);
  if (names == NULL)
    {
      names = rank_vms (owners, key);
      g_hash_table_insert (owners->rankings, g_memdup2 (&key, sizeof key), names);
    }
  return names;
}

/* TRUE if the VM timed out or restarted and has not been responsive for long enough since. */
static gboolean
is_on_probation (const Peer *peer, DpUsec now)
{
  return peer->timed_out_at != 0 && now - peer->responsive_since < peer->probation;
}

/* FALSE while this VM starts or stops: another VM knows more, or will be there for longer. */
static gboolean
may_own (const DpOwners *owners, DpUsec now)
{
  const Peer *self = find_peer (owners, owners->self);
  return now - owners->started_at >= RESTART_PROBATION && (self == NULL || !self->is_leaving);
}

/* The first candidates that don't leave count as responsive until they time out; VMs further
 * down only once a message from them was received. */
DpName
dp_owners_choose (DpOwners *owners, DpName key, DpUsec now)
{
  const GArray *names = obtain_ranking (owners, key);
  gboolean is_large = names->len > DP_RELAY_SHARED_FLEET_MAX;
  guint candidates = is_large ? DP_OWNER_CANDIDATES_LARGE : DP_OWNER_CANDIDATES;
  DpName first_on_probation = 0;
  guint staying = 0;
  for (guint i = 0; i < names->len; i++)
    {
      DpName vm = g_array_index (names, DpName, i);
      const Peer *peer = find_peer (owners, vm);
      if (peer != NULL && peer->is_leaving)
        continue;
      staying++;
      if (vm == owners->self && may_own (owners, now))
        break;
      if (vm == owners->self || (peer != NULL && peer->is_unresponsive))
        continue;
      gboolean was_seen = peer != NULL && peer->last_seen_at != 0;
      if (peer != NULL && is_on_probation (peer, now))
        first_on_probation = first_on_probation != 0 ? first_on_probation : vm;
      else if (was_seen || staying <= candidates)
        return vm;
    }
  /* If all others timed out, most likely this VM was cut off. */
  return first_on_probation != 0 ? first_on_probation : owners->self;
}

void
dp_owners_on_message (DpOwners *owners, DpName vm, DpUsec now)
{
  Peer *peer = ensure_peer (owners, vm);
  if (peer->is_unresponsive)
    peer->responsive_since = now;
  peer->last_seen_at = now;
  peer->probed_at = 0;
  peer->is_unresponsive = FALSE;
}

void
dp_owners_set_rules (DpOwners *owners, DpName vm, guint64 rules)
{
  Peer *peer = ensure_peer (owners, vm);
  guint64 level = dp_rules_level (rules);
  if (peer->has_rules && peer->rules == level)
    return;
  peer->has_rules = TRUE;
  peer->rules = level;
  g_hash_table_remove_all (owners->rankings);
}

void
dp_owners_set_leaving (DpOwners *owners, DpName vm, gboolean is_leaving, DpUsec now)
{
  Peer *peer = ensure_peer (owners, vm);
  if (peer->is_leaving && !is_leaving)
    {
      /* It has just started and does not have the state of the keys it would own. */
      peer->timed_out_at = now;
      peer->responsive_since = now;
      peer->probation = RESTART_PROBATION;
    }
  peer->is_leaving = is_leaving;
}

static void
set_unresponsive (Peer *peer, DpUsec now)
{
  if (peer->is_unresponsive)
    return;
  peer->is_unresponsive = TRUE;
  gboolean is_first = peer->timed_out_at == 0 || now - peer->timed_out_at > TIMEOUT_MEMORY;
  peer->probation = is_first ? PROBATION_MIN : MIN (2 * peer->probation, PROBATION_MAX);
  peer->timed_out_at = now;
}

void
dp_owners_on_timeout (DpOwners *owners, DpName vm, DpUsec now)
{
  if (vm != owners->self)
    set_unresponsive (ensure_peer (owners, vm), now);
}

gboolean
dp_owners_is_unresponsive (const DpOwners *owners, DpName vm)
{
  const Peer *peer = find_peer (owners, vm);
  return peer != NULL && peer->is_unresponsive;
}

gboolean
dp_owners_is_available (const DpOwners *owners, DpName vm)
{
  const Peer *peer = find_peer (owners, vm);
  return peer == NULL || (!peer->is_unresponsive && !peer->is_leaving);
}

void
dp_owners_prefer_available (const DpOwners *owners, DpName *vms, guint count)
{
  guint available = 0;
  for (guint i = 0; i < count; i++)
    {
      DpName vm = vms[i];
      if (!dp_owners_is_available (owners, vm))
        continue;
      for (guint j = i; j > available; j--)
        vms[j] = vms[j - 1];
      vms[available++] = vm;
    }
}

DpUsec
dp_owners_last_seen_at (const DpOwners *owners, DpName vm)
{
  const Peer *peer = find_peer (owners, vm);
  return peer != NULL ? peer->last_seen_at : 0;
}

static gboolean
check_probe (Peer *peer, DpUsec now)
{
  if (peer->probed_at != 0 && now - peer->probed_at < PROBE_TIMEOUT)
    return FALSE;
  if (peer->probed_at != 0)
    set_unresponsive (peer, now);
  return peer->probed_at != 0 || peer->last_seen_at == 0
         || now - peer->last_seen_at >= PROBE_INTERVAL;
}

void
dp_owners_due_probes (DpOwners *owners, DpName key, guint candidates, DpUsec now, GArray *out)
{
  const GArray *names = obtain_ranking (owners, key);
  guint responsive = 0;
  for (guint i = 0; i < names->len && responsive < candidates; i++)
    {
      DpName vm = g_array_index (names, DpName, i);
      if (vm == owners->self && may_own (owners, now))
        return;
      if (vm == owners->self)
        continue;
      Peer *peer = ensure_peer (owners, vm);
      if (check_probe (peer, now))
        {
          peer->probed_at = now;
          g_array_append_val (out, vm);
        }
      if (!peer->is_unresponsive && !peer->is_leaving)
        responsive++;
    }
}

static gboolean
has_data_centre_relays (const DpOwners *owners)
{
  return owners->view->vms->len > DP_RELAY_SHARED_FLEET_MAX;
}

/* Key whose ranking gives the relays: the data centre, or one key for the whole fleet. */
static DpName
relay_key (const DpOwners *owners, const DpVm *self)
{
  return has_data_centre_relays (owners) ? self->data_centre : dp_name (RELAY_KEY);
}

gboolean
dp_owners_is_relay (DpOwners *owners)
{
  if (owners->view == NULL || owners->view->vms->len < DP_RELAY_FLEET_MIN)
    return TRUE;
  const DpVm *self = dp_view_find (owners->view, owners->self);
  if (self == NULL)
    return TRUE;
  const GArray *names = obtain_ranking (owners, relay_key (owners, self));
  DpName last_data_centre = 0;
  guint earlier = 0;
  for (guint i = 0; i < names->len && earlier < DP_RELAY_COUNT; i++)
    {
      DpName name = g_array_index (names, DpName, i);
      const DpVm *vm = dp_view_find (owners->view, name);
      const Peer *peer = find_peer (owners, name);
      gboolean is_candidate = has_data_centre_relays (owners)
                                ? vm->data_centre == self->data_centre
                                : vm->data_centre != last_data_centre || last_data_centre == 0;
      if (!is_candidate)
        continue;
      if (name == owners->self)
        return TRUE;
      if (peer != NULL && peer->is_leaving)
        continue;
      last_data_centre = vm->data_centre;
      earlier++;
    }
  return FALSE;
}

gboolean
dp_owners_is_relay_client (const DpOwners *owners, const DpVm *vm)
{
  if (owners->view == NULL || owners->view->vms->len < DP_RELAY_FLEET_MIN
      || vm->name == owners->self)
    return FALSE;
  const DpVm *self = dp_view_find (owners->view, owners->self);
  return self != NULL
         && (!has_data_centre_relays (owners) || vm->data_centre == self->data_centre);
}

double
dp_owners_reachable_fraction (const DpOwners *owners, DpUsec now)
{
  if (owners->view == NULL)
    return 1;
  guint in_touch = 1;
  for (guint i = 0; i < owners->view->vms->len; i++)
    {
      DpName vm = g_array_index (owners->view->vms, DpVm, i).name;
      const Peer *peer = find_peer (owners, vm);
      if (vm == owners->self || peer == NULL || peer->last_seen_at == 0)
        continue;
      in_touch += now - peer->last_seen_at < IN_TOUCH_AGE_MAX;
    }
  return (double)in_touch / MAX (owners->view->vms->len, in_touch);
}
