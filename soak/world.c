#include "soak/soak.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Sanitizer builds on a busy machine start slowly. */
#define START_TIMEOUT (30 * DP_USEC_PER_SEC)
#define STOP_TIMEOUT (12 * DP_USEC_PER_SEC)
/* A run takes this long, so that faults meet requests that run. */
#define RUN_TIME "{\"wait_ms\":10}"

double
soak_world_time (const SoakWorld *world)
{
  return (double)(g_get_monotonic_time () - world->begun) / (double)DP_USEC_PER_SEC;
}

void
soak_world_say (const SoakWorld *world, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  printf ("%8.3f ", soak_world_time (world));
  vprintf (format, arguments);
  printf ("\n");
  va_end (arguments);
}

void
soak_world_violation (SoakWorld *world, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  soak_world_say (world, "VIOLATION %s", text);
  g_ptr_array_add (world->violations, text);
}

static NodeKitStore
operator_store (const SoakWorld *world)
{
  return (NodeKitStore){ .address = world->store_address, .port = SOAK_SERVER_PORT };
}

/* --- store --- */

static Process *
start_program (const SoakWorld *world, const char *name, const char *address, const char *id)
{
  char *program = g_strdup_printf ("%s/standins/%s", world->build, name);
  char *listen = g_strdup_printf ("%s:%u", address, SOAK_SERVER_PORT);
  char *control_text = g_strdup_printf ("%u", SOAK_CONTROL_PORT);
  const char *const argv[] = { program, listen, control_text, id, NULL };
  Process *process = process_start (&(ProcessOptions){ .argv = argv, .log_path = world->log });
  g_free (control_text);
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
soak_store_set_faults (SoakWorld *world, const char *json)
{
  set_faults (world->store_address, json);
}

gboolean
soak_put_config (SoakWorld *world)
{
  guint version = world->config_version + 1;
  GString *routes = g_string_new (NULL);
  for (guint i = 2; i <= version; i++)
    g_string_append_printf (routes, NODE_KIT_ROUTE ("v%u"), i, i);
  gboolean taken = node_kit_put_config (operator_store (world), version, routes->str) == 200;
  g_string_free (routes, TRUE);
  if (taken)
    world->config_version = version;
  return taken;
}

gboolean
soak_put_target (SoakWorld *world, const SoakTarget *target, const char *state)
{
  const NodeKitTarget row = { .id = target->id,
                              .address = target->proxy_address,
                              .port = SOAK_SERVER_PORT,
                              .data_centre = "a",
                              .state = state,
                              .started = target->started };
  NodeKitStore store = operator_store (world);
  return node_kit_put_target (store, "PUT", &row) == 200
         || node_kit_put_target (store, "POST", &row) == 200;
}

/* --- targets --- */

void
soak_target_start (SoakWorld *world, SoakTarget *target)
{
  target->process = start_program (world, "standin-target", target->address, target->id);
  target->started = g_get_real_time () / 1000;
  target->is_paused = FALSE;
  if (wait_for_port (target->address, SOAK_CONTROL_PORT, START_TIMEOUT))
    soak_target_set_faults (world, target, NULL);
  else
    soak_world_violation (world, "target %s did not start", target->id);
}

void
soak_target_set_faults (SoakWorld *world, SoakTarget *target, const char *json)
{
  set_faults (target->address, "{}");
  set_faults (target->address, RUN_TIME);
  if (json != NULL)
    set_faults (target->address, json);
}

void
soak_collect_runs (SoakWorld *world, const SoakTarget *target)
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
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (world->runs, lines[i]));
      count += (guint)g_ascii_strtoull (blank + 1, NULL, 10);
      g_hash_table_replace (world->runs, g_strdup (lines[i]), GUINT_TO_POINTER (count));
    }
  g_strfreev (lines);
  g_free (text);
}

void
soak_target_kill (SoakWorld *world, SoakTarget *target)
{
  if (target->process == NULL)
    return;
  /* Nothing more reaches it, so that no run is missed. */
  soak_proxy_set_mode (target->proxy, SOAK_PROXY_RESET);
  if (target->is_paused)
    process_signal (target->process, SIGCONT);
  soak_collect_runs (world, target);
  g_clear_pointer (&target->process, process_free);
  soak_proxy_set_mode (target->proxy, SOAK_PROXY_PASS);
}

/* --- VMs --- */

void
soak_vm_start (SoakWorld *world, SoakVm *vm)
{
  const NodeKitVm settings
    = { .build = world->build,
        .folder = world->folder,
        .log = world->log,
        .name = vm->name,
        .address = vm->address,
        .data_centre = vm->data_centre,
        .bus_port = SOAK_BUS_PORT,
        .operator_port = SOAK_OPERATOR_PORT,
        .caller_port = SOAK_CALLERS_PORT,
        .ready_port = SOAK_READY_PORT,
        .store = { .address = vm->store_address, .port = SOAK_SERVER_PORT },
        .seeds = world->seeds,
        .first_start = vm->incarnation == 0 };
  vm->process = node_kit_start (&settings);
  vm->incarnation += 1;
  vm->config_seen = 0;
  vm->is_paused = FALSE;
  vm->is_stopping = FALSE;
  vm->disturbed_at = g_get_monotonic_time ();
}

