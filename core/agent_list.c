/* Parser of the platform's VM list. The list lags, but names VMs that no peer has met yet. */
#include "core/agent_private.h"

#include "manifest/json_text.h"

#include <stddef.h>
#include <string.h>

#define LIST_BYTES_MAX ((gsize)1024 * 1024)
#define LIST_DEPTH_MAX 4
#define NAME_LENGTH_MAX 63
#define ADDRESS_LENGTH_MAX 45

typedef struct VmJson
{
  char *name;
  char *address;
  char *data_centre;
  char *state;
} VmJson;

static const DpJsonField vm_fields[] = {
  { "name", DP_JSON_STRING, offsetof (VmJson, name), TRUE, 1, NAME_LENGTH_MAX },
  { "address", DP_JSON_STRING, offsetof (VmJson, address), TRUE, 1, ADDRESS_LENGTH_MAX },
  { "data_centre", DP_JSON_STRING, offsetof (VmJson, data_centre), TRUE, 1, NAME_LENGTH_MAX },
  { "state", DP_JSON_STRING, offsetof (VmJson, state), TRUE, 1 },
};

typedef struct VmListJson
{
  struct json_object *vms;
} VmListJson;

static const DpJsonField list_fields[] = {
  { "vms", DP_JSON_ARRAY, offsetof (VmListJson, vms), TRUE },
};

static void
vm_json_clear (VmJson *text)
{
  g_free (text->name);
  g_free (text->address);
  g_free (text->data_centre);
  g_free (text->state);
}

static void
parse_vm (DpJsonText *document, struct json_object *object, const char *path, GArray *rows)
{
  VmJson text = { 0 };
  dp_json_read_object (document, object, path, vm_fields, G_N_ELEMENTS (vm_fields), &text);
  if (text.address != NULL && !g_hostname_is_ip_address (text.address))
    dp_json_text_add_diagnostic (document, path, "address must be an IP address");
  else if (text.name != NULL && text.address != NULL)
    {
      DpVm row = { .name = dp_name (text.name), .data_centre = dp_name (text.data_centre) };
      g_strlcpy (row.text, text.name, sizeof row.text);
      g_strlcpy (row.address, text.address, sizeof row.address);
      row.state = g_strcmp0 (text.state, "leaving") == 0 ? DP_VM_LEAVING : DP_VM_LIVE;
      g_array_append_val (rows, row);
    }
  vm_json_clear (&text);
}

static void
parse_rows (DpJsonText *document, GArray *rows)
{
  VmListJson list = { 0 };
  dp_json_read_object (document, dp_json_text_root (document), "", list_fields,
                       G_N_ELEMENTS (list_fields), &list);
  gsize length = list.vms != NULL ? json_object_array_length (list.vms) : 0;
  for (guint i = 0; i < length; i++)
    {
      struct json_object *object = json_object_array_get_idx (list.vms, i);
      char *path = dp_json_element_path ("vms", i);
      if (json_object_is_type (object, json_type_object))
        parse_vm (document, object, path, rows);
      else
        dp_json_text_add_diagnostic (document, path, "must be an object");
      g_free (path);
    }
}

GArray *
dp_agent_list_parse (GBytes *value)
{
  gsize length;
  const char *text = g_bytes_get_data (value, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpJsonLimits limits = { .bytes = LIST_BYTES_MAX, .depth = LIST_DEPTH_MAX };
  DpJsonText *document
    = dp_json_text_parse ("vms", text != NULL ? text : "", length, &limits, diagnostics);
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (DpVm));
  if (document != NULL)
    parse_rows (document, rows);
  if (dp_diagnostics_count (diagnostics) > 0)
    g_clear_pointer (&rows, g_array_unref);
  dp_json_text_unref (document);
  dp_diagnostics_unref (diagnostics);
  return rows;
}
