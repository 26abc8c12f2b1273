#include "agent/orders_text.h"

#include <json-c/json.h>
#include <string.h>

#define JSON_DEPTH_MAX 4
/* Names are never removed. Few become obsolete, as engines only report models that they have
 * loaded. */
#define NAMES_MAX 1024

static struct json_object *
parse_object (const char *text, gsize length)
{
  if (length > G_MAXINT)
    return NULL;
  struct json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  struct json_object *object = json_tokener_parse_ex (tokener, text, (int)length);
  gboolean ok = json_tokener_get_error (tokener) == json_tokener_success
                && json_object_is_type (object, json_type_object);
  json_tokener_free (tokener);
  if (ok)
    return object;
  json_object_put (object);
  return NULL;
}

/* 64-bit values are written as hexadecimal strings, as JSON numbers may lose precision. */
static void
add_hex (struct json_object *object, const char *member, guint64 value)
{
  char text[17];
  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", value);
  json_object_object_add (object, member, json_object_new_string (text));
}

static gboolean
read_hex (struct json_object *object, const char *member, guint64 *value)
{
  struct json_object *found;
  if (!json_object_object_get_ex (object, member, &found)
      || !json_object_is_type (found, json_type_string))
    return FALSE;
  return g_ascii_string_to_unsigned (json_object_get_string (found), 16, 0, G_MAXUINT64, value,
                                     NULL);
}

char *
dp_lease_format (const DpLease *lease)
{
  struct json_object *object = json_object_new_object ();
  add_hex (object, "holder", lease->holder);
  add_hex (object, "incarnation", lease->incarnation);
  char *text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

gboolean
dp_lease_parse (const char *text, gsize length, DpLease *lease)
{
  struct json_object *object = parse_object (text, length);
  if (object == NULL)
    return FALSE;
  gboolean ok = read_hex (object, "holder", &lease->holder)
                && read_hex (object, "incarnation", &lease->incarnation);
  json_object_put (object);
  return ok;
}

char *
dp_order_format (const DpOrder *order, GHashTable *names)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "fence", json_object_new_uint64 (order->fence));
  struct json_object *models = json_object_new_array ();
  for (guint i = 0; i < order->model_count; i++)
    {
      const char *text = g_hash_table_lookup (names, &order->models[i]);
      if (text != NULL)
        json_object_array_add (models, json_object_new_string (text));
    }
  json_object_object_add (object, "models", models);
  json_object_object_add (object, "role", json_object_new_string ("mixed"));
  char *text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

GHashTable *
dp_model_names_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
dp_model_names_add (GHashTable *names, const char *text)
{
  DpName name = dp_name (text);
  if (g_hash_table_contains (names, &name) || g_hash_table_size (names) >= NAMES_MAX)
    return;
  DpName *key = g_new (DpName, 1);
  *key = name;
  g_hash_table_insert (names, key, g_strdup (text));
}

static gboolean
read_models (struct json_object *models, DpEngineState *state, GHashTable *names)
{
  if (!json_object_is_type (models, json_type_array))
    return FALSE;
  gsize count = MIN (json_object_array_length (models), DP_ORDER_MODELS_MAX);
  for (gsize i = 0; i < count; i++)
    {
      struct json_object *model = json_object_array_get_idx (models, i);
      if (!json_object_is_type (model, json_type_string))
        return FALSE;
      const char *text = json_object_get_string (model);
      dp_model_names_add (names, text);
      state->models[state->model_count] = dp_name (text);
      state->model_count++;
    }
  return TRUE;
}

gboolean
dp_engine_state_parse (const char *text, gsize length, DpEngineState *state, GHashTable *names)
{
  struct json_object *object = parse_object (text, length);
  if (object == NULL)
    return FALSE;
  state->model_count = 0;
  state->is_loading = FALSE;
  gboolean ok = TRUE;
  struct json_object *member;
  if (json_object_object_get_ex (object, "models", &member))
    ok = read_models (member, state, names);
  if (json_object_object_get_ex (object, "loading", &member))
    state->is_loading
      = json_object_is_type (member, json_type_array) && json_object_array_length (member) > 0;
  json_object_put (object);
  return ok;
}
