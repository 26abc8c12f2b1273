#include "tests/system.h"

#include <check.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define ARGUMENTS_MAX 64
/* Long, since sanitizer builds on a busy machine are slow; each wait ends with its event. */
#define START_TIMEOUT (30 * DP_USEC_PER_SEC)
#define EVENT_TIMEOUT (40 * DP_USEC_PER_SEC)
#define LOAD_TIMEOUT (90 * DP_USEC_PER_SEC)
#define STOP_TIMEOUT (10 * DP_USEC_PER_SEC)

static const char *
format_address (const System *system, guint last)
{
  static char buffers[8][32];
  static guint next = 0;
  char *buffer = buffers[next];
  next = (next + 1) % G_N_ELEMENTS (buffers);
  g_snprintf (buffer, sizeof buffers[0], "%s.%u", system->net_prefix, last);
  return buffer;
}

const char *
system_vm_address (const System *system, guint vm)
{
  return format_address (system, 1 + vm);
}

const char *
system_engine_address (const System *system, guint index)
{
  return format_address (system, 21 + index);
}

const char *
system_service_address (const System *system)
{
  return format_address (system, 31);
}

const char *
system_platform_address (const System *system)
{
  return format_address (system, 41);
}

/* Starts a program from its arguments, which are separated by single spaces. */
static Process *
start_command_line (System *system, const char *name, const char *line)
{
  char **words = g_strsplit (line, " ", -1);
  char *log = g_strdup_printf ("%s/%s.log", system->folder, name);
  Process *process = process_start (&(ProcessOptions){
    .argv = (const char *const *)words,
    .log_path = log,
  });
  g_free (log);
  g_strfreev (words);
  return process;
}

static Process *
start_command (System *system, const char *name, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *line = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  Process *process = start_command_line (system, name, line);
  g_free (line);
  return process;
}

static const char *
data_centre_of_vm (guint vm)
{
  return vm == 1 ? "dc-b" : "dc-a";
}

/* --- manifest --- */

static void
append_key (GString *text, const char *key, const char *workspace, const char *tier)
{
  char *hash = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  g_string_append_printf (text, "{\"sha256\": \"%s\", \"workspace\": \"%s\", \"tier\": \"%s\"}",
                          hash, workspace, tier);
  g_free (hash);
}

static void
append_engine (GString *text, const System *system, guint index)
{
  gboolean fast = index == 0;
  g_string_append_printf (
    text,
    "%s{\"name\": \"e%u\", \"pool\": \"shared\", \"data_centre\": \"%s\","
    " \"address\": \"%s\", \"port\": %u, \"window\": %u,"
    " \"prefill_tokens_per_second\": %u, \"decode_tokens_per_second\": %u,"
    " \"stream_tokens_per_second\": %u, \"kv_tokens\": 200000, \"checks_fence\": %s,"
    " \"models\": [\"m\"]}",
    index > 0 ? "," : "", index, fast ? "dc-a" : "dc-b", system_engine_address (system, index),
    SYSTEM_TARGET_PORT, fast ? 64 : 32, fast ? 20000 : 8000, fast ? 4000 : 2000,
    fast ? 100 : 60, fast ? "true" : "false");
}

static void
write_manifest (System *system)
{
  GString *text = g_string_new ("{\"revision\": 1, \"tiers\": ["
                                "{\"name\": \"now\", \"timeout_ms\": 30000},"
                                "{\"name\": \"office\", \"timeout_ms\": 60000}],"
                                "\"data_centres\": [{\"name\": \"dc-a\", \"region\": \"r\"},"
                                "{\"name\": \"dc-b\", \"region\": \"r\"}],"
                                "\"workspaces\": [{\"name\": \"crews\", \"weight\": 4},"
                                "{\"name\": \"office\"}], \"keys\": [");
  append_key (text, "key-now", "crews", "now");
  g_string_append_c (text, ',');
  append_key (text, "key-office", "office", "office");
  g_string_append (text, "], \"models\": [{\"name\": \"m\", \"output_tokens\": 40}],"
                         "\"pools\": [{\"name\": \"shared\"}], \"engines\": [");
  for (guint i = 0; i < SYSTEM_ENGINES; i++)
    append_engine (text, system, i);
  g_string_append_printf (text,
                          "], \"services\": [{\"name\": \"rota\", \"calls\": ["
                          "{\"method\": \"POST\", \"path\": \"/bookings\","
                          " \"repeatable\": false}], \"targets\": [{\"name\": \"rota-1\","
                          " \"data_centre\": \"dc-a\", \"address\": \"%s\", \"port\": %u,"
                          " \"window\": 64}]}]}",
                          system_service_address (system), SYSTEM_TARGET_PORT);
  system->manifest = g_strdup_printf ("%s/manifest.json", system->folder);
  ck_assert (g_file_set_contents (system->manifest, text->str, (gssize)text->len, NULL));
  g_string_free (text, TRUE);
}

