#include "core/reach.h"

/* This VM is cut off after failed connections to this many targets that a gateway reached, with
 * no response on a connection of its own since. */
#define CUT_OFF_TARGETS 2
/* It is no gateway for others after failed connections to this many targets. */
#define DOUBTFUL_TARGETS 3
/* After this time without a further failure it is one again, cut off or not, until the next. */
#define DOUBTFUL_DURATION (5 * DP_USEC_PER_SEC)
/* A lost link, or all of them, is tried with one attempt after this interval, which doubles
 * with each failure. */
#define RETRY_INTERVAL_MIN (250 * DP_USEC_PER_MSEC)
#define RETRY_INTERVAL_MAX DP_USEC_PER_SEC
/* A lost link that no attempt has used for this long is forgotten. */
#define LINK_AGE_MAX (30 * DP_USEC_PER_SEC)
/* While no path works, this time passes between two attempts that try one. */
#define NO_PATH_INTERVAL (250 * DP_USEC_PER_MSEC)
/* No further path is tried this long after the attempt began. */
#define SEARCH_TIME_MAX (400 * DP_USEC_PER_MSEC)
/* Gateways that are used in turn. While there are fewer that work, another VM is tried at this
 * interval. */
#define GATEWAYS_KEPT 3
#define EXPLORE_INTERVAL (250 * DP_USEC_PER_MSEC)
/* A gateway that failed is avoided for this long, which doubles with each failure. */
#define AVOID_MIN (500 * DP_USEC_PER_MSEC)
#define AVOID_MAX (8 * DP_USEC_PER_SEC)
/* A gateway that has worked counts as failed after this many connections in a row that it could
 * not open; any other after the first. */
#define KEPT_UNREACHED_MAX 3
/* VMs of a data centre are avoided after this many of them have failed as gateways, since most
 * likely all have lost their links. */
#define DATA_CENTRE_FAILURES 2

/* A target that this VM doesn't reach directly. */
typedef struct Link
{
  DpUsec failed_at;
  DpUsec next_try_at;
  DpUsec retry_interval;
} Link;

/* A VM that has failed as a gateway, or all VMs of a data centre. */
typedef struct Failing
{
  guint failures;  /* consecutive */
  guint unreached; /* consecutive connections that it could not open */
  DpUsec avoided_until;
} Failing;

struct DpReach
{
  DpReachOptions options;
  DpView *view;
  guint64 random;           /* state of the random number generator */
  GHashTable *links;        /* DpName of a target -> Link */
  GHashTable *gateways;     /* DpName of a VM -> Failing */
  GHashTable *data_centres; /* DpName -> Failing */
  GArray *kept;             /* DpName: gateways that work */
  guint next_kept;
  DpUsec next_exploration_at;
  /* since the last success of a direct connection: targets that were not reached, and those of
   * them that a gateway reached */
  DpName unreached[DOUBTFUL_TARGETS];
  guint unreached_count;
  DpUsec doubtful_until; /* after the last failure */
  DpName lost[CUT_OFF_TARGETS];
  guint lost_count;
  Link all; /* while this VM is cut off */
  DpUsec no_path_until;
};

DpReach *
dp_reach_new (const DpReachOptions *options)
{
  DpReach *reach = g_new0 (DpReach, 1);
  reach->options = *options;
  reach->random = options->seed;
  reach->links = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  reach->gateways = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  reach->data_centres = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  reach->kept = g_array_new (FALSE, FALSE, sizeof (DpName));
  return reach;
}

void
dp_reach_free (DpReach *reach)
{
  if (reach == NULL)
    return;
  dp_view_unref (reach->view);
  g_hash_table_unref (reach->links);
  g_hash_table_unref (reach->gateways);
  g_hash_table_unref (reach->data_centres);
  g_array_unref (reach->kept);
  g_free (reach);
}

static gboolean
is_missing (gpointer key, gpointer value, gpointer view)
{
  return dp_view_find (view, *(const DpName *)key) == NULL;
}

void
dp_reach_set_view (DpReach *reach, DpView *view)
{
  dp_view_unref (reach->view);
  reach->view = dp_view_ref (view);
  g_hash_table_foreach_remove (reach->gateways, is_missing, view);
  for (guint i = reach->kept->len; i > 0; i--)
    if (dp_view_find (view, g_array_index (reach->kept, DpName, i - 1)) == NULL)
      g_array_remove_index (reach->kept, i - 1);
}

