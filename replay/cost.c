/* Benchmark of scheduling decisions on a scheduler core without I/O. */
#include "core/scheduler.h"
#include "replay/replay.h"

/* The region has one VM per this many engines. */
#define ENGINES_PER_VM 20
#define WINDOW 16
/* Limit of open requests, running or queued. */
#define OPEN_REQUESTS_MAX 1200
#define REQUESTS_PER_TICK 50
#define MODEL "model"

typedef struct Bench
{
  DpManifest *manifest;
  DpView *view;
  DpSchedulerCore *core;
  GArray *actions;
  DpUsec now;
  GArray *owned;  /* DpName of groups; unused */
  GQueue running; /* request numbers (guint) as pointers */
  guint waiting;  /* unused */
} Bench;

static DpManifest *
build_manifest (guint engines)
{
  DpManifest *manifest = dp_manifest_new ();
  manifest->revision = 1;
  DpTier tiers[2] = { { g_strdup ("high"), dp_name ("high"), 60 * DP_USEC_PER_SEC },
                      { g_strdup ("low"), dp_name ("low"), 60 * DP_USEC_PER_SEC } };
  g_array_append_vals (manifest->tiers, tiers, 2);
  DpWorkspace workspace = { .text = g_strdup ("w"), .name = dp_name ("w"), .weight = 1 };
  g_array_append_val (manifest->workspaces, workspace);
  DpDataCentre centre = { g_strdup ("a"), dp_name ("a"), g_strdup ("region") };
  g_array_append_val (manifest->data_centres, centre);
  DpModel model = { g_strdup (MODEL), dp_name (MODEL), 100 };
  g_array_append_val (manifest->models, model);
  DpPool pool = { .text = g_strdup ("pool"), .name = dp_name ("pool") };
  g_array_append_val (manifest->pools, pool);
  for (guint i = 0; i < engines; i++)
    {
      guint model_index = 0;
      char name[32];
      g_snprintf (name, sizeof name, "e%u", i);
      DpTarget target = { .text = g_strdup (name),
                          .name = dp_name (name),
                          .address = g_strdup ("127.0.0.1"),
                          .window = WINDOW,
                          .prefill_tokens_per_second = 3000,
                          .decode_tokens_per_second = 600,
                          .stream_tokens_per_second = 40,
                          .kv_tokens = 100000 };
      target.models = g_array_new (FALSE, FALSE, sizeof (guint));
      g_array_append_val (target.models, model_index);
      g_array_append_val (manifest->targets, target);
    }
  dp_manifest_finish (manifest);
  return manifest;
}

static DpView *
build_view (guint engines)
{
  guint count = MAX (engines / ENGINES_PER_VM, 1);
  DpVm *vms = g_new0 (DpVm, count);
  for (guint i = 0; i < count; i++)
    {
      vms[i].name = i + 1;
      vms[i].data_centre = dp_name ("a");
    }
  DpView *view = dp_view_new (1, vms, count);
  g_free (vms);
  return view;
}

/* Returns the VM that owns the first group. The benchmark runs its core and requests only this
 * group. */
static DpName
first_group_owner (const Bench *bench)
{
  const DpGroup *group = DP_MANIFEST_ROW (bench->manifest, groups, DpGroup, 0);
  const DpVm *owner;
  dp_view_rank (bench->view, group->name, 0, &owner, 1);
  return owner->name;
}

static void
handle_event (Bench *bench, DpSchedulerEvent event)
{
  event.now = bench->now;
  dp_scheduler_handle (bench->core, &event, bench->actions);
}

static void
send_message (Bench *bench, const DpMessage *message)
{
  DpSchedulerEvent event = { .type = DP_SCHEDULER_EVENT_MESSAGE };
  event.from = (DpPeer){ 1, DP_ROLE_ENTRY };
  event.message = message;
  handle_event (bench, event);
}

static void
bench_init (Bench *bench, guint engines)
{
  *bench = (Bench){ .now = DP_USEC_PER_SEC };
  bench->manifest = build_manifest (engines);
  bench->view = build_view (engines);
  bench->actions = dp_scheduler_actions_new ();
  bench->core = dp_scheduler_core_new (
    &(DpSchedulerOptions){ .vm = first_group_owner (bench), .seed = 1 });
  handle_event (bench, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST,
                                           .manifest = bench->manifest });
  handle_event (bench,
                (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = bench->view });
  for (guint i = 0; i < 20; i++)
    {
      bench->now += 50 * DP_USEC_PER_MSEC;
      handle_event (bench, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
    }
}

static void
bench_clear (Bench *bench)
{
  dp_scheduler_core_unref (bench->core);
  dp_manifest_unref (bench->manifest);
  dp_view_unref (bench->view);
  g_array_unref (bench->actions);
  g_queue_clear (&bench->running);
}

static void
request_grant (Bench *bench, guint number)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_ASK };
  DpGrantAsk *out = &message.grant_ask;
  out->attempt = (DpId){ 1, number };
  out->group = DP_MANIFEST_ROW (bench->manifest, groups, DpGroup, 0)->name;
  out->tier = dp_name (number % 4 == 0 ? "high" : "low");
  out->workspace = dp_name ("w");
  out->model = dp_name (MODEL);
  out->prompt_tokens = 200;
  out->output_tokens = 100;
  out->remaining = 3600 * DP_USEC_PER_SEC;
  out->repeatable = TRUE;
  out->prefix_count = 3;
  for (guint i = 0; i < out->prefix_count; i++)
    out->prefix[i] = number % 32 + 100 * i;
  send_message (bench, &message);
}

static void
finish_request (Bench *bench, guint number)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress.attempt = (DpId){ 1, number };
  send_message (bench, &message);
  message = (DpMessage){ .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done.attempt = (DpId){ 1, number };
  message.grant_done.prompt_tokens = 200;
  message.grant_done.output_tokens = 100;
  message.grant_done.time_to_first_token = 70 * DP_USEC_PER_MSEC;
  message.grant_done.duration = 2570 * DP_USEC_PER_MSEC;
  send_message (bench, &message);
}

/* Adds newly granted requests to `running`, to be finished later. Requests still queued are
 * granted when others finish. */
static void
collect_grants (Bench *bench)
{
  for (guint i = 0; i < bench->actions->len; i++)
    {
      const DpSchedulerAction *action = &g_array_index (bench->actions, DpSchedulerAction, i);
      if (action->type != DP_SCHEDULER_ACTION_SEND)
        continue;
      if (action->message.type == DP_MESSAGE_GRANT_GIVEN)
        g_queue_push_tail (&bench->running,
                           GUINT_TO_POINTER ((guint)action->message.grant_given.attempt.low));
    }
  g_array_set_size (bench->actions, 0);
}

double
dp_replay_decision_cost (guint engines, guint requests)
{
  Bench bench;
  bench_init (&bench, engines);
  guint open_requests = 0;
  gint64 start = g_get_monotonic_time ();
  for (guint number = 1; number <= requests; number++)
    {
      bench.now += DP_USEC_PER_MSEC;
      request_grant (&bench, number);
      open_requests++;
      collect_grants (&bench);
      while (open_requests > OPEN_REQUESTS_MAX && !g_queue_is_empty (&bench.running))
        {
          finish_request (&bench, GPOINTER_TO_UINT (g_queue_pop_head (&bench.running)));
          open_requests--;
          collect_grants (&bench);
        }
      if (number % REQUESTS_PER_TICK == 0)
        handle_event (&bench, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
    }
  gint64 end = g_get_monotonic_time ();
  bench_clear (&bench);
  return (double)(end - start) / requests;
}