/* Writes the VM list that the platform serves. */
static void
write_vms (const System *system)
{
  GString *text = g_string_new ("{\"vms\":[");
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    g_string_append_printf (text,
                            "%s{\"name\":\"vm-%u\",\"address\":\"%s\","
                            "\"data_centre\":\"%s\",\"state\":\"live\"}",
                            vm > 0 ? "," : "", vm, system_vm_address (system, vm),
                            data_centre_of_vm (vm));
  g_string_append (text, "]}");
  char *path = g_strdup_printf ("%s/vms", system->folder);
  ck_assert (g_file_set_contents (path, text->str, (gssize)text->len, NULL));
  g_free (path);
  g_string_free (text, TRUE);
}

/* --- processes --- */

void
system_start_engine (System *system, guint index)
{
  gboolean fast = index == 0;
  const char *address = system_engine_address (system, index);
  char name[16];
  g_snprintf (name, sizeof name, "engine%u", index);
  system->engines[index] = start_command (
    system, name,
    "%s/standins/standin-engine --listen %s:%u --control-port %u --prefill-rate %u"
    " --decode-rate %u --stream-rate %u --slots %u --load-lag 300 --events-late 200",
    system->build, address, SYSTEM_TARGET_PORT, SYSTEM_CONTROL_PORT, fast ? 20000 : 8000,
    fast ? 4000 : 2000, fast ? 100 : 60, fast ? 64 : 32);
  ck_assert (wait_for_port (address, SYSTEM_CONTROL_PORT, START_TIMEOUT));
}

static Process *
start_vm_program (System *system, const char *program, guint vm, const char *flags)
{
  char name[32];
  g_snprintf (name, sizeof name, "%s%u", program, vm);
  char *platform = g_strdup_printf (" --platform-address %s --platform-port %u",
                                    system_platform_address (system), SYSTEM_TARGET_PORT);
  gboolean uses_platform = strcmp (program, "scheduler") != 0;
  Process *process = start_command (
    system, name, "%s/%s/dogwoodplank-%s --name vm-%u --address %s --data-centre %s%s%s",
    system->build, program, program, vm, system_vm_address (system, vm), data_centre_of_vm (vm),
    uses_platform ? platform : "", flags);
  g_free (platform);
  return process;
}

/* Waits until the process has the manifest; it gets its view of the VMs with it. */
static void
wait_until_ready (System *system, guint vm, guint16 port)
{
  ck_assert_msg (wait_for_number (system_vm_address (system, vm), port, "/status",
                                  "manifest_revision", 1, START_TIMEOUT),
                 "VM %u: the process with operator port %u has no manifest", vm, port);
}

void
system_start_entry (System *system, guint vm)
{
  system->entries[vm] = start_vm_program (system, "entry", vm, "");
}

void
system_start_scheduler (System *system, guint vm)
{
  system->schedulers[vm] = start_vm_program (system, "scheduler", vm, "");
}

/* An agent is configured with the other VMs, which it queries while the platform is
 * unavailable. */
void
system_start_agent (System *system, guint vm)
{
  GString *peers = g_string_new (NULL);
  for (guint other = 0; other < SYSTEM_VMS; other++)
    if (other != vm)
      g_string_append_printf (peers, " --peer vm-%u=%s=%s", other,
                              system_vm_address (system, other), data_centre_of_vm (other));
  system->agents[vm] = start_vm_program (system, "agent", vm, peers->str);
  g_string_free (peers, TRUE);
}

