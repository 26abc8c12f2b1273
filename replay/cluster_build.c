/* Builds the cluster of a trace: manifest, views, boards, engines. */
#include "replay/cluster.h"

#define MODEL "model"
#define POOL "pool"
/* The one data centre of designs in which each entry sees all engines by itself. */
#define EVERYWHERE "everywhere"
#define RETRY_PERCENT 10

static guint
hash_id (gconstpointer id)
{
  return (guint)((const DpId *)id)->low;
}

static gboolean
equal_ids (gconstpointer a, gconstpointer b)
{
  return dp_id_equal (*(const DpId *)a, *(const DpId *)b);
}

static gboolean
is_alone (DpReplayDesign design)
{
  return design == DP_REPLAY_ROUND_ROBIN || design == DP_REPLAY_TWO_CHOICES;
}

static void
add_tiers (DpManifest *manifest, const DpTrace *trace)
{
  for (guint i = 0; i < trace->tiers->len; i++)
    {
      const char *name = g_array_index (trace->tiers, DpTraceTier, i).name;
      DpTier tier = { g_strdup (name), dp_name (name), 60 * DP_USEC_PER_SEC };
      g_array_append_val (manifest->tiers, tier);
    }
}

/* One key for each pair of workspace and tier, in that order. */
static void
add_workspaces (DpManifest *manifest, const DpTrace *trace)
{
  for (guint i = 0; i < trace->workspaces->len; i++)
    {
      const DpTraceWorkspace *row = &g_array_index (trace->workspaces, DpTraceWorkspace, i);
      DpWorkspace workspace = { .text = g_strdup (row->name),
                                .name = dp_name (row->name),
                                .weight = row->weight,
                                .retry_percent = RETRY_PERCENT };
      g_array_append_val (manifest->workspaces, workspace);
      for (guint tier = 0; tier < trace->tiers->len; tier++)
        {
          guint number = i * trace->tiers->len + tier;
          DpAccessKey key = { g_strdup_printf ("%064x", number), i, tier };
          g_array_append_val (manifest->keys, key);
        }
    }
}

static guint
obtain_data_centre (DpManifest *manifest, const char *name)
{
  for (guint i = 0; i < manifest->data_centres->len; i++)
    {
      if (DP_MANIFEST_ROW (manifest, data_centres, DpDataCentre, i)->name == dp_name (name))
        return i;
    }
  DpDataCentre centre = { g_strdup (name), dp_name (name), g_strdup ("region") };
  g_array_append_val (manifest->data_centres, centre);
  return manifest->data_centres->len - 1;
}

static void
add_targets (DpManifest *manifest, const DpTrace *trace, gboolean alone)
{
  DpModel model = { g_strdup (MODEL), dp_name (MODEL), 100 };
  g_array_append_val (manifest->models, model);
  DpPool pool = { .text = g_strdup (POOL), .name = dp_name (POOL) };
  g_array_append_val (manifest->pools, pool);
  guint carried = 0;
  for (guint i = 0; i < trace->engines->len; i++)
    {
      const DpTraceEngine *engine = &g_array_index (trace->engines, DpTraceEngine, i);
      const char *centre = alone ? EVERYWHERE : engine->data_centre;
      DpTarget target = { .text = g_strdup (engine->name),
                          .name = dp_name (engine->name),
                          .data_centre = obtain_data_centre (manifest, centre),
                          .address = g_strdup ("127.0.0.1"),
                          .window = engine->window,
                          .prefill_tokens_per_second = engine->prefill,
                          .decode_tokens_per_second = engine->decode,
                          .stream_tokens_per_second = engine->stream,
                          .kv_tokens = engine->kv_tokens };
      target.models = g_array_new (FALSE, FALSE, sizeof (guint));
      g_array_append_val (target.models, carried);
      g_array_append_val (manifest->targets, target);
    }
}

DpManifest *
sim_build_manifest (const DpTrace *trace, DpReplayDesign design)
{
  DpManifest *manifest = dp_manifest_new ();
  manifest->revision = 1;
  if (design == DP_REPLAY_QUEUE_PER_ENGINE)
    manifest->group_targets_max = 1;
  add_tiers (manifest, trace);
  add_workspaces (manifest, trace);
  add_targets (manifest, trace, is_alone (design));
  dp_manifest_finish (manifest);
  return manifest;
}

static DpVmState
state_of (const SimVm *vm)
{
  if (vm->dead)
    return DP_VM_DEAD;
  return vm->leaving ? DP_VM_LEAVING : DP_VM_LIVE;
}

