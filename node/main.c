/* dogwoodplank-node: startup, main loop and shutdown of the process. */
#include "node/node.h"

#include "common/log.h"
#include "net/program.h"

#include <signal.h>
#include <stdlib.h>

/* Environment variable with the path of the settings file, if there are no arguments. */
#define SETTINGS_VARIABLE "DOGWOODPLANK_BOOT"
/* After a longer time between two ticks, the process was paused: timeouts of other VMs and
 * targets are not evaluated in that tick. */
#define PAUSE_THRESHOLD (150 * DP_USEC_PER_MSEC)
/* After the system's first start, limits that this VM begins to serve within this time start
 * unused. */
#define FIRST_START_DURATION (20 * DP_USEC_PER_SEC)

static void
on_message (gpointer user, DpPeer from, const DpMessage *message)
{
  dp_peers_on_message (user, from, message);
}

static void
on_process_tick (gpointer user)
{
}

static void
on_tick (evutil_socket_t fd, short what, void *user)
{
  DpNode *node = user;
  DpUsec now = dp_node_now ();
  gboolean was_paused = now - node->ticked_at > PAUSE_THRESHOLD;
  DpWorkMeter *meter = dp_process_meter (node->process);
  dp_work_meter_add_lateness (meter, now - node->ticked_at - DP_DISPATCH_TICK_INTERVAL, now);
  node->ticked_at = now;
  if (was_paused)
    dp_counters_add (node->counters, "dogwoodplank_pauses_total", NULL, NULL, 1);
  dp_memory_tick (node, now);
  dp_request_tick (node, now, was_paused);
  dp_peer_sync_tick_rows (node, now, was_paused);
  dp_peers_tick (node, now);
  dp_placement_tick (node, now, was_paused);
  dp_stream_versions_tick (node, now);
  dp_node_copies_tick (node, now);
  dp_rollouts_tick (node, now);
  dp_store_watch_tick (node->store_watch, now);
  dp_work_meter_add (meter, "tick", 0, now, dp_node_now ());
  if (dp_caller_listener_may_exit (node, now, was_paused))
    dp_process_quit (node->process);
}

static void
on_stop (gpointer user)
{
  dp_caller_listener_stop (user);
}

static void
on_reload (evutil_socket_t fd, short what, void *user)
{
  /* Addresses and ports are fixed while the process runs; the rest comes from the store. */
  dp_log (DP_LOG_NOTICE, "reload", "outcome", "no settings to reload", NULL);
}

static void
add_status (gpointer user, struct json_object *status)
{
  const DpNode *node = user;
  dp_builds_add_status (node, status);
  dp_rollouts_add_status (node, status);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpNodePool *pool = value;
      DpDispatcherStatus row = dp_dispatcher_status (pool->dispatcher);
      struct json_object *object = json_object_new_object ();
      json_object_object_add (object, "targets", json_object_new_int64 (row.targets));
      json_object_object_add (object, "suspects", json_object_new_int64 (row.suspects));
      json_object_object_add (object, "waiting", json_object_new_int64 (row.waiting));
      json_object_object_add (object, "running", json_object_new_int64 (row.running));
      json_object_object_add (object, "limited", json_object_new_int64 (row.limited));
      json_object_object_add (object, "brittle", json_object_new_int64 (row.brittle));
      json_object_object_add (status, pool->text, object);
    }
}

static const DpProcessCallbacks process_callbacks = {
  .message = on_message,
  .tick = on_process_tick,
  .status = add_status,
  .stop = on_stop,
};

static struct event *
start_tick (DpNode *node)
{
  struct event *tick = event_new (node->base, -1, EV_PERSIST, on_tick, node);
  const struct timeval interval = { .tv_usec = DP_DISPATCH_TICK_INTERVAL };
  event_add (tick, &interval);
  node->ticked_at = dp_node_now ();
  return tick;
}

