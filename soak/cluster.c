#include "soak/soak.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Sanitizer builds on a busy machine start slowly. */
#define PROCESS_START_TIMEOUT (30 * DP_USEC_PER_SEC)
#define PROCESS_STOP_TIMEOUT (12 * DP_USEC_PER_SEC)
/* Clears all faults of a target but its limit. Each run takes a while, so that faults hit
 * running requests. */
#define NO_TARGET_FAULTS                                                                       \
  "{\"cut_before\":-1,\"cut_after\":-1,\"decline\":-1,\"other\":-1,\"status\":-1,\"wrong_"     \
  "id\":-1,"                                                                                   \
  "\"no_signature\":-1,\"second\":-1,\"unframed\":-1,\"promise_503\":-1,\"silent\":-1,"        \
  "\"pause_after\":-1,"                                                                        \
  "\"wait_ms\":10}"

#define TICK_INTERVAL (20 * DP_USEC_PER_MSEC)
/* The soak's own proxies and callers stand still between two turns of its event loop. A longer
 * time between two ticks is no time that a VM has had. */
#define OBSERVED_PER_TICK_MAX (100 * DP_USEC_PER_MSEC)

static void
on_tick (evutil_socket_t fd, short what, void *user)
{
  SoakCluster *cluster = user;
  gint64 now = g_get_monotonic_time ();
  cluster->observed_time += MIN (now - cluster->ticked_at, OBSERVED_PER_TICK_MAX);
  cluster->ticked_at = now;
}

static void
start_tick (SoakCluster *cluster)
{
  const struct timeval interval = { .tv_usec = TICK_INTERVAL };
  cluster->ticked_at = g_get_monotonic_time ();
  cluster->tick = event_new (cluster->base, -1, EV_PERSIST, on_tick, cluster);
  event_add (cluster->tick, &interval);
}

double
soak_cluster_elapsed (const SoakCluster *cluster)
{
  return (double)(g_get_monotonic_time () - cluster->started_at) / (double)DP_USEC_PER_SEC;
}

void
soak_cluster_log (const SoakCluster *cluster, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  printf ("%8.3f ", soak_cluster_elapsed (cluster));
  vprintf (format, arguments);
  printf ("\n");
  va_end (arguments);
}

void
soak_cluster_add_violation (SoakCluster *cluster, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  soak_cluster_log (cluster, "VIOLATION %s", text);
  g_ptr_array_add (cluster->violations, text);
}

static NodeKitStore
operator_store (const SoakCluster *cluster)
{
  return (NodeKitStore){ .address = cluster->store_address, .port = SOAK_SERVER_PORT };
}

/* --- store --- */

static Process *
start_standin (const SoakCluster *cluster,
               const char *name,
               const char *address,
               const char *id)
{
  char *program = g_strdup_printf ("%s/standins/%s", cluster->build, name);
  char *listen = g_strdup_printf ("%s:%u", address, SOAK_SERVER_PORT);
  char *control_port = g_strdup_printf ("%u", SOAK_CONTROL_PORT);
  const char *const argv[] = { program, listen, control_port, id, NULL };
  Process *process
    = process_start (&(ProcessOptions){ .argv = argv, .log_path = cluster->log_path });
  g_free (control_port);
  g_free (listen);
  g_free (program);
  return process;
}

static void
set_faults (const char *address, const char *json)
{
  g_free (http_exchange ("POST", address, SOAK_CONTROL_PORT, "/fault", NULL, json, NULL));
}

void
soak_store_set_faults (SoakCluster *cluster, const char *json)
{
  set_faults (cluster->store_address, json);
}

static gboolean
write_config (const SoakCluster *cluster, guint version)
{
  GString *routes = g_string_new (NULL);
  for (guint i = 2; i <= version; i++)
    g_string_append_printf (routes, NODE_KIT_ROUTE ("v%u"), i, i);
  for (guint i = 0; i < cluster->further_routes; i++)
    g_string_append_printf (routes, NODE_KIT_ROUTE ("further%u"), i, i);
  gboolean is_accepted
    = node_kit_put_config (operator_store (cluster), version, routes->str) == 200;
  g_string_free (routes, TRUE);
  return is_accepted;
}

gboolean
soak_put_config (SoakCluster *cluster)
{
  gboolean is_accepted = write_config (cluster, cluster->config_version + 1);
  cluster->config_version += is_accepted;
  return is_accepted;
}

/* They differ in the last of their 83 characters. */
#define IMAGE                                                                                  \
  "engine@sha256:c1a5298f939e87e8f962a5edfc206918a0b1f5f0e2c7a1d3b4e5f607182930a4b5c6d"