void
system_kill (Process **process)
{
  process_signal (*process, SIGKILL);
  ck_assert (process_wait (*process, STOP_TIMEOUT, NULL));
  g_clear_pointer (process, process_free);
}

/* Derives a loopback network from the process id, so that parallel runs don't collide. */
static void
choose_net_prefix (System *system)
{
  guint pid = (guint)getpid ();
  g_snprintf (system->net_prefix, sizeof system->net_prefix, "127.%u.%u", 64 + pid / 250 % 128,
              1 + pid % 250);
}

System *
system_start (const char *build)
{
  System *system = g_new0 (System, 1);
  system->build = build;
  system->folder = g_dir_make_tmp ("dogwoodplank-XXXXXX", NULL);
  choose_net_prefix (system);
  write_manifest (system);
  write_vms (system);
  system->platform = start_command (system, "platform",
                                    "%s/standins/standin-platform --listen %s:%u"
                                    " --control-port %u --rate 2000"
                                    " --object manifest/proposed=%s --object vms=%s/vms",
                                    build, system_platform_address (system), SYSTEM_TARGET_PORT,
                                    SYSTEM_CONTROL_PORT, system->manifest, system->folder);
  system->service = start_command (
    system, "service", "%s/standins/standin-service --listen %s:%u --control-port %u", build,
    system_service_address (system), SYSTEM_TARGET_PORT, SYSTEM_CONTROL_PORT);
  ck_assert (
    wait_for_port (system_platform_address (system), SYSTEM_CONTROL_PORT, START_TIMEOUT));
  ck_assert (
    wait_for_port (system_service_address (system), SYSTEM_CONTROL_PORT, START_TIMEOUT));
  for (guint i = 0; i < SYSTEM_ENGINES; i++)
    system_start_engine (system, i);
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    {
      system_start_agent (system, vm);
      system_start_scheduler (system, vm);
      system_start_entry (system, vm);
    }
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    {
      wait_until_ready (system, vm, SYSTEM_ENTRY_OPERATOR_PORT);
      wait_until_ready (system, vm, SYSTEM_SCHEDULER_OPERATOR_PORT);
    }
  return system;
}

static void
remove_folder (const char *path)
{
  GDir *folder = g_dir_open (path, 0, NULL);
  const char *name;
  while (folder != NULL && (name = g_dir_read_name (folder)) != NULL)
    {
      char *file = g_build_filename (path, name, NULL);
      g_unlink (file);
      g_free (file);
    }
  if (folder != NULL)
    g_dir_close (folder);
  g_rmdir (path);
}

void
system_stop (System *system)
{
  for (guint i = 0; i < SYSTEM_VMS; i++)
    {
      process_free (system->entries[i]);
      process_free (system->schedulers[i]);
      process_free (system->agents[i]);
    }
  for (guint i = 0; i < SYSTEM_ENGINES; i++)
    process_free (system->engines[i]);
  process_free (system->service);
  process_free (system->platform);
  remove_folder (system->folder);
  g_free (system->folder);
  g_free (system->manifest);
  g_free (system);
}

void
system_set_fault (const char *address, const char *json)
{
  int status = 0;
  char *response
    = http_exchange ("POST", address, SYSTEM_CONTROL_PORT, "/fault", NULL, json, &status);
  ck_assert_int_eq (status, 200);
  g_free (response);
}

gint64
system_sum_engine_stat (const System *system, const char *name)
{
  gint64 sum = 0;
  for (guint i = 0; i < SYSTEM_ENGINES; i++)
    {
      char *text = http_exchange ("GET", system_engine_address (system, i), SYSTEM_CONTROL_PORT,
                                  "/stats", NULL, NULL, NULL);
      gint64 number = text != NULL ? find_number (text, name) : -1;
      sum += MAX (number, 0);
      g_free (text);
    }
  return sum;
}

void
system_wait_for_engine_stat (const System *system, const char *name, gint64 wanted)
{
  DpUsec end = g_get_monotonic_time () + EVENT_TIMEOUT;
  gint64 sum = 0;
  while ((sum = system_sum_engine_stat (system, name)) < wanted
         && g_get_monotonic_time () < end)
    continue;
  ck_assert_msg (sum >= wanted, "the sum of the engines' %s is %ld, expected at least %ld",
                 name, (long)sum, (long)wanted);
}