void
soak_vm_signal (SoakWorld *world, SoakVm *vm, int number)
{
  if (vm->process == NULL)
    return;
  vm->disturbed_at = g_get_monotonic_time ();
  switch (number)
    {
    case SIGKILL:
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
soak_vm_is_calm (const SoakVm *vm, gint64 span)
{
  return vm->process != NULL && !vm->is_paused
         && g_get_monotonic_time () - vm->disturbed_at > span;
}

static void
wait_until_ready (SoakWorld *world, const SoakVm *vm)
{
  gint64 end = g_get_monotonic_time () + START_TIMEOUT;
  int status = 0;
  while (status != 200 && g_get_monotonic_time () < end)
    {
      /* The proxies run in this loop. */
      event_base_loop (world->base, EVLOOP_NONBLOCK);
      g_free (
        http_exchange ("GET", vm->address, SOAK_READY_PORT, "/ready", NULL, NULL, &status));
      g_usleep (2000);
    }
  if (status != 200)
    soak_world_violation (world, "%s was not ready in time", vm->name);
}

/* --- life --- */

static void
choose_address (char address[SOAK_ADDRESS_BYTES], guint last)
{
  guint process = (guint)getpid ();
  g_snprintf (address, SOAK_ADDRESS_BYTES, "127.%u.%u.%u", 20 + process / 250 % 200,
              process % 250, last);
}

static void
choose_addresses (SoakWorld *world)
{
  GString *seeds = g_string_new (NULL);
  choose_address (world->store_address, 100);
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      SoakVm *vm = &world->vms[i];
      g_snprintf (vm->name, sizeof vm->name, "vm%u", i);
      choose_address (vm->address, 1 + i);
      choose_address (vm->store_address, 101 + i);
      vm->data_centre = i < SOAK_VMS / 2 ? "a" : "b";
      g_string_append_printf (seeds, "%s%s:1", i > 0 ? "," : "", vm->address);
    }
  world->seeds = g_string_free (seeds, FALSE);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      SoakTarget *target = &world->targets[i];
      g_snprintf (target->id, sizeof target->id, "t%u", i);
      choose_address (target->address, 150 + i);
      choose_address (target->proxy_address, 200 + i);
    }
}

static void
start_all (SoakWorld *world)
{
  world->store = start_program (world, "standin-store", world->store_address, NULL);
  if (!wait_for_port (world->store_address, SOAK_SERVER_PORT, START_TIMEOUT))
    soak_world_violation (world, "the store did not start");
  world->store_answers = TRUE;
  if (!soak_put_config (world))
    soak_world_violation (world, "the store took no config");
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      SoakTarget *target = &world->targets[i];
      target->proxy = soak_proxy_new (world->base, target->proxy_address, target->address,
                                      SOAK_SERVER_PORT);
      soak_target_start (world, target);
      soak_put_target (world, target, "ready");
    }
  for (guint i = 0; i < SOAK_VMS; i++)
    {
      SoakVm *vm = &world->vms[i];
      vm->store = soak_proxy_new (world->base, vm->store_address, world->store_address,
                                  SOAK_SERVER_PORT);
      soak_vm_start (world, vm);
    }
  for (guint i = 0; i < SOAK_VMS; i++)
    wait_until_ready (world, &world->vms[i]);
}

SoakWorld *
soak_world_new (struct event_base *base, const char *build, guint32 seed)
{
  SoakWorld *world = g_new0 (SoakWorld, 1);
  world->base = base;
  world->build = build;
  world->folder = g_dir_make_tmp ("dp-soak-XXXXXX", NULL);
  world->log = g_strconcat (world->folder, "/log", NULL);
  world->random = g_rand_new_with_seed (seed);
  world->begun = g_get_monotonic_time ();
  world->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->violations = g_ptr_array_new_with_free_func (g_free);
  choose_addresses (world);
  start_all (world);
  return world;
}

/* A stopped process ends by itself, without leaks or reports of the sanitizers. */
static void
stop_vm (SoakWorld *world, SoakVm *vm)
{
  int status = 0;
  gboolean in_time = vm->process == NULL || process_wait (vm->process, STOP_TIMEOUT, &status);
  if (!in_time || status != 0)
    soak_world_violation (world, "%s did not end well after SIGTERM: %s, status %d", vm->name,
                          in_time ? "ended" : "runs on", status);
  g_clear_pointer (&vm->process, process_free);
  soak_proxy_free (vm->store);
}

void
soak_world_stop (SoakWorld *world)
{
  for (guint i = 0; i < SOAK_VMS; i++)
    soak_vm_signal (world, &world->vms[i], SIGTERM);
  for (guint i = 0; i < SOAK_VMS; i++)
    stop_vm (world, &world->vms[i]);
  for (guint i = 0; i < SOAK_TARGETS; i++)
    {
      process_free (world->targets[i].process);
      soak_proxy_free (world->targets[i].proxy);
    }
  process_free (world->store);
}

void
soak_world_free (SoakWorld *world)
{
  char *command[] = { "rm", "-rf", world->folder, NULL };
  if (world->violations->len == 0)
    g_spawn_sync (NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL, NULL, NULL);
  else
    printf ("logs: %s\n", world->folder);
  g_hash_table_unref (world->runs);
  g_hash_table_unref (world->requests);
  g_ptr_array_unref (world->violations);
  g_rand_free (world->random);
  g_free (world->seeds);
  g_free (world->log);
  g_free (world->folder);
  g_free (world);
}
