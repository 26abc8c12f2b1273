#include "tests/node_cluster.h"

#include "tests/free_port.h"

#include <check.h>
#include <string.h>
#include <unistd.h>

NodeKitStore
store_of (const Cluster *cluster)
{
  return (NodeKitStore){ .address = cluster->address[0], .port = cluster->store };
}

void
put_config (const Cluster *cluster, guint version, const char *more_routes)
{
  ck_assert_int_eq (node_kit_put_config (store_of (cluster), version, more_routes), 200);
}

static void
write_target (const Cluster *cluster, guint index, const char *method, NodeKitTarget target)
{
  char id[8];
  g_snprintf (id, sizeof id, "t%u", index);
  target.id = id;
  target.address = cluster->address[0];
  target.port = cluster->target[index];
  target.data_centre = "a";
  target.started = 1700000000000;
  ck_assert_int_eq (node_kit_put_target (store_of (cluster), method, &target), 200);
}

void
put_target_of (const Cluster *cluster,
               guint index,
               const char *method,
               const char *state,
               const char *service)
{
  write_target (cluster, index, method, (NodeKitTarget){ .service = service, .state = state });
}

void
put_target_version (const Cluster *cluster,
                    guint index,
                    const char *method,
                    const char *version)
{
  write_target (cluster, index, method,
                (NodeKitTarget){ .state = "ready", .version = version });
}

void
put_target (const Cluster *cluster, guint index, const char *method, const char *state)
{
  put_target_of (cluster, index, method, state, NULL);
}

static Process *
start (const Cluster *cluster, const char *const *argv)
{
  return process_start (&(ProcessOptions){ .argv = argv, .log_path = cluster->log });
}

static void
start_standins (Cluster *cluster)
{
  char *program = g_strconcat (cluster->build, "/standins/standin-store", NULL);
  char *listen = g_strdup_printf ("%s:%u", cluster->address[0], cluster->store);
  char *control = g_strdup_printf ("%u", cluster->store_control);
  const char *const store_argv[] = { program, listen, control, NULL };
  cluster->store_process = start (cluster, store_argv);
  ck_assert (wait_for_port (cluster->address[0], cluster->store, WAIT));
  g_free (program);
  g_free (listen);
  g_free (control);
  program = g_strconcat (cluster->build, "/standins/standin-target", NULL);
  for (guint i = 0; i < TARGETS; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "t%u", i);
      listen = g_strdup_printf ("%s:%u", cluster->address[0], cluster->target[i]);
      control = g_strdup_printf ("%u", cluster->target_control[i]);
      const char *const argv[] = { program, listen, control, id, NULL };
      cluster->target_process[i] = start (cluster, argv);
      ck_assert (wait_for_port (cluster->address[0], cluster->target[i], WAIT));
      g_free (listen);
      g_free (control);
    }
  g_free (program);
}

void
start_node (Cluster *cluster, guint vm)
{
  char name[8];
  g_snprintf (name, sizeof name, "vm%u", vm);
  gboolean is_older = cluster->older_build != NULL && cluster->is_older[vm];
  char *seeds = g_strdup_printf ("%s:1,%s:1", cluster->address[0], cluster->address[1]);
  const NodeKitVm settings
    = { .build = is_older ? cluster->older_build : cluster->build,
        .program = cluster->node_program,
        .folder = cluster->folder,
        .log = cluster->log,
        .name = name,
        .address = cluster->address[vm],
        .data_centre = cluster->data_centre[vm] != NULL ? cluster->data_centre[vm] : "a",
        .bus_port
        = cluster->vm_bus_port[vm] != 0 ? cluster->vm_bus_port[vm] : cluster->bus_port,
        .tunnel_port = is_older ? 0 : cluster->tunnel_port,
        .operator_port = cluster->operator_port,
        .caller_port = cluster->caller_port[vm],
        .ready_port = cluster->ready_port[vm],
        .store = cluster->vm_store[vm].port != 0 ? cluster->vm_store[vm] : store_of (cluster),
        .seeds = seeds,
        .first_start = !cluster->was_started,
        .more_settings = cluster->more_settings };
  cluster->node[vm] = node_kit_start (&settings);
  ck_assert (wait_for_port (cluster->address[vm], cluster->ready_port[vm], WAIT));
  g_free (seeds);
}

