/* Cost of the scheduler's decisions, measured on the board alone. */
#include "core/scheduler.h"
#include "replay/replay.h"

/* VMs of the region: one for this many engines. */
#define ENGINES_A_VM 20
#define WINDOW 16
/* Requests open at once: some run, some wait. */
#define OPEN_MAX 1200
#define TICK_EACH 50
#define MODEL "model"

typedef struct Bench
{
  DpManifest *manifest;
  DpView *view;
  DpSchedulerCore *board;
  GArray *actions;
  DpUsec now;
  GArray *owned;  /* DpName of groups */
  GQueue running; /* guint numbers, as pointers */
  guint waiting;
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
      guint carried = 0;
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
      g_array_append_val (target.models, carried);
      g_array_append_val (manifest->targets, target);
    }
  dp_manifest_finish (manifest);
  return manifest;
}

static DpView *
build_view (guint engines)
{
  guint count = MAX (engines / ENGINES_A_VM, 1);
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

/* The VM that owns the first group, which it then serves alone. */
static DpName
owner_of_first (const Bench *bench)
{
  const DpGroup *group = DP_MANIFEST_ROW (bench->manifest, groups, DpGroup, 0);
  const DpVm *owner;
  dp_view_rank (bench->view, group->name, 0, &owner, 1);
  return owner->name;
}

static void
handle (Bench *bench, DpSchedulerEvent event)
{
  event.now = bench->now;
  dp_scheduler_handle (bench->board, &event, bench->actions);
}

static void
send (Bench *bench, const DpMessage *message)
{
  DpSchedulerEvent event = { .type = DP_SCHEDULER_EVENT_MESSAGE };
  event.from = (DpPeer){ 1, DP_ROLE_ENTRY };
  event.message = message;
  handle (bench, event);
}

static void
open_bench (Bench *bench, guint engines)
{
  *bench = (Bench){ .now = DP_USEC_PER_SEC };
  bench->manifest = build_manifest (engines);
  bench->view = build_view (engines);
  bench->actions = dp_scheduler_actions_new ();
  bench->board
    = dp_scheduler_core_new (&(DpSchedulerOptions){ .vm = owner_of_first (bench), .seed = 1 });
  handle (bench, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_MANIFEST,
                                     .manifest = bench->manifest });
  handle (bench, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_VIEW, .view = bench->view });
  for (guint i = 0; i < 20; i++)
    {
      bench->now += 50 * DP_USEC_PER_MSEC;
      handle (bench, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
    }
}

static void
close_bench (Bench *bench)
{
  dp_scheduler_core_unref (bench->board);
  dp_manifest_unref (bench->manifest);
  dp_view_unref (bench->view);
  g_array_unref (bench->actions);
  g_queue_clear (&bench->running);
}

static void
ask (Bench *bench, guint number)
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
  send (bench, &message);
}

static void
finish (Bench *bench, guint number)
{
  DpMessage message = { .type = DP_MESSAGE_GRANT_PROGRESS };
  message.grant_progress.attempt = (DpId){ 1, number };
  send (bench, &message);
  message = (DpMessage){ .type = DP_MESSAGE_GRANT_DONE };
  message.grant_done.attempt = (DpId){ 1, number };
  message.grant_done.prompt_tokens = 200;
  message.grant_done.output_tokens = 100;
  message.grant_done.time_to_first_token = 70 * DP_USEC_PER_MSEC;
  message.grant_done.duration = 2570 * DP_USEC_PER_MSEC;
  send (bench, &message);
}

/* Notes what has been given; what waits gives room by being finished later. */
static void
collect_given (Bench *bench)
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
  open_bench (&bench, engines);
  guint open = 0;
  gint64 begin = g_get_monotonic_time ();
  for (guint number = 1; number <= requests; number++)
    {
      bench.now += DP_USEC_PER_MSEC;
      ask (&bench, number);
      open++;
      collect_given (&bench);
      while (open > OPEN_MAX && !g_queue_is_empty (&bench.running))
        {
          finish (&bench, GPOINTER_TO_UINT (g_queue_pop_head (&bench.running)));
          open--;
          collect_given (&bench);
        }
      if (number % TICK_EACH == 0)
        handle (&bench, (DpSchedulerEvent){ .type = DP_SCHEDULER_EVENT_TICK });
    }
  gint64 end = g_get_monotonic_time ();
  close_bench (&bench);
  return (double)(end - begin) / requests;
}