/* --- load --- */

Load *
system_start_load (System *system, guint vm_mask, const char *const *flags)
{
  static guint count = 0;
  const char *arguments[ARGUMENTS_MAX] = { NULL };
  GPtrArray *owned = g_ptr_array_new_with_free_func (g_free);
  guint used = 0;
  count += 1;
  arguments[used++] = g_strdup_printf ("%s/standins/standin-load", system->build);
  g_ptr_array_add (owned, (gpointer)arguments[0]);
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    {
      if ((vm_mask & (1U << vm)) == 0)
        continue;
      char *entry
        = g_strdup_printf ("--entry=%s:%u", system_vm_address (system, vm), SYSTEM_ENTRY_PORT);
      g_ptr_array_add (owned, entry);
      arguments[used++] = entry;
    }
  char *service
    = g_strdup_printf ("--service=%s:%u", system_service_address (system), SYSTEM_CONTROL_PORT);
  g_ptr_array_add (owned, service);
  arguments[used++] = service;
  arguments[used++] = "--key=key-now:now";
  arguments[used++] = "--key=key-office:office";
  arguments[used++] = "--model=m";
  for (guint i = 0; flags[i] != NULL; i++)
    {
      ck_assert_uint_lt (used + 1, ARGUMENTS_MAX);
      arguments[used++] = flags[i];
    }
  Load *load = g_new0 (Load, 1);
  load->folder = system->folder;
  load->out_path = g_strdup_printf ("%s/load%u.out", system->folder, count);
  char *log = g_strdup_printf ("%s/load%u.log", system->folder, count);
  load->process = process_start (
    &(ProcessOptions){ .argv = arguments, .log_path = log, .out_path = load->out_path });
  g_free (log);
  g_ptr_array_unref (owned);
  return load;
}

static gint64
summary_number (const char *text, const char *name)
{
  const char *line = strstr (text, "summary ");
  char *pattern = g_strdup_printf ("%s=", name);
  const char *at = line != NULL ? strstr (line, pattern) : NULL;
  gint64 number = at != NULL ? g_ascii_strtoll (at + strlen (pattern), NULL, 10) : -1;
  g_free (pattern);
  return number;
}

/* Appends the entries' log lines of responses that were not complete. */
static void
append_incomplete_responses (GString *text, const char *folder)
{
  for (guint vm = 0; vm < SYSTEM_VMS; vm++)
    {
      char *path = g_strdup_printf ("%s/entry%u.log", folder, vm);
      char *log = NULL;
      char **lines
        = g_file_get_contents (path, &log, NULL, NULL) ? g_strsplit (log, "\n", -1) : NULL;
      for (guint i = 0; lines != NULL && lines[i] != NULL; i++)
        if (strstr (lines[i], "event=request_end") != NULL
            && strstr (lines[i], "end=complete") == NULL)
          g_string_append_printf (text, "entry%u: %s\n", vm, lines[i]);
      g_strfreev (lines);
      g_free (log);
      g_free (path);
    }
}

LoadSummary
system_finish_load (Load *load)
{
  LoadSummary summary = { 0 };
  int status = 0;
  ck_assert_msg (process_wait (load->process, LOAD_TIMEOUT, &status),
                 "the load client did not exit in time");
  summary.exit_code = WIFEXITED (status) ? WEXITSTATUS (status) : -1;
  ck_assert (g_file_get_contents (load->out_path, &summary.text, NULL, NULL));
  summary.right = summary_number (summary.text, "right");
  summary.problem = summary_number (summary.text, "problem");
  summary.broken = summary_number (summary.text, "broken");
  summary.wrong = summary_number (summary.text, "wrong");
  summary.stuck = summary_number (summary.text, "stuck");
  GString *text = g_string_new (summary.text);
  append_incomplete_responses (text, load->folder);
  g_free (summary.text);
  summary.text = g_string_free (text, FALSE);
  process_free (load->process);
  g_free (load->out_path);
  g_free (load);
  return summary;
}