Cluster *
cluster_new (const char *build)
{
  Cluster *cluster = g_new0 (Cluster, 1);
  cluster->build = build;
  cluster->older_build = g_getenv (OLDER_BUILD_VARIABLE);
  for (guint i = 0; i < VMS; i++)
    cluster->is_older[i] = g_strcmp0 (g_getenv (OLDER_VM_VARIABLE), i == 0 ? "0" : "1") == 0;
  cluster->folder = g_dir_make_tmp ("dp-node-XXXXXX", NULL);
  cluster->log = g_strconcat (cluster->folder, "/log", NULL);
  guint net = (guint)getpid () % 200;
  for (guint i = 0; i < VMS; i++)
    {
      g_snprintf (cluster->address[i], sizeof cluster->address[i], "127.9.%u.%u", net, i + 1);
      cluster->caller_port[i] = find_free_port (cluster->address[i]);
      cluster->ready_port[i] = find_free_port (cluster->address[i]);
    }
  cluster->store = find_free_port (cluster->address[0]);
  cluster->store_control = find_free_port (cluster->address[0]);
  cluster->bus_port = find_free_port (cluster->address[0]);
  cluster->tunnel_port = find_free_port (cluster->address[0]);
  cluster->operator_port = find_free_port (cluster->address[0]);
  for (guint i = 0; i < TARGETS; i++)
    {
      cluster->target[i] = find_free_port (cluster->address[0]);
      cluster->target_control[i] = find_free_port (cluster->address[0]);
    }
  start_standins (cluster);
  return cluster;
}

void
fill_store (Cluster *cluster)
{
  put_config (cluster, 1, "");
  for (guint i = 0; i < TARGETS; i++)
    put_target (cluster, i, "POST", "ready");
}

gboolean
wait_ready (const Cluster *cluster, guint vm)
{
  gint64 end = g_get_monotonic_time () + WAIT;
  while (g_get_monotonic_time () < end)
    {
      int status = 0;
      g_free (http_exchange ("GET", cluster->address[vm], cluster->ready_port[vm], "/ready",
                             NULL, NULL, &status));
      if (status == 200)
        return TRUE;
      g_usleep (5000);
    }
  return FALSE;
}

void
cluster_start_nodes (Cluster *cluster)
{
  fill_store (cluster);
  for (guint i = 0; i < VMS; i++)
    start_node (cluster, i);
  for (guint i = 0; i < VMS; i++)
    ck_assert (wait_ready (cluster, i));
}

Cluster *
cluster_start (const char *build)
{
  Cluster *cluster = cluster_new (build);
  cluster_start_nodes (cluster);
  return cluster;
}

void
cluster_free (Cluster *cluster)
{
  for (guint i = 0; i < VMS; i++)
    process_free (cluster->node[i]);
  for (guint i = 0; i < TARGETS; i++)
    process_free (cluster->target_process[i]);
  process_free (cluster->store_process);
  char *command[] = { "rm", "-rf", cluster->folder, NULL };
  g_spawn_sync (NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL, NULL, NULL);
  g_free (cluster->log);
  g_free (cluster->folder);
  g_free (cluster);
}

void
set_fault (const Cluster *cluster, guint16 control, const char *json)
{
  int status;
  g_free (http_exchange ("POST", cluster->address[0], control, "/fault", NULL, json, &status));
  ck_assert_int_eq (status, 200);
}

gint64
sum_target_counter (const Cluster *cluster, const char *name)
{
  gint64 sum = 0;
  for (guint i = 0; i < TARGETS; i++)
    {
      char *text = http_exchange ("GET", cluster->address[0], cluster->target_control[i],
                                  "/runs", NULL, NULL, NULL);
      sum += find_number (text, name);
      g_free (text);
    }
  return sum;
}

int
get_status (const Cluster *cluster, guint vm, const char *path)
{
  int status = 0;
  g_free (http_exchange ("GET", cluster->address[vm], cluster->caller_port[vm], path, HOST KEY,
                         NULL, &status));
  return status;
}

gboolean
wait_status (const Cluster *cluster, guint vm, const char *path, int wanted)
{
  gint64 end = g_get_monotonic_time () + WAIT;
  while (g_get_monotonic_time () < end)
    {
      if (get_status (cluster, vm, path) == wanted)
        return TRUE;
      g_usleep (5000);
    }
  return FALSE;
}

void
wait_for_metric_at (const Cluster *cluster, guint vm, const char *name, gint64 wanted)
{
  gint64 number = -1;
  for (gint64 end = g_get_monotonic_time () + WAIT;
       number != wanted && g_get_monotonic_time () < end;)
    {
      char *text = http_exchange ("GET", cluster->address[vm], cluster->operator_port,
                                  "/metrics", NULL, NULL, NULL);
      number = find_number (text, name);
      g_free (text);
    }
  ck_assert_msg (number == wanted, "%s is %d at VM %u", name, (int)number, vm);
}

void
wait_for_metric (const Cluster *cluster, const char *name, gint64 wanted)
{
  for (guint i = 0; i < VMS; i++)
    wait_for_metric_at (cluster, i, name, wanted);
}

void
kill_nodes (Cluster *cluster, guint count)
{
  cluster->was_started = TRUE;
  for (guint i = 0; i < count; i++)
    process_free (cluster->node[i]);
  for (guint i = 0; i < count; i++)
    start_node (cluster, i);
}
