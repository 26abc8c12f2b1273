#include "tests/scheduler_fixture.h"

#include <string.h>

#define TICK_INTERVAL_USEC (50 * DP_USEC_PER_MSEC)
#define HEARTBEAT_INTERVAL_USEC (500 * DP_USEC_PER_MSEC)

static const char *const tier_names[FIXTURE_TIERS] = { "dawn", "office", "batch", "idle" };
static const char *const vm_names[] = { "vm-a", "vm-b", "vm-c" };

static void
add_tiers (DpManifest *manifest)
{
  for (guint i = 0; i < FIXTURE_TIERS; i++)
    {
      DpTier tier = { g_strdup (tier_names[i]), dp_name (tier_names[i]), 60 * DP_USEC_PER_SEC };
      g_array_append_val (manifest->tiers, tier);
    }
}

static void
add_workspaces (DpManifest *manifest)
{
  for (guint i = 0; i < 4; i++)
    {
      char text[8];
      g_snprintf (text, sizeof text, "w%u", i);
      DpWorkspace workspace = { .text = g_strdup (text),
                                .name = dp_name (text),
                                .weight = i == 1 ? 3 : 1,
                                .retry_percent = 10 };
      g_array_append_val (manifest->workspaces, workspace);
    }
}

static guint
model_index (DpManifest *manifest, const char *name)
{
  for (guint i = 0; i < manifest->models->len; i++)
    {
      if (strcmp (DP_MANIFEST_ROW (manifest, models, DpModel, i)->text, name) == 0)
        return i;
    }
  DpModel model = { g_strdup (name), dp_name (name), 100 };
  g_array_append_val (manifest->models, model);
  return manifest->models->len - 1;
}

static void
add_engine (DpManifest *manifest, const FixtureEngine *engine)
{
  DpTarget target = { .text = g_strdup (engine->name),
                      .name = dp_name (engine->name),
                      .address = g_strdup ("127.0.0.1"),
                      .port = 9000,
                      .window = engine->window,
                      .prefill_tokens_per_second = engine->prefill,
                      .decode_tokens_per_second = engine->decode,
                      .stream_tokens_per_second = engine->stream,
                      .kv_tokens = engine->kv_tokens };
  target.models = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < G_N_ELEMENTS (engine->models) && engine->models[i] != NULL; i++)
    {
      guint index = model_index (manifest, engine->models[i]);
      g_array_append_val (target.models, index);
    }
  g_array_append_val (manifest->targets, target);
}

static DpManifest *
build_manifest (const FixtureOptions *options)
{
  DpManifest *manifest = dp_manifest_new ();
  manifest->revision = 1;
  manifest->group_targets_max = options->group_targets_max;
  add_tiers (manifest);
  add_workspaces (manifest);
  DpDataCentre centre = { g_strdup ("lj-a"), dp_name ("lj-a"), g_strdup ("sl-osr") };
  g_array_append_val (manifest->data_centres, centre);
  DpPool pool = { .text = g_strdup ("plank-pool"), .name = dp_name ("plank-pool") };
  g_array_append_val (manifest->pools, pool);
  for (guint i = 0; i < options->engine_count; i++)
    add_engine (manifest, &options->engines[i]);
  dp_manifest_finish (manifest);
  return manifest;
}

static DpView *
build_view (const Fixture *f, const DpVmState states[FIXTURE_VMS])
{
  DpVm vms[FIXTURE_VMS] = { 0 };
  for (guint i = 0; i < FIXTURE_VMS; i++)
    {
      vms[i].name = f->vms[i];
      vms[i].data_centre = dp_name ("lj-a");
      vms[i].state = states[i];
    }
  return dp_view_new (1, vms, FIXTURE_VMS);
}

/* Orders the VM names so that vms[0], or vms[1] if `other_owner`, is first in the group's
 * rendezvous order. */
static void
order_vms (Fixture *f, gboolean other_owner)
{
  for (guint i = 0; i < FIXTURE_VMS; i++)
    f->vms[i] = dp_name (vm_names[i]);
  guint best = 0;
  for (guint i = 1; i < FIXTURE_VMS; i++)
    {
      if (dp_rendezvous_weight (f->group, f->vms[i])
          > dp_rendezvous_weight (f->group, f->vms[best]))
        best = i;
    }
  guint wanted = other_owner ? 1 : 0;
  DpName name = f->vms[best];
  f->vms[best] = f->vms[wanted];
  f->vms[wanted] = name;
}

static void
handle (Fixture *f, DpSchedulerEvent event)
{
  event.now = f->now;
  dp_scheduler_handle (f->core, &event, f->actions);
}

void
fixture_open (Fixture *f, const FixtureOptions *options)
{
  memset (f, 0, sizeof *f);
  f->now = 1000 * DP_USEC_PER_SEC;
  f->manifest = build_manifest (options);
  f->group = DP_MANIFEST_ROW (f->manifest, groups, DpGroup, 0)->name;
  order_vms (f, options->other_owner);
  f->view = build_view (f, (DpVmState[FIXTURE_VMS]){ DP_VM_LIVE, DP_VM_LIVE, DP_VM_LIVE });
  f->counters = dp_counters_new ();
  f->actions = dp_scheduler_actions_new ();
  f->core = dp_scheduler_core_new (&(DpSchedulerOptions){ .vm = f->vms[0],
                                                          .data_centre = dp_name ("lj-a"),
                                                          .incarnation = 1,
                                                          .seed = 7,
                                                          .queue_max = options->queue_max,
                                                          .policy = options->policy,
                                                          .counters = f->counters });
  handle (f,
          (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST, .manifest = f->manifest });
  handle (f, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = f->view });
}