static const char *const soak_versions[SOAK_VERSIONS] = { IMAGE "a", IMAGE "b" };

gboolean
soak_put_target (SoakCluster *cluster, SoakTarget *target, const char *state)
{
  const NodeKitTarget row = { .id = target->id,
                              .address = target->proxy_address,
                              .port = SOAK_SERVER_PORT,
                              .data_centre = "a",
                              .state = state,
                              .version = soak_versions[target->version],
                              .started = target->started };
  NodeKitStore store = operator_store (cluster);
  target->state = state;
  return node_kit_put_target (store, "PUT", &row) == 200
         || node_kit_put_target (store, "POST", &row) == 200;
}

static gboolean
post_to_store (const SoakCluster *cluster, const char *path)
{
  int status = 0;
  g_free (http_exchange ("POST", cluster->store_address, SOAK_CONTROL_PORT, path, NULL, NULL,
                         &status));
  return status == 200;
}

void
soak_store_copy (SoakCluster *cluster)
{
  post_to_store (cluster, "/copy");
}

gboolean
soak_store_restore (SoakCluster *cluster)
{
  /* Without a copy there is nothing to restore. */
  if (!post_to_store (cluster, "/restore"))
    return TRUE;
  gboolean is_accepted
    = cluster->config_version < 2 || write_config (cluster, cluster->config_version);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    if (cluster->targets[i].state != NULL)
      is_accepted = soak_put_target (cluster, &cluster->targets[i], cluster->targets[i].state)
                    && is_accepted;
  return is_accepted;
}

gboolean
soak_vm_is_listed (const SoakCluster *cluster, const SoakVm *vm)
{
  int status = 0;
  char *path = g_strdup_printf ("/objects/dogwoodplank-vms/%s", vm->name);
  g_free (
    http_exchange ("GET", cluster->store_address, SOAK_SERVER_PORT, path, NULL, NULL, &status));
  g_free (path);
  return status == 200;
}

/* --- targets --- */

void
soak_target_start (SoakCluster *cluster, SoakTarget *target)
{
  target->process = start_standin (cluster, "standin-target", target->address, target->id);
  target->started = g_get_real_time () / 1000;
  target->is_paused = FALSE;
  if (wait_for_port (target->address, SOAK_CONTROL_PORT, PROCESS_START_TIMEOUT))
    soak_target_set_faults (cluster, target, NULL);
  else
    soak_cluster_add_violation (cluster, "target %s did not start in time", target->id);
}

void
soak_target_set_faults (SoakCluster *cluster, SoakTarget *target, const char *json)
{
  set_faults (target->address, NO_TARGET_FAULTS);
  if (json != NULL)
    set_faults (target->address, json);
}

void
soak_target_send_limit (const SoakTarget *target)
{
  char *json
    = g_strdup_printf ("{\"limit\":\"%s\"}", target->limit != NULL ? target->limit : "");
  set_faults (target->address, json);
  g_free (json);
}

void
soak_target_collect_runs (SoakCluster *cluster, const SoakTarget *target)
{
  char *text
    = http_exchange ("GET", target->address, SOAK_CONTROL_PORT, "/ids", NULL, NULL, NULL);
  char **lines = g_strsplit (text != NULL ? text : "", "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char *blank = strchr (lines[i], ' ');
      if (blank == NULL)
        continue;
      *blank = '\0';
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (cluster->run_counts, lines[i]));
      count += (guint)g_ascii_strtoull (blank + 1, NULL, 10);
      g_hash_table_replace (cluster->run_counts, g_strdup (lines[i]), GUINT_TO_POINTER (count));
      guint versions = GPOINTER_TO_UINT (g_hash_table_lookup (cluster->run_versions, lines[i]));
      g_hash_table_replace (cluster->run_versions, g_strdup (lines[i]),
                            GUINT_TO_POINTER (versions | 1U << target->version));
    }
  g_strfreev (lines);
  g_free (text);
}

void
soak_target_kill (SoakCluster *cluster, SoakTarget *target)
{
  if (target->process == NULL)
    return;
  /* Block further requests first, so that no run is missed. */
  soak_proxy_set_mode (target->proxy, SOAK_PROXY_RESET);
  if (target->is_paused)
    process_signal (target->process, SIGCONT);
  soak_target_collect_runs (cluster, target);
  soak_target_collect_arrivals (target);
  soak_target_set_limit (cluster, target, NULL);
  g_clear_pointer (&target->process, process_free);
  soak_proxy_set_mode (target->proxy, SOAK_PROXY_PASS);
}