static guint64
next_random (DpReach *reach)
{
  reach->random = dp_hash_bytes (&reach->random, sizeof reach->random, 1);
  return reach->random;
}

/* --- direct connections --- */

/* Returns the new number of names; those beyond `max` are not stored. */
static guint
add_name (DpName *names, guint count, guint max, DpName name)
{
  for (guint i = 0; i < count; i++)
    if (names[i] == name)
      return count;
  if (count == max)
    return count;
  names[count] = name;
  return count + 1;
}

static void
delay_next_try (Link *link, DpUsec now)
{
  link->retry_interval = link->retry_interval == 0
                           ? RETRY_INTERVAL_MIN
                           : MIN (2 * link->retry_interval, RETRY_INTERVAL_MAX);
  link->failed_at = now;
  link->next_try_at = now + link->retry_interval;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer now)
{
  return *(const DpUsec *)now - ((const Link *)value)->failed_at > LINK_AGE_MAX;
}

static void
record_lost_link (DpReach *reach, DpName target, DpUsec now)
{
  Link *link = g_hash_table_lookup (reach->links, &target);
  if (link == NULL)
    {
      g_hash_table_foreach_remove (reach->links, is_forgotten, &now);
      link = g_new0 (Link, 1);
      g_hash_table_insert (reach->links, g_memdup2 (&target, sizeof target), link);
    }
  delay_next_try (link, now);
}

void
dp_reach_record_direct (DpReach *reach, DpName target, gboolean succeeded, DpUsec now)
{
  if (!succeeded)
    {
      reach->unreached_count
        = add_name (reach->unreached, reach->unreached_count, DOUBTFUL_TARGETS, target);
      reach->doubtful_until = now + DOUBTFUL_DURATION;
      return;
    }
  reach->unreached_count = 0;
  reach->lost_count = 0;
  reach->all = (Link){ 0 };
  reach->no_path_until = 0;
  g_hash_table_remove (reach->links, &target);
}

gboolean
dp_reach_is_cut_off (const DpReach *reach)
{
  return reach->lost_count == CUT_OFF_TARGETS;
}

static gboolean
is_doubtful (const DpReach *reach)
{
  return reach->unreached_count >= DOUBTFUL_TARGETS;
}

gboolean
dp_reach_may_serve (const DpReach *reach, DpUsec now)
{
  gboolean is_sound = !dp_reach_is_cut_off (reach) && !is_doubtful (reach);
  return is_sound || now >= reach->doubtful_until;
}

gboolean
dp_reach_has_lost_link (const DpReach *reach, DpName target, DpUsec now)
{
  const Link *link = g_hash_table_lookup (reach->links, &target);
  return link != NULL && now - link->failed_at <= LINK_AGE_MAX;
}

/* TRUE if a direct connection is to be tried first. While the link is lost, only one attempt at
 * a time does so. */
static gboolean
may_try_directly (DpReach *reach, DpName target, DpUsec now)
{
  Link *link
    = dp_reach_is_cut_off (reach) ? &reach->all : g_hash_table_lookup (reach->links, &target);
  if (link == NULL)
    return TRUE;
  if (now < link->next_try_at)
    return FALSE;
  link->next_try_at = now + link->retry_interval;
  return TRUE;
}

/* --- gateways --- */

static Failing *
ensure_failing (GHashTable *table, DpName name)
{
  Failing *row = g_hash_table_lookup (table, &name);
  if (row != NULL)
    return row;
  row = g_new0 (Failing, 1);
  g_hash_table_insert (table, g_memdup2 (&name, sizeof name), row);
  return row;
}

static gboolean
is_avoided (GHashTable *table, DpName name, DpUsec now)
{
  const Failing *row = g_hash_table_lookup (table, &name);
  return row != NULL && now < row->avoided_until;
}

static DpName
data_centre_of (const DpReach *reach, DpName vm)
{
  const DpVm *row = reach->view != NULL ? dp_view_find (reach->view, vm) : NULL;
  return row != NULL ? row->data_centre : 0;
}

static void
drop_kept (DpReach *reach, DpName vm)
{
  for (guint i = 0; i < reach->kept->len; i++)
    if (g_array_index (reach->kept, DpName, i) == vm)
      {
        g_array_remove_index (reach->kept, i);
        return;
      }
}

