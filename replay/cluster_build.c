/* Creates the simulated cluster of a trace: manifest, views, cores and engines. */
#include "replay/cluster.h"

#define MODEL "model"
#define POOL "pool"
/* Contains all engines in designs where each entry schedules independently. */
#define SINGLE_DATA_CENTRE "everywhere"
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
has_local_scheduling (DpReplayDesign design)
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

/* Adds a key for each pair of workspace and tier; keys are ordered by workspace, then tier. */
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
find_or_add_data_centre (DpManifest *manifest, const char *name)
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
add_targets (DpManifest *manifest, const DpTrace *trace, gboolean local_scheduling)
{
  DpModel model = { g_strdup (MODEL), dp_name (MODEL), 100 };
  g_array_append_val (manifest->models, model);
  DpPool pool = { .text = g_strdup (POOL), .name = dp_name (POOL) };
  g_array_append_val (manifest->pools, pool);
  guint model_index = 0;
  for (guint i = 0; i < trace->engines->len; i++)
    {
      const DpTraceEngine *engine = &g_array_index (trace->engines, DpTraceEngine, i);
      const char *centre = local_scheduling ? SINGLE_DATA_CENTRE : engine->data_centre;
      DpTarget target = { .text = g_strdup (engine->name),
                          .name = dp_name (engine->name),
                          .data_centre = find_or_add_data_centre (manifest, centre),
                          .address = g_strdup ("127.0.0.1"),
                          .window = engine->window,
                          .prefill_tokens_per_second = engine->prefill,
                          .decode_tokens_per_second = engine->decode,
                          .stream_tokens_per_second = engine->stream,
                          .kv_tokens = engine->kv_tokens };
      target.models = g_array_new (FALSE, FALSE, sizeof (guint));
      g_array_append_val (target.models, model_index);
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
  add_targets (manifest, trace, has_local_scheduling (design));
  dp_manifest_finish (manifest);
  return manifest;
}

static DpVmState
vm_state (const SimVm *vm)
{
  if (vm->crashed)
    return DP_VM_DEAD;
  return vm->leaving ? DP_VM_LEAVING : DP_VM_LIVE;
}

/* With local scheduling a VM sees only itself, so it owns all groups. */
static DpView *
build_view (const Sim *sim, guint observer)
{
  DpVm *rows = g_new0 (DpVm, sim->trace->vms->len);
  guint count = 0;
  for (guint i = 0; i < sim->trace->vms->len; i++)
    {
      if (has_local_scheduling (sim->design) && i != observer)
        continue;
      rows[count].name = sim->vms[i].name;
      rows[count].data_centre = sim->vms[i].data_centre;
      rows[count].incarnation = 1;
      rows[count].state = vm_state (&sim->vms[i]);
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
  sim_handle_scheduler_event (
    sim, vm, &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = view });
  sim_handle_entry_event (sim, vm,
                          &(DpEntryEvent){ .type = DP_ENTRY_EVENT_VIEW, .view = view });
  dp_view_unref (view);
}

static DpSchedulerPolicy
scheduler_policy (DpReplayDesign design)
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
set_vm_names (Sim *sim, guint index)
{
  const DpTraceVm *row = &g_array_index (sim->trace->vms, DpTraceVm, index);
  sim->vms[index].name = dp_name (row->name);
  sim->vms[index].data_centre = dp_name (row->data_centre);
}

static void
create_cores (Sim *sim, guint index)
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
                                                    .policy = scheduler_policy (sim->design) });
  sim_handle_scheduler_event (
    sim, index,
    &(DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST, .manifest = sim->manifest });
  sim_handle_entry_event (
    sim, index, &(DpEntryEvent){ .type = DP_ENTRY_EVENT_MANIFEST, .manifest = sim->manifest });
  sim_send_view (sim, index);
}

guint64
sim_block_hash (guint prefix, guint request, guint position)
{
  guint key[3] = { prefix, prefix > 0 ? 0 : request + 1, position };
  return dp_hash_bytes (key, sizeof key, 1);
}

void
sim_init (Sim *sim)
{
  const DpTrace *trace = sim->trace;
  sim->heap = g_ptr_array_new ();
  sim->attempts = g_hash_table_new_full (hash_id, equal_ids, NULL, g_free);
  sim->manifest = sim_build_manifest (trace, sim->design);
  sim->requests = g_new0 (SimRequest, MAX (trace->requests->len, 1));
  sim->open_requests = trace->requests->len;
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
    set_vm_names (sim, i);
  for (guint i = 0; i < trace->vms->len; i++)
    {
      create_cores (sim, i);
      sim_push_event (sim, (DpUsec)i * DP_REPLAY_TICK_INTERVAL / trace->vms->len,
                      SIM_EVENT_TICK, i);
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
