/* Status of one agent as JSON, for operators. */
#include "core/agent_board.h"

#include "manifest/json_text.h"

#include <string.h>

/* Findings shown in a status; the rest is told by `dogwoodplankctl check`. */
#define FINDINGS_BYTES_MAX 4096

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
