/* Status of one agent and of its data centre as JSON, for operators.
 *
 * The data centre's status is one platform object, written by the VM that is first in rank. The
 * writes are conditional, so that a VM that is no longer first but doesn't know it yet can't
 * overwrite a newer status.
 */
#include "core/agent_private.h"

#include "manifest/json_text.h"

#include <string.h>

/* Limit of the diagnostics in a status; `dogwoodplankctl check` prints all of them. */
#define DIAGNOSTICS_BYTES_MAX 4096
#define STATUS_INTERVAL (5 * DP_USEC_PER_SEC)

static struct json_object *
uint64_json (guint64 value)
{
  return json_object_new_int64 ((gint64)MIN (value, (guint64)G_MAXINT64));
}

static struct json_object *
digest_json (guint64 digest)
{
  char text[17];
  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", digest);
  return json_object_new_string (text);
}

static struct json_object *
manifest_status (const DpAgentCore *core)
{
  struct json_object *object = json_object_new_object ();
  guint64 revision = core->manifest != NULL ? core->manifest->revision : 0;
  json_object_object_add (object, "revision", uint64_json (revision));
  if (core->manifest != NULL)
    json_object_object_add (object, "digest", digest_json (core->manifest->digest));
  json_object_object_add (object, "accepted_revision", uint64_json (core->accepted_revision));
  if (core->proposed_diagnostics != NULL)
    {
      gsize length = MIN (strlen (core->proposed_diagnostics), DIAGNOSTICS_BYTES_MAX);
      json_object_object_add (
        object, "findings",
        json_object_new_string_len (core->proposed_diagnostics, (int)length));
    }
  if (core->conflict_digest == 0)
    return object;
  struct json_object *conflict = json_object_new_object ();
  json_object_object_add (conflict, "revision", uint64_json (core->conflict_revision));
  json_object_object_add (conflict, "digest", digest_json (core->conflict_digest));
  json_object_object_add (object, "conflict", conflict);
  return object;
}

static const char *
state_name (DpVmState state)
{
  switch (state)
    {
    case DP_VM_LIVE:
      return "live";
    case DP_VM_LEAVING:
      return "leaving";
    case DP_VM_SUSPECT:
      return "suspect";
    case DP_VM_DEAD:
      return "dead";
    }
  return "invalid";
}

static struct json_object *
vms_status (const DpAgentCore *core)
{
  struct json_object *object = json_object_new_object ();
  const GArray *vms = core->view->vms;
  for (guint i = 0; i < vms->len; i++)
    {
      const DpVm *vm = &g_array_index (vms, DpVm, i);
      json_object_object_add (object, vm->text,
                              json_object_new_string (state_name (vm->state)));
    }
  return object;
}

static struct json_object *
process_status (const DpLocalProcess *process)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "known", json_object_new_boolean (process->known));
  json_object_object_add (object, "manifest_revision",
                          uint64_json (process->manifest_revision));
  json_object_object_add (object, "open_requests", uint64_json (process->open_requests));
  return object;
}

char *
dp_agent_format_status (const DpAgentCore *core)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "vm", json_object_new_string (core->self.text));
  json_object_object_add (object, "data_centre",
                          json_object_new_string (core->options.data_centre));
  json_object_object_add (object, "state",
                          json_object_new_string (state_name (core->self.state)));
  json_object_object_add (object, "watches_platform",
                          json_object_new_boolean (dp_agent_is_watcher (core)));
  json_object_object_add (object, "manifest", manifest_status (core));
  json_object_object_add (object, "entry", process_status (&core->processes[DP_ROLE_ENTRY]));
  json_object_object_add (object, "scheduler",
                          process_status (&core->processes[DP_ROLE_SCHEDULER]));
  json_object_object_add (object, "vms", vms_status (core));
  char *text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

/* --- status of the data centre --- */

static gboolean
is_status_writer (const DpAgentCore *core)
{
  const DpVm *first;
  DpName data_centre = core->self.data_centre;
  return dp_view_rank (core->view, data_centre, data_centre, &first, 1) == 1
         && first->name == core->self.name;
}