static void
record_gateway_failure (DpReach *reach, DpName vm, DpUsec now)
{
  drop_kept (reach, vm);
  /* An attempt from before: the failure was counted. */
  if (is_avoided (reach->gateways, vm, now))
    return;
  Failing *row = ensure_failing (reach->gateways, vm);
  DpUsec avoid = AVOID_MIN << MIN (row->failures, 8);
  row->failures++;
  row->avoided_until = now + MIN (avoid, AVOID_MAX);
  DpName data_centre = data_centre_of (reach, vm);
  if (data_centre == 0)
    return;
  Failing *all = ensure_failing (reach->data_centres, data_centre);
  all->failures++;
  if (all->failures >= DATA_CENTRE_FAILURES)
    all->avoided_until = now + MIN (AVOID_MIN << MIN (all->failures, 8), AVOID_MAX);
}

static gboolean
is_kept (const DpReach *reach, DpName vm)
{
  for (guint i = 0; i < reach->kept->len; i++)
    if (g_array_index (reach->kept, DpName, i) == vm)
      return TRUE;
  return FALSE;
}

static void
record_gateway_success (DpReach *reach, DpName vm)
{
  if (reach->kept->len < GATEWAYS_KEPT && !is_kept (reach, vm))
    g_array_append_val (reach->kept, vm);
  g_hash_table_remove (reach->gateways, &vm);
  DpName data_centre = data_centre_of (reach, vm);
  g_hash_table_remove (reach->data_centres, &data_centre);
}

/* The target may be down, or the gateway has lost its links and doesn't know it yet. */
static void
record_gateway_unreached (DpReach *reach, DpName vm, DpUsec now)
{
  Failing *row = ensure_failing (reach->gateways, vm);
  row->unreached++;
  if (!is_kept (reach, vm) || row->unreached >= KEPT_UNREACHED_MAX)
    record_gateway_failure (reach, vm, now);
}

static gboolean
is_usable (const DpReach *reach, const DpPathSearch *search, DpName vm, DpUsec now)
{
  if (vm == reach->options.self || !dp_owners_is_available (reach->options.owners, vm)
      || is_avoided (reach->gateways, vm, now))
    return FALSE;
  for (guint i = 0; i < search->gateway_count; i++)
    if (search->gateways[i] == vm)
      return FALSE;
  return TRUE;
}

/* Lower is better. Bytes between data centres cost, so a gateway in this one comes first. */
static guint
gateway_class (const DpReach *reach, const DpVm *vm, DpUsec now)
{
  if (is_avoided (reach->data_centres, vm->data_centre, now))
    return 2;
  return vm->data_centre == reach->options.data_centre ? 0 : 1;
}

/* Returns a VM of the best class that isn't kept, at random by weight; 0 if there is none. */
static DpName
find_new_gateway (DpReach *reach, const DpPathSearch *search, DpUsec now)
{
  DpName chosen = 0;
  guint best_class = G_MAXUINT;
  guint64 total = 0;
  for (guint i = 0; reach->view != NULL && i < reach->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (reach->view->vms, DpVm, i);
      if (is_kept (reach, vm->name) || !is_usable (reach, search, vm->name, now))
        continue;
      guint class = gateway_class (reach, vm, now);
      if (class > best_class)
        continue;
      if (class < best_class)
        total = 0;
      best_class = class;
      guint share = dp_vm_share (vm);
      total += share;
      if (next_random (reach) % total < share)
        chosen = vm->name;
    }
  return chosen;
}

/* Uses the kept ones in turn, but prefers one in either data centre, so that bytes cross only
 * once. Returns 0 if there is none. */
static DpName
find_kept_gateway (DpReach *reach, const DpPathSearch *search, DpUsec now)
{
  DpName found = 0;
  reach->next_kept++;
  for (guint i = 0; i < reach->kept->len; i++)
    {
      DpName vm
        = g_array_index (reach->kept, DpName, (reach->next_kept + i) % reach->kept->len);
      if (!is_usable (reach, search, vm, now))
        continue;
      DpName data_centre = data_centre_of (reach, vm);
      if (data_centre == search->data_centre || data_centre == reach->options.data_centre)
        return vm;
      found = found != 0 ? found : vm;
    }
  return found;
}

static DpName
choose_gateway (DpReach *reach, const DpPathSearch *search, DpUsec now)
{
  DpName found = 0;
  if (reach->kept->len < GATEWAYS_KEPT && now >= reach->next_exploration_at)
    found = find_new_gateway (reach, search, now);
  if (found != 0 && reach->kept->len > 0)
    reach->next_exploration_at = now + EXPLORE_INTERVAL;
  if (found == 0)
    found = find_kept_gateway (reach, search, now);
  return found != 0 ? found : find_new_gateway (reach, search, now);
}

