/* Status as JSON, for operators: of one agent, and of its data centre.
 *
 * The data centre's status is one object of the platform, written by the VM that is first in
 * rank, by conditional update: a writer that has lost its rank without knowing overwrites
 * nothing that it has not seen.
 */
#include "core/agent_board.h"

#include "manifest/json_text.h"

#include <string.h>

/* Findings shown in a status; the rest is told by `dogwoodplankctl check`. */
#define FINDINGS_BYTES_MAX 4096
#define STATUS_INTERVAL (5 * DP_USEC_PER_SEC)

static struct json_object *
number (guint64 value)
{
  return json_object_new_int64 ((gint64)MIN (value, (guint64)G_MAXINT64));
}

static struct json_object *
digest_text (guint64 digest)
{
  char text[17];
  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", digest);
  return json_object_new_string (text);
}

static struct json_object *
manifest_status (const DpAgentBoard *board)
{
  struct json_object *object = json_object_new_object ();
  guint64 revision = board->manifest != NULL ? board->manifest->revision : 0;
  json_object_object_add (object, "revision", number (revision));
  if (board->manifest != NULL)
    json_object_object_add (object, "digest", digest_text (board->manifest->digest));
  json_object_object_add (object, "accepted_revision", number (board->accepted_revision));
  if (board->findings != NULL)
    {
      gsize length = MIN (strlen (board->findings), FINDINGS_BYTES_MAX);
      json_object_object_add (object, "findings",
                              json_object_new_string_len (board->findings, (int)length));
    }
  if (board->conflict_digest == 0)
    return object;
  struct json_object *conflict = json_object_new_object ();
  json_object_object_add (conflict, "revision", number (board->conflict_revision));
  json_object_object_add (conflict, "digest", digest_text (board->conflict_digest));
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
vms_status (const DpAgentBoard *board)
{
  struct json_object *object = json_object_new_object ();
  const GArray *vms = board->view->vms;
  for (guint i = 0; i < vms->len; i++)
    {
      const DpVm *vm = &g_array_index (vms, DpVm, i);
      json_object_object_add (object, vm->text,
                              json_object_new_string (state_name (vm->state)));
    }
  return object;
}

static struct json_object *
local_status (const DpLocal *local)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "known", json_object_new_boolean (local->known));
  json_object_object_add (object, "manifest_revision", number (local->manifest_revision));
  json_object_object_add (object, "open_requests", number (local->open_requests));
  return object;
}

char *
dp_agent_format_status (const DpAgentBoard *board)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "vm", json_object_new_string (board->self.text));
  json_object_object_add (object, "data_centre",
                          json_object_new_string (board->options.data_centre));
  json_object_object_add (object, "state",
                          json_object_new_string (state_name (board->self.state)));
  json_object_object_add (object, "watches_platform",
                          json_object_new_boolean (dp_agent_is_watcher (board)));
  json_object_object_add (object, "manifest", manifest_status (board));
  json_object_object_add (object, "entry", local_status (&board->locals[DP_ROLE_ENTRY]));
  json_object_object_add (object, "scheduler",
                          local_status (&board->locals[DP_ROLE_SCHEDULER]));
  json_object_object_add (object, "vms", vms_status (board));
  char *text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

/* --- the data centre --- */

static gboolean
is_first_in_rank (const DpAgentBoard *board)
{
  const DpVm *first;
  DpName data_centre = board->self.data_centre;
  return dp_view_rank (board->view, data_centre, data_centre, &first, 1) == 1
         && first->name == board->self.name;
}

static struct json_object *
vm_row (DpVmState state, guint64 revision)
{
  struct json_object *row = json_object_new_object ();
  json_object_object_add (row, "state", json_object_new_string (state_name (state)));
  json_object_object_add (row, "manifest_revision", number (revision));
  return row;
}

/* VMs of this data centre, each with the revision that is in force there. */
static struct json_object *
near_vms (const DpAgentBoard *board)
{
  struct json_object *object = json_object_new_object ();
  guint64 revision = board->manifest != NULL ? board->manifest->revision : 0;
  json_object_object_add (object, board->self.text, vm_row (board->self.state, revision));
  for (guint i = 0; i < board->order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (board->order, i);
      if (member->vm.data_centre != board->self.data_centre)
        continue;
      json_object_object_add (
        object, member->vm.text,
        vm_row (dp_agent_member_state (member), member->manifest_revision));
    }
  return object;
}

static const char *
region_name (const DpAgentBoard *board)
{
  if (board->manifest == NULL)
    return "";
  int index
    = dp_manifest_find (board->manifest, DP_MANIFEST_DATA_CENTRE, board->self.data_centre);
  if (index < 0)
    return "";
  return DP_MANIFEST_ROW (board->manifest, data_centres, DpDataCentre, (guint)index)->region;
}

static GBytes *
format_centre (const DpAgentBoard *board)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "data_centre",
                          json_object_new_string (board->options.data_centre));
  json_object_object_add (object, "region", json_object_new_string (region_name (board)));
  json_object_object_add (object, "written_by", json_object_new_string (board->self.text));
  json_object_object_add (object, "manifest", manifest_status (board));
  json_object_object_add (object, "vms", near_vms (board));
  const char *text = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);
  GBytes *value = g_bytes_new (text, strlen (text));
  json_object_put (object);
  return value;
}

static void
call_status (DpAgentBoard *board, DpAgentCall call, DpAgentCallType type, GBytes *value)
{
  char *path = g_strconcat ("status/", board->options.data_centre, NULL);
  dp_agent_call (board, call, type, path, board->status_version, value);
  g_free (path);
}

void
dp_agent_status_tick (DpAgentBoard *board)
{
  if (!is_first_in_rank (board))
    {
      board->status_known = FALSE;
      return;
    }
  if (board->now < board->next_status || board->calls[DP_AGENT_CALL_WRITE_STATUS].open)
    return;
  if (!board->status_known)
    {
      if (dp_agent_call_ready (board, DP_AGENT_CALL_READ_STATUS))
        call_status (board, DP_AGENT_CALL_READ_STATUS, DP_AGENT_READ, NULL);
      return;
    }
  if (!dp_agent_call_ready (board, DP_AGENT_CALL_WRITE_STATUS))
    return;
  board->next_status = board->now + STATUS_INTERVAL;
  call_status (board, DP_AGENT_CALL_WRITE_STATUS, DP_AGENT_WRITE, format_centre (board));
}

void
dp_agent_status_resumed (DpAgentBoard *board)
{
  board->status_known = FALSE;
}

static void
on_status_read (DpAgentBoard *board, const DpAgentReply *reply)
{
  if (reply->result != DP_AGENT_OK && reply->result != DP_AGENT_NOT_FOUND)
    return;
  board->status_known = TRUE;
  board->status_version = reply->result == DP_AGENT_OK ? reply->version : 0;
}

/* After anything but a plain answer the version must be read anew. */
static void
on_status_written (DpAgentBoard *board, const DpAgentReply *reply)
{
  board->status_known = reply->result == DP_AGENT_OK;
  if (board->status_known)
    board->status_version = reply->version;
}

void
dp_agent_status_reply (DpAgentBoard *board, const DpAgentReply *reply)
{
  if (reply->call == DP_AGENT_CALL_READ_STATUS)
    on_status_read (board, reply);
  else if (reply->call == DP_AGENT_CALL_WRITE_STATUS)
    on_status_written (board, reply);
}