static struct json_object *
vm_status (DpVmState state, guint64 revision)
{
  struct json_object *row = json_object_new_object ();
  json_object_object_add (row, "state", json_object_new_string (state_name (state)));
  json_object_object_add (row, "manifest_revision", uint64_json (revision));
  return row;
}

/* Lists the VMs of this data centre, each with its state and the revision in force there. */
static struct json_object *
data_centre_vms_status (const DpAgentCore *core)
{
  struct json_object *object = json_object_new_object ();
  guint64 revision = core->manifest != NULL ? core->manifest->revision : 0;
  json_object_object_add (object, core->self.text, vm_status (core->self.state, revision));
  for (guint i = 0; i < core->probe_order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (core->probe_order, i);
      if (member->vm.data_centre != core->self.data_centre)
        continue;
      json_object_object_add (
        object, member->vm.text,
        vm_status (dp_agent_member_state (member), member->manifest_revision));
    }
  return object;
}

static const char *
region_name (const DpAgentCore *core)
{
  if (core->manifest == NULL)
    return "";
  int index
    = dp_manifest_find (core->manifest, DP_MANIFEST_DATA_CENTRE, core->self.data_centre);
  if (index < 0)
    return "";
  return DP_MANIFEST_ROW (core->manifest, data_centres, DpDataCentre, (guint)index)->region;
}

static GBytes *
format_data_centre_status (const DpAgentCore *core)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "data_centre",
                          json_object_new_string (core->options.data_centre));
  json_object_object_add (object, "region", json_object_new_string (region_name (core)));
  json_object_object_add (object, "written_by", json_object_new_string (core->self.text));
  json_object_object_add (object, "manifest", manifest_status (core));
  json_object_object_add (object, "vms", data_centre_vms_status (core));
  const char *text = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);
  GBytes *value = g_bytes_new (text, strlen (text));
  json_object_put (object);
  return value;
}

static void
start_status_call (DpAgentCore *core, DpAgentCall call, DpAgentCallType type, GBytes *value)
{
  char *path = g_strconcat ("status/", core->options.data_centre, NULL);
  dp_agent_call_start (core, call, type, path, core->status_version, value);
  g_free (path);
}

void
dp_agent_status_tick (DpAgentCore *core)
{
  if (!is_status_writer (core))
    {
      core->status_known = FALSE;
      return;
    }
  if (core->now < core->next_status_at || core->calls[DP_AGENT_CALL_WRITE_STATUS].in_flight)
    return;
  if (!core->status_known)
    {
      if (dp_agent_call_ready (core, DP_AGENT_CALL_READ_STATUS))
        start_status_call (core, DP_AGENT_CALL_READ_STATUS, DP_AGENT_READ, NULL);
      return;
    }
  if (!dp_agent_call_ready (core, DP_AGENT_CALL_WRITE_STATUS))
    return;
  core->next_status_at = core->now + STATUS_INTERVAL;
  start_status_call (core, DP_AGENT_CALL_WRITE_STATUS, DP_AGENT_WRITE,
                     format_data_centre_status (core));
}

void
dp_agent_status_on_resume (DpAgentCore *core)
{
  core->status_known = FALSE;
}

static void
on_status_read (DpAgentCore *core, const DpAgentReply *reply)
{
  if (reply->result != DP_AGENT_OK && reply->result != DP_AGENT_NOT_FOUND)
    return;
  core->status_known = TRUE;
  core->status_version = reply->result == DP_AGENT_OK ? reply->version : 0;
}

/* After any other result than OK, the version has to be read again. */
static void
on_status_written (DpAgentCore *core, const DpAgentReply *reply)
{
  core->status_known = reply->result == DP_AGENT_OK;
  if (core->status_known)
    core->status_version = reply->version;
}

void
dp_agent_status_on_reply (DpAgentCore *core, const DpAgentReply *reply)
{
  if (reply->call == DP_AGENT_CALL_READ_STATUS)
    on_status_read (core, reply);
  else if (reply->call == DP_AGENT_CALL_WRITE_STATUS)
    on_status_written (core, reply);
}