/* --- VMs --- */

static void
record_disturbance (SoakVm *vm)
{
  vm->disturbed_at = g_get_monotonic_time ();
  gint64 msec = vm->disturbed_at / 1000;
  g_array_append_val (vm->disturbances, msec);
}

void
soak_vm_rename (SoakCluster *cluster, SoakVm *vm)
{
  g_snprintf (vm->name, sizeof vm->name, "vm%u-%u", (guint)(vm - cluster->vms),
              vm->incarnation);
}

void
soak_vm_start (SoakCluster *cluster, SoakVm *vm)
{
  const NodeKitVm settings
    = { .build = vm->build,
        .folder = cluster->log_folder,
        .log = cluster->log_path,
        .name = vm->name,
        .address = vm->address,
        .data_centre = vm->data_centre,
        .bus_port = SOAK_BUS_PORT,
        .tunnel_port = vm->build == cluster->older_build ? 0 : SOAK_TUNNEL_PORT,
        .operator_port = SOAK_OPERATOR_PORT,
        .caller_port = SOAK_CALLER_PORT,
        .ready_port = SOAK_READY_PORT,
        .store = { .address = vm->store_proxy_address, .port = SOAK_SERVER_PORT },
        .seeds = cluster->bus_seeds,
        .first_start = vm->incarnation == 0 };
  vm->process = node_kit_start (&settings);
  vm->incarnation += 1;
  vm->newest_config_served = 0;
  vm->is_paused = FALSE;
  vm->is_stopping = FALSE;
  record_disturbance (vm);
}

void
soak_vm_signal (SoakCluster *cluster, SoakVm *vm, int number)
{
  if (vm->process == NULL)
    return;
  record_disturbance (vm);
  switch (number)
    {
    case SIGKILL:
      vm->killed_at = g_get_monotonic_time ();
      g_clear_pointer (&vm->process, process_free);
      return;
    case SIGSTOP:
      vm->is_paused = TRUE;
      break;
    case SIGCONT:
      vm->is_paused = FALSE;
      break;
    case SIGTERM:
      vm->is_stopping = TRUE;
      break;
    default:
      break;
    }
  process_signal (vm->process, number);
}

gboolean
soak_vm_is_undisturbed (const SoakVm *vm, gint64 duration)
{
  return vm->process != NULL && !vm->is_paused
         && g_get_monotonic_time () - vm->disturbed_at > duration;
}

gboolean
soak_vm_is_ready (const SoakVm *vm)
{
  int status = 0;
  g_free (http_exchange ("GET", vm->address, SOAK_READY_PORT, "/ready", NULL, NULL, &status));
  return status == 200;
}

static void
wait_until_ready (SoakCluster *cluster, const SoakVm *vm)
{
  gint64 end = g_get_monotonic_time () + PROCESS_START_TIMEOUT;
  gboolean is_ready = FALSE;
  while (!is_ready && g_get_monotonic_time () < end)
    {
      /* The proxies run in this event loop. */
      event_base_loop (cluster->base, EVLOOP_NONBLOCK);
      is_ready = soak_vm_is_ready (vm);
      g_usleep (2000);
    }
  if (!is_ready)
    soak_cluster_add_violation (cluster, "%s did not become ready in time", vm->name);
}

/* --- start and stop --- */

static void
format_address (char address[SOAK_ADDRESS_BYTES], guint last)
{
  guint process = (guint)getpid ();
  g_snprintf (address, SOAK_ADDRESS_BYTES, "127.%u.%u.%u", 20 + process / 250 % 200,
              process % 250, last);
}

static void
assign_addresses (SoakCluster *cluster)
{
  GString *bus_seeds = g_string_new (NULL);
  format_address (cluster->store_address, 100);
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      SoakVm *vm = &cluster->vms[i];
      g_snprintf (vm->name, sizeof vm->name, "vm%u", i);
      format_address (vm->address, 1 + i);
      format_address (vm->store_proxy_address, 101 + i);
      vm->data_centre = i < SOAK_VMS / 2 ? "a" : "b";
      vm->disturbances = g_array_new (FALSE, FALSE, sizeof (gint64));
      g_string_append_printf (bus_seeds, "%s%s:1", i > 0 ? "," : "", vm->address);
    }
  cluster->bus_seeds = g_string_free (bus_seeds, FALSE);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      SoakTarget *target = &cluster->targets[i];
      g_snprintf (target->id, sizeof target->id, "t%u", i);
      target->version = i % SOAK_VERSIONS;
      target->limits = g_array_new (FALSE, FALSE, sizeof (SoakLimit));
      target->arrivals = g_array_new (FALSE, FALSE, sizeof (SoakArrival));
      target->disturbed_at = g_array_new (FALSE, FALSE, sizeof (gint64));
      format_address (target->address, 150 + i);
      format_address (target->proxy_address, 200 + i);
    }
}

