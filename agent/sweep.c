#include "agent/sweep.h"

#include "core/sweep.h"

#define SLOTS_PER_DAY 2880
/* Slots listed again after a start, for buckets that were left while no VM deleted them. */
#define CATCH_UP_SLOTS (2 * SLOTS_PER_DAY)
#define CALL_INTERVAL (500 * DP_USEC_PER_MSEC)
#define RENDEZVOUS_KEY "sweep"

struct DpSweep
{
  DpPlatformClient *platform;
  DpName vm;
  DpCounters *counters;
  guint32 next_slot; /* to list; 0: not started */
  GArray *pending;   /* DpPlatformObject: listed buckets to delete */
  gboolean is_calling;
  DpUsec next_call_at;
};

static void
clear_object (gpointer row)
{
  g_free (((DpPlatformObject *)row)->path);
}

DpSweep *
dp_sweep_new (DpPlatformClient *platform, DpName vm, DpCounters *counters)
{
  DpSweep *sweep = g_new0 (DpSweep, 1);
  sweep->platform = dp_platform_client_ref (platform);
  sweep->vm = vm;
  sweep->counters = dp_counters_ref (counters);
  sweep->pending = g_array_new (FALSE, FALSE, sizeof (DpPlatformObject));
  g_array_set_clear_func (sweep->pending, clear_object);
  return sweep;
}

void
dp_sweep_free (DpSweep *sweep)
{
  if (sweep == NULL)
    return;
  dp_platform_client_unref (sweep->platform);
  dp_counters_unref (sweep->counters);
  g_array_unref (sweep->pending);
  g_free (sweep);
}

static gboolean
is_responsible (const DpSweep *sweep, const DpView *view)
{
  const DpVm *first;
  return view != NULL && dp_view_rank (view, dp_name (RENDEZVOUS_KEY), 0, &first, 1) == 1
         && first->name == sweep->vm;
}

static void
on_listed (const DpPlatformReply *reply, gpointer user)
{
  DpSweep *sweep = user;
  sweep->is_calling = FALSE;
  if (reply->result != DP_PLATFORM_OK)
    return; /* the slot is listed again */
  for (guint i = 0; i < reply->objects->len; i++)
    {
      const DpPlatformObject *object = &g_array_index (reply->objects, DpPlatformObject, i);
      DpPlatformObject row = { g_strdup (object->path), object->version };
      g_array_append_val (sweep->pending, row);
    }
  sweep->next_slot++;
}

static void
on_deleted (const DpPlatformReply *reply, gpointer user)
{
  DpSweep *sweep = user;
  sweep->is_calling = FALSE;
  dp_counters_add (sweep->counters, "dogwoodplank_claim_buckets_deleted_total", "result",
                   dp_platform_result_name (reply->result), 1);
}

static void
list_slot (DpSweep *sweep)
{
  char prefix[32];
  g_snprintf (prefix, sizeof prefix, "claims/%u/", sweep->next_slot);
  const DpPlatformCall call = { .type = DP_PLATFORM_LIST, .path = prefix };
  sweep->is_calling = TRUE;
  dp_platform_client_call (sweep->platform, &call, on_listed, sweep);
}

/* A bucket whose deletion fails is tried again only after the next start. */
static void
delete_next_bucket (DpSweep *sweep)
{
  guint last = sweep->pending->len - 1;
  const DpPlatformObject *object = &g_array_index (sweep->pending, DpPlatformObject, last);
  const DpPlatformCall call
    = { .type = DP_PLATFORM_DELETE, .path = object->path, .version = object->version };
  sweep->is_calling = TRUE;
  dp_platform_client_call (sweep->platform, &call, on_deleted, sweep);
  g_array_set_size (sweep->pending, last);
}

void
dp_sweep_tick (DpSweep *sweep, const DpView *view, DpUsec now, DpUsec wall)
{
  if (sweep->is_calling || now < sweep->next_call_at || !is_responsible (sweep, view))
    return;
  sweep->next_call_at = now + CALL_INTERVAL;
  guint32 newest = dp_sweep_newest_deletable_slot (wall);
  if (sweep->next_slot == 0)
    sweep->next_slot = newest > CATCH_UP_SLOTS ? newest - CATCH_UP_SLOTS : 1;
  if (sweep->pending->len > 0)
    delete_next_bucket (sweep);
  else if (sweep->next_slot <= newest)
    list_slot (sweep);
}