static gboolean
has_other_vms (const DpReach *reach)
{
  return reach->view != NULL && reach->view->vms->len > 1;
}

/* --- attempts --- */

static gboolean
set_gateway (DpReach *reach, DpPathSearch *search, DpUsec now)
{
  DpName vm
    = search->gateway_count < DP_GATEWAY_TRIES_MAX && now - search->started_at < SEARCH_TIME_MAX
        ? choose_gateway (reach, search, now)
        : 0;
  search->path = (DpPath){ .kind = vm != 0 ? DP_PATH_GATEWAY : DP_PATH_NONE, .gateway = vm };
  if (vm == 0)
    return FALSE;
  search->gateways[search->gateway_count++] = vm;
  return TRUE;
}

DpPathSearch
dp_reach_begin (DpReach *reach, DpName target, DpName target_data_centre, DpUsec now)
{
  DpPathSearch search = { .target = target,
                          .data_centre = target_data_centre,
                          .path = { .kind = DP_PATH_NONE },
                          .started_at = now };
  if (now < reach->no_path_until)
    return search;
  /* Without a gateway, trying in vain costs less than refusing what would work. */
  if (may_try_directly (reach, target, now) || !set_gateway (reach, &search, now))
    search.path.kind = DP_PATH_DIRECT;
  return search;
}

static void
record_gateway_end (DpReach *reach, DpPathSearch *search, DpPathFailure failure, DpUsec now)
{
  switch (failure)
    {
    case DP_PATH_UNREACHED:
      search->is_target_unreached = TRUE;
      record_gateway_unreached (reach, search->path.gateway, now);
      break;
    case DP_PATH_GATEWAY_FAILED:
      record_gateway_failure (reach, search->path.gateway, now);
      break;
    case DP_PATH_GATEWAY_REFUSED:
      search->is_target_refused = TRUE;
      break;
    }
}

static void
record_failure (DpReach *reach, DpPathSearch *search, DpPathFailure failure, DpUsec now)
{
  switch (search->path.kind)
    {
    case DP_PATH_DIRECT:
      search->direct_failed = TRUE;
      search->is_target_unreached |= !has_other_vms (reach);
      dp_reach_record_direct (reach, search->target, FALSE, now);
      if (dp_reach_is_cut_off (reach))
        delay_next_try (&reach->all, now);
      break;
    case DP_PATH_GATEWAY:
      record_gateway_end (reach, search, failure, now);
      break;
    case DP_PATH_NONE:
      break;
    }
}

gboolean
dp_reach_next (DpReach *reach, DpPathSearch *search, DpPathFailure failure, DpUsec now)
{
  record_failure (reach, search, failure, now);
  if (search->is_target_unreached)
    {
      search->path.kind = DP_PATH_NONE;
      return FALSE;
    }
  if (set_gateway (reach, search, now))
    return TRUE;
  if (!search->direct_failed && now - search->started_at < SEARCH_TIME_MAX)
    {
      search->path.kind = DP_PATH_DIRECT;
      return TRUE;
    }
  /* No other VM can tell. While this one reaches other targets, the target is at fault. */
  gboolean may_be_cut_off = dp_reach_is_cut_off (reach) || is_doubtful (reach);
  search->is_target_unreached = search->direct_failed && !may_be_cut_off;
  if (may_be_cut_off && search->gateway_count < DP_GATEWAY_TRIES_MAX
      && !search->is_target_refused)
    reach->no_path_until = now + NO_PATH_INTERVAL;
  return FALSE;
}

void
dp_reach_succeeded (DpReach *reach, const DpPathSearch *search, DpUsec now)
{
  switch (search->path.kind)
    {
    case DP_PATH_DIRECT:
      dp_reach_record_direct (reach, search->target, TRUE, now);
      break;
    case DP_PATH_GATEWAY:
      record_gateway_success (reach, search->path.gateway);
      reach->no_path_until = 0;
      if (!search->direct_failed)
        break;
      record_lost_link (reach, search->target, now);
      reach->lost_count
        = add_name (reach->lost, reach->lost_count, CUT_OFF_TARGETS, search->target);
      if (dp_reach_is_cut_off (reach) && reach->all.retry_interval == 0)
        delay_next_try (&reach->all, now);
      break;
    case DP_PATH_NONE:
      break;
    }
}