static void
start_all (SoakCluster *cluster)
{
  cluster->store = start_standin (cluster, "standin-store", cluster->store_address, NULL);
  if (!wait_for_port (cluster->store_address, SOAK_SERVER_PORT, PROCESS_START_TIMEOUT))
    soak_cluster_add_violation (cluster, "the store did not start in time");
  cluster->store_is_available = TRUE;
  if (!soak_put_config (cluster))
    soak_cluster_add_violation (cluster, "the store did not accept the first config");
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      SoakTarget *target = &cluster->targets[i];
      target->proxy = soak_proxy_new (cluster->base, target->proxy_address, target->address,
                                      SOAK_SERVER_PORT);
      soak_target_start (cluster, target);
      soak_put_target (cluster, target, "ready");
    }
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      SoakVm *vm = &cluster->vms[i];
      vm->store_proxy = soak_proxy_new (cluster->base, vm->store_proxy_address,
                                        cluster->store_address, SOAK_SERVER_PORT);
      soak_vm_start (cluster, vm);
    }
  for (guint i = 0; i < SOAK_VMS; i++)
    wait_until_ready (cluster, &cluster->vms[i]);
}

SoakCluster *
soak_cluster_new (struct event_base *base, const SoakOptions *options, guint32 seed)
{
  SoakCluster *cluster = g_new0 (SoakCluster, 1);
  cluster->base = base;
  cluster->build = options->build;
  cluster->older_build = options->older_build;
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      gboolean is_older
        = options->older_build != NULL && (!options->is_half_older || i % 2 == 0);
      cluster->vms[i].build = is_older ? options->older_build : options->build;
    }
  cluster->log_folder = g_dir_make_tmp ("dp-soak-XXXXXX", NULL);
  cluster->log_path = g_strconcat (cluster->log_folder, "/log", NULL);
  cluster->random = g_rand_new_with_seed (seed);
  cluster->started_at = g_get_monotonic_time ();
  cluster->run_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cluster->run_versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cluster->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster->violations = g_ptr_array_new_with_free_func (g_free);
  assign_addresses (cluster);
  start_all (cluster);
  start_tick (cluster);
  return cluster;
}

/* After SIGTERM a node must exit with status 0, which a leak or sanitizer report prevents. */
static void
stop_vm (SoakCluster *cluster, SoakVm *vm)
{
  int status = 0;
  gboolean has_ended
    = vm->process == NULL || process_wait (vm->process, PROCESS_STOP_TIMEOUT, &status);
  if (!has_ended || status != 0)
    soak_cluster_add_violation (cluster,
                                "%s did not exit cleanly after SIGTERM: %s, wait status %d",
                                vm->name, has_ended ? "exited" : "still running", status);
  g_clear_pointer (&vm->process, process_free);
  soak_proxy_free (vm->store_proxy);
}

void
soak_cluster_stop (SoakCluster *cluster)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    soak_vm_signal (cluster, &cluster->vms[i], SIGTERM);
  for (guint i = 0; i < SOAK_VMS; i++)
    stop_vm (cluster, &cluster->vms[i]);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      process_free (cluster->targets[i].process);
      soak_proxy_free (cluster->targets[i].proxy);
    }
  process_free (cluster->store);
  event_free (cluster->tick);
}

void
soak_cluster_free (SoakCluster *cluster)
{
  char *command[] = { "rm", "-rf", cluster->log_folder, NULL };
  if (cluster->violations->len == 0)
    g_spawn_sync (NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL, NULL, NULL);
  else
    printf ("logs: %s\n", cluster->log_folder);
  for (guint i = 0; i < SOAK_VMS; i++)
    g_array_unref (cluster->vms[i].disturbances);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      g_array_unref (cluster->targets[i].limits);
      g_array_unref (cluster->targets[i].arrivals);
      g_array_unref (cluster->targets[i].disturbed_at);
    }
  g_hash_table_unref (cluster->run_counts);
  g_hash_table_unref (cluster->run_versions);
  g_hash_table_unref (cluster->requests);
  g_ptr_array_unref (cluster->violations);
  g_rand_free (cluster->random);
  g_free (cluster->bus_seeds);
  g_free (cluster->log_path);
  g_free (cluster->log_folder);
  g_free (cluster);
}