static void
create_components (DpNode *node)
{
  node->base = dp_process_base (node->process);
  node->counters = dp_process_counters (node->process);
  node->self = dp_name (node->settings->process.name);
  node->random = dp_process_random ();
  node->started_at = dp_node_now ();
  node->directory = dp_directory_new ();
  node->owners = dp_owners_new (node->self, node->started_at);
  dp_paths_init (node);
  dp_node_quarantine_init (node);
  node->limit_client = dp_limit_client_new ();
  dp_memory_start (node);
  node->answer_times = dp_answer_times_new ();
  gboolean is_first = g_strcmp0 (node->settings->first_start, "true") == 0;
  const DpQuotaClientOptions quota = { .seed = node->random,
                                       .incarnation = dp_process_incarnation (node->process),
                                       .started = node->started_at,
                                       .is_first_start = is_first };
  node->quota_client = dp_quota_client_new (&quota);
  node->quota_server
    = dp_quota_server_new (is_first ? dp_node_now () + FIRST_START_DURATION : 0);
  node->pools
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, dp_placement_pool_free);
  const DpTableOptions requests
    = { .row_size = sizeof (DpNodeRequest), .clear_row = dp_request_clear };
  node->requests = dp_table_new (&requests);
  node->requests_by_attempt
    = g_hash_table_new_full (dp_id_hash, dp_id_equal_func, g_free, g_free);
  node->registration = dp_registration_new (node);
  node->prune = dp_prune_new ();
  node->stream_versions = dp_stream_versions_new (node);
  node->copies = dp_node_copies_new (node, dp_stream_versions_table (node));
  node->rollouts = node->params.has_rollouts ? dp_rollouts_new (node) : NULL;
  node->config = dp_node_config_new (node);
  node->peer_sync = dp_peer_sync_new (node);
  node->store_watch = dp_store_watch_new (node);
}

static void
free_components (DpNode *node)
{
  g_clear_pointer (&node->callers, dp_http_server_free);
  g_clear_pointer (&node->ready, dp_http_server_free);
  g_clear_pointer (&node->tunnels, dp_tunnels_free);
  dp_table_unref (node->requests);
  g_hash_table_unref (node->requests_by_attempt);
  g_hash_table_unref (node->pools);
  dp_store_watch_free (node->store_watch);
  dp_peer_sync_free (node->peer_sync);
  dp_node_config_free (node->config);
  dp_node_copies_free (node->copies);
  dp_stream_versions_free (node->stream_versions);
  dp_rollouts_free (node->rollouts);
  dp_registration_free (node->registration);
  dp_prune_free (node->prune);
  dp_directory_free (node->directory);
  dp_reach_free (node->reach);
  dp_owners_free (node->owners);
  dp_node_quarantine_clear (node);
  dp_limit_client_free (node->limit_client);
  dp_answer_times_free (node->answer_times);
  dp_memory_stop (node);
  dp_quota_client_free (node->quota_client);
  dp_quota_server_free (node->quota_server);
  dp_manifest_unref (node->manifest);
  dp_view_unref (node->view);
}

static void
serve (DpNode *node)
{
  node->tunnels = dp_tunnels_new (node);
  node->tick = start_tick (node);
  struct event *reload = evsignal_new (node->base, SIGHUP, on_reload, node);
  event_add (reload, NULL);
  dp_log (DP_LOG_NOTICE, "started", "vm", node->settings->process.name, "data_centre",
          node->settings->process.data_centre, "version", DP_VERSION, "rules",
          G_STRINGIFY (DP_RULES_LEVEL), NULL);
  dp_store_watch_start (node->store_watch);
  dp_node_quarantine_start (node);
  dp_process_run (node->process);
  dp_log (DP_LOG_NOTICE, "stopped", "vm", node->settings->process.name, NULL);
  event_free (reload);
  event_free (node->tick);
}

static gboolean
run (const void *settings, DpDiagnostics *diagnostics)
{
  DpNode node = { .settings = settings };
  if (!dp_node_parse_settings (settings, &node.params, diagnostics))
    return FALSE;
  const DpProcessOptions options = { .program = "dogwoodplank-node",
                                     .role = DP_ROLE_NODE,
                                     .settings = &node.settings->process,
                                     .callbacks = &process_callbacks,
                                     .user = &node };
  node.process = dp_process_new (&options, diagnostics);
  if (node.process == NULL)
    return FALSE;
  create_components (&node);
  gboolean ok = dp_caller_listener_start (&node, diagnostics);
  if (ok)
    serve (&node);
  free_components (&node);
  dp_process_free (node.process);
  return ok;
}

int
main (int argc, char **argv)
{
  const DpProgram program = {
    .name = "dogwoodplank-node",
    .doc = "Entry, scheduler and agent of one VM in one process.",
    .settings = dp_node_settings,
    .setting_count = dp_node_setting_count,
    .settings_size = sizeof (DpNodeSettings),
    .process_offset = G_STRUCT_OFFSET (DpNodeSettings, process),
    .run = run,
  };
  const char *file = getenv (SETTINGS_VARIABLE);
  if (argc > 1 || file == NULL)
    return dp_program_main (&program, argc, argv);
  char *arguments[] = { argv[0], "--settings", (char *)file, NULL };
  return dp_program_main (&program, 3, arguments);
}