static DpView *
build_view (const Sim *sim, guint reader)
{
  DpVm *rows = g_new0 (DpVm, sim->trace->vms->len);
  guint count = 0;
  for (guint i = 0; i < sim->trace->vms->len; i++)
    {
      if (is_alone (sim->design) && i != reader)
        continue;
      rows[count].name = sim->vms[i].name;
      rows[count].data_centre = sim->vms[i].data_centre;
      rows[count].incarnation = 1;
      rows[count].state = state_of (&sim->vms[i]);
      count++;
    }
  DpView *view = dp_view_new ((guint64)sim->now + 1, rows, count);
  g_free (rows);
  return view;
}

void
sim_send_view (Sim *sim, guint vm)
{
  DpView *view = build_view (sim, vm);
  sim_scheduler_event (sim, vm,
                       &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = view });
  sim_entry_event (sim, vm, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_VIEW, .view = view });
  dp_view_unref (view);
}

static DpSchedulerPolicy
policy_of (DpReplayDesign design)
{
  switch (design)
    {
    case DP_REPLAY_ROUND_ROBIN:
      return DP_POLICY_ROUND_ROBIN;
    case DP_REPLAY_TWO_CHOICES:
      return DP_POLICY_TWO_CHOICES;
    default:
      return DP_POLICY_TIER_QUEUE;
    }
}

static void
name_vm (Sim *sim, guint index)
{
  const DpTraceVm *row = &g_array_index (sim->trace->vms, DpTraceVm, index);
  sim->vms[index].name = dp_name (row->name);
  sim->vms[index].data_centre = dp_name (row->data_centre);
}

static void
build_boards (Sim *sim, guint index)
{
  SimVm *vm = &sim->vms[index];
  vm->entry = dp_entry_core_new (&(DpEntryOptions){ .vm = vm->name,
                                                    .data_centre = vm->data_centre,
                                                    .incarnation = 1,
                                                    .seed = sim->trace->seed,
                                                    .requests_max = 100000 });
  vm->scheduler
    = dp_scheduler_core_new (&(DpSchedulerOptions){ .vm = vm->name,
                                                    .data_centre = vm->data_centre,
                                                    .incarnation = 1,
                                                    .seed = sim->trace->seed + index,
                                                    .policy = policy_of (sim->design) });
  sim_scheduler_event (
    sim, index,
    &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST, .manifest = sim->manifest });
  sim_entry_event (
    sim, index, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_MANIFEST, .manifest = sim->manifest });
  sim_send_view (sim, index);
}

guint64
sim_block (guint prefix, guint request, guint place)
{
  guint key[3] = { prefix, prefix > 0 ? 0 : request + 1, place };
  return dp_hash_bytes (key, sizeof key, 1);
}

void
sim_build (Sim *sim)
{
  const DpTrace *trace = sim->trace;
  sim->heap = g_ptr_array_new ();
  sim->attempts = g_hash_table_new_full (hash_id, equal_ids, NULL, g_free);
  sim->manifest = sim_build_manifest (trace, sim->design);
  sim->requests = g_new0 (SimRequest, MAX (trace->requests->len, 1));
  sim->open = trace->requests->len;
  sim->engines = g_new0 (SimEngine, trace->engines->len);
  for (guint i = 0; i < trace->engines->len; i++)
    {
      const DpTraceEngine *row = &g_array_index (trace->engines, DpTraceEngine, i);
      sim->engines[i].name = dp_name (row->name);
      sim->engines[i].data_centre = dp_name (row->data_centre);
      sim->engines[i].model = dp_engine_model_new (row);
    }
  sim->vms = g_new0 (SimVm, trace->vms->len);
  for (guint i = 0; i < trace->vms->len; i++)
    name_vm (sim, i);
  for (guint i = 0; i < trace->vms->len; i++)
    {
      build_boards (sim, i);
      sim_schedule (sim, (DpUsec)i * DP_REPLAY_TICK_USEC / trace->vms->len, SIM_TICK, i);
    }
}

void
sim_clear (Sim *sim)
{
  for (guint i = 0; i < sim->heap->len; i++)
    sim_event_free (g_ptr_array_index (sim->heap, i));
  g_ptr_array_unref (sim->heap);
  for (guint i = 0; i < sim->trace->vms->len; i++)
    {
      dp_entry_core_unref (sim->vms[i].entry);
      dp_scheduler_core_unref (sim->vms[i].scheduler);
    }
  for (guint i = 0; i < sim->trace->engines->len; i++)
    dp_engine_model_free (sim->engines[i].model);
  g_hash_table_unref (sim->attempts);
  dp_manifest_unref (sim->manifest);
  g_free (sim->requests);
  g_free (sim->engines);
  g_free (sim->vms);
}