void
fixture_close (Fixture *f)
{
  dp_scheduler_core_unref (f->core);
  dp_counters_unref (f->counters);
  dp_manifest_unref (f->manifest);
  dp_view_unref (f->view);
  g_array_unref (f->actions);
}

void
fixture_clear_actions (Fixture *f)
{
  g_array_set_size (f->actions, 0);
}

static void
send_heartbeats (Fixture *f)
{
  if (f->now < f->next_heartbeat)
    return;
  f->next_heartbeat = f->now + HEARTBEAT_INTERVAL_USEC;
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  message.grant_held.group = f->group;
  message.grant_held.incarnation = 1;
  for (guint i = 0; i < FIXTURE_VMS; i++)
    {
      if (!f->silent[i])
        fixture_message (f, i, &message);
    }
}

void
fixture_run (Fixture *f, DpUsec usec)
{
  DpUsec end = f->now + usec;
  while (f->now < end)
    {
      f->now += MIN (TICK_INTERVAL_USEC, end - f->now);
      send_heartbeats (f);
      handle (f, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
    }
}

DpId
fixture_id (guint id)
{
  return (DpId){ 1, id };
}

void
fixture_message (Fixture *f, guint entry, const DpMessage *message)
{
  DpSchedulerEvent event = { .type = DP_SCHEDULER_EVENT_MESSAGE };
  event.from = (DpPeer){ f->vms[entry], DP_ROLE_ENTRY };
  event.message = message;
  handle (f, event);
}

void
fixture_request (Fixture *f, FixtureRequest request)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  DpGrantAsk *out = &message.grant_ask;
  out->attempt = fixture_id (request.id);
  out->group = f->group;
  out->tier = dp_name (tier_names[request.tier]);
  out->workspace = dp_name (request.workspace != NULL ? request.workspace : "w0");
  out->model = dp_name (request.model != NULL ? request.model : "m");
  out->prompt_tokens = request.prompt > 0 ? request.prompt : 100;
  out->output_tokens = request.output > 0 ? request.output : 100;
  out->remaining = request.remaining > 0 ? request.remaining : 60 * DP_USEC_PER_SEC;
  out->repeatable = !request.not_repeatable;
  out->prefix_count = request.prefix_count;
  for (guint i = 0; i < request.prefix_count; i++)
    out->prefix[i] = request.prefix + i;
  if (request.excluded != NULL)
    {
      out->excluded_count = 1;
      out->excluded[0] = dp_name (request.excluded);
    }
  fixture_message (f, request.entry, &message);
}

void
fixture_progress (Fixture *f, guint id)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress = (DpGrantProgress){ fixture_id (id), f->group };
  fixture_message (f, 0, &message);
}

void
fixture_done (Fixture *f, guint id, DpGrantDone done)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_DONE, .grant_done = done };
  message.grant_done.attempt = fixture_id (id);
  message.grant_done.group = f->group;
  if (done.target == 0)
    message.grant_done.target = fixture_target (f, id);
  fixture_message (f, 0, &message);
}

void
fixture_held (Fixture *f, guint entry, const DpHeldGrant *held, guint count)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_HELD };
  message.grant_held.group = f->group;
  message.grant_held.incarnation = 1;
  message.grant_held.last = TRUE;
  message.grant_held.count = count;
  for (guint i = 0; i < count; i++)
    message.grant_held.held[i] = held[i];
  fixture_message (f, entry, &message);
}

void
fixture_load (Fixture *f, DpLoadReport load)
{
  handle (f, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_LOAD, .load = load });
}

void
fixture_view (Fixture *f, const DpVmState states[FIXTURE_VMS])
{
  DpView *view = build_view (f, states);
  handle (f, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = view });
  dp_view_unref (view);
}

static DpId
message_attempt (const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_GRANT_GIVEN:
      return message->grant_given.attempt;
    case DP_MESSAGE_GRANT_QUEUED:
      return message->grant_queued.attempt;
    case DP_MESSAGE_GRANT_REFUSED:
      return message->grant_refused.attempt;
    case DP_MESSAGE_GRANT_REVOKED:
      return message->grant_revoked.attempt;
    default:
      return (DpId){ 0, 0 };
    }
}

const DpMessage *
fixture_last (const Fixture *f, DpMessageType type, guint id)
{
  for (guint i = f->actions->len; i > 0; i--)
    {
      const DpSchedulerAction *action = &g_array_index (f->actions, DpSchedulerAction, i - 1);
      if (action->type == DP_SCHEDULER_ACTION_SEND && action->message.type == type
          && dp_id_equal (message_attempt (&action->message), fixture_id (id)))
        return &action->message;
    }
  return NULL;
}

guint
fixture_count (const Fixture *f, DpMessageType type)
{
  guint count = 0;
  for (guint i = 0; i < f->actions->len; i++)
    {
      const DpSchedulerAction *action = &g_array_index (f->actions, DpSchedulerAction, i);
      count += action->type == DP_SCHEDULER_ACTION_SEND && action->message.type == type;
    }
  return count;
}

DpName
fixture_target (const Fixture *f, guint id)
{
  const DpMessage *given = fixture_last (f, DP_MESSAGE_GRANT_GIVEN, id);
  return given != NULL ? given->grant_given.target : 0;
}
