/* From a manifest's text to checked rows: pools, engines and plain services. */
#include "manifest/parse.h"

#include <stddef.h>
#include <string.h>

#define NAME_LENGTH_MAX 63
#define ADDRESS_LENGTH_MAX 45
#define PATH_LENGTH_MAX 1024
#define WINDOW_MAX 100000
#define SPEED_MAX 100000000
#define KV_TOKENS_MAX 1000000000
#define USEC_PER_HOUR (3600 * DP_USEC_PER_SEC)

static const char *const methods[] = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };

static const DpJsonField pool_fields[] = {
  { "name", DP_JSON_STRING, offsetof (DpPool, text), TRUE, 1, NAME_LENGTH_MAX },
};

/* Members of engines and of instances of services, as they stand in the text. */
typedef struct TargetText
{
  char *name;
  char *pool; /* engines only */
  char *data_centre;
  char *address;
  guint16 port;
  guint window;
  guint prefill_tokens_per_second;
  guint decode_tokens_per_second;
  guint stream_tokens_per_second;
  guint kv_tokens;
  gboolean checks_fence;
  struct json_object *models;
} TargetText;

static const DpJsonField engine_fields[] = {
  { "name", DP_JSON_STRING, offsetof (TargetText, name), TRUE, 1, NAME_LENGTH_MAX },
  { "pool", DP_JSON_STRING, offsetof (TargetText, pool), TRUE, 1, NAME_LENGTH_MAX },
  { "data_centre", DP_JSON_STRING, offsetof (TargetText, data_centre), TRUE, 1,
    NAME_LENGTH_MAX },
  { "address", DP_JSON_STRING, offsetof (TargetText, address), TRUE, 1, ADDRESS_LENGTH_MAX },
  { "port", DP_JSON_UINT16, offsetof (TargetText, port), TRUE, 1, G_MAXUINT16 },
  { "window", DP_JSON_UINT, offsetof (TargetText, window), TRUE, 1, WINDOW_MAX },
  { "prefill_tokens_per_second", DP_JSON_UINT, offsetof (TargetText, prefill_tokens_per_second),
    TRUE, 1, SPEED_MAX },
  { "decode_tokens_per_second", DP_JSON_UINT, offsetof (TargetText, decode_tokens_per_second),
    TRUE, 1, SPEED_MAX },
  { "stream_tokens_per_second", DP_JSON_UINT, offsetof (TargetText, stream_tokens_per_second),
    TRUE, 1, SPEED_MAX },
  { "kv_tokens", DP_JSON_UINT, offsetof (TargetText, kv_tokens), TRUE, 1, KV_TOKENS_MAX },
  { "checks_fence", DP_JSON_BOOLEAN, offsetof (TargetText, checks_fence), TRUE },
  { "models", DP_JSON_ARRAY, offsetof (TargetText, models), TRUE, 1 },
};

static const DpJsonField instance_fields[] = {
  { "name", DP_JSON_STRING, offsetof (TargetText, name), TRUE, 1, NAME_LENGTH_MAX },
  { "data_centre", DP_JSON_STRING, offsetof (TargetText, data_centre), TRUE, 1,
    NAME_LENGTH_MAX },
  { "address", DP_JSON_STRING, offsetof (TargetText, address), TRUE, 1, ADDRESS_LENGTH_MAX },
  { "port", DP_JSON_UINT16, offsetof (TargetText, port), TRUE, 1, G_MAXUINT16 },
  { "window", DP_JSON_UINT, offsetof (TargetText, window), TRUE, 1, WINDOW_MAX },
};

typedef struct ServiceText
{
  char *name;
  guint key_retention_hours;
  struct json_object *calls;
  struct json_object *targets;
} ServiceText;

static const DpJsonField service_fields[] = {
  { "name", DP_JSON_STRING, offsetof (ServiceText, name), TRUE, 1, NAME_LENGTH_MAX },
  { "key_retention_hours", DP_JSON_UINT, offsetof (ServiceText, key_retention_hours), FALSE, 1,
    DP_KEY_RETENTION_HOURS_MAX, 24 },
  { "calls", DP_JSON_ARRAY, offsetof (ServiceText, calls), TRUE, 1 },
  { "targets", DP_JSON_ARRAY, offsetof (ServiceText, targets), TRUE, 1 },
};

static const DpJsonField call_fields[] = {
  { "method", DP_JSON_STRING, offsetof (DpCall, method), TRUE },
  { "path", DP_JSON_STRING, offsetof (DpCall, path), TRUE, 1, PATH_LENGTH_MAX },
  { "repeatable", DP_JSON_BOOLEAN, offsetof (DpCall, repeatable), TRUE },
};

void
dp_parse_pool (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  DpPool pool = { .kind = DP_POOL_ENGINES };
  dp_json_read_object (parser->document, object, path, pool_fields, G_N_ELEMENTS (pool_fields),
                       &pool);
  pool.name
    = dp_parse_name (parser, DP_MANIFEST_POOL, path, pool.text, parser->manifest->pools->len);
  g_array_append_val (parser->manifest->pools, pool);
}

/* Two targets at one address are one target under two names: its window would count twice. */
static void
check_address (DpParser *parser, const char *path, const TargetText *text)
{
  if (text->address == NULL || text->port == 0)
    return;
  if (!g_hostname_is_ip_address (text->address))
    dp_parse_add_finding (parser, path, "address", "must be an IP number");
  char *place = g_strdup_printf ("%s %u", text->address, text->port);
  const char *earlier = g_hash_table_lookup (parser->addresses, place);
  if (earlier != NULL)
    {
      dp_parse_add_finding (parser, path, "address", "address and port are those of %s",
                            earlier);
      g_free (place);
      return;
    }
  g_hash_table_insert (parser->addresses, place, g_strdup (path));
}

/* The members that engines and instances of services share. Takes the strings of `text`. */
static DpTarget
make_target (DpParser *parser, const char *path, TargetText *text)
{
  check_address (parser, path, text);
  DpTarget target = {
    .text = text->name,
    .address = text->address,
    .port = text->port,
    .window = text->window,
  };
  target.name = dp_parse_name (parser, DP_MANIFEST_TARGET, path, text->name,
                               parser->manifest->targets->len);
  target.data_centre = dp_parse_reference (parser, DP_MANIFEST_DATA_CENTRE, path, "data_centre",
                                           text->data_centre);
  target.models = g_array_new (FALSE, FALSE, sizeof (guint));
  return target;
}

static gboolean
lists_model (const GArray *models, guint model)
{
  for (guint i = 0; i < models->len; i++)
    if (g_array_index (models, guint, i) == model)
      return TRUE;
  return FALSE;
}

static void
parse_engine_model (
  DpParser *parser, struct json_object *name, const char *path, guint index, GArray *models)
{
  char *member = g_strdup_printf ("models[%u]", index);
  if (!json_object_is_type (name, json_type_string))
    dp_parse_add_finding (parser, path, member, "must be a string");
  else
    {
      char *text = g_strdup (json_object_get_string (name));
      guint model = dp_parse_reference (parser, DP_MANIFEST_MODEL, path, member, text);
      if (lists_model (models, model))
        dp_parse_add_finding (parser, path, member, "the model is listed already");
      g_array_append_val (models, model);
    }
  g_free (member);
}

static void
parse_engine_models (DpParser *parser,
                     struct json_object *array,
                     const char *path,
                     GArray *models)
{
  gsize length = array != NULL ? json_object_array_length (array) : 0;
  for (guint i = 0; i < length; i++)
    parse_engine_model (parser, json_object_array_get_idx (array, i), path, i, models);
}

static void
check_speeds (DpParser *parser, const char *path, const TargetText *text)
{
  if (text->decode_tokens_per_second > 0
      && text->stream_tokens_per_second > text->decode_tokens_per_second)
    dp_parse_add_finding (parser, path, "stream_tokens_per_second",
                          "must not exceed decode_tokens_per_second");
}

void
dp_parse_engine (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  TargetText text = { 0 };
  dp_json_read_object (parser->document, object, path, engine_fields,
                       G_N_ELEMENTS (engine_fields), &text);
  check_speeds (parser, path, &text);
  DpTarget target = make_target (parser, path, &text);
  target.pool = dp_parse_reference (parser, DP_MANIFEST_POOL, path, "pool", text.pool);
  target.prefill_tokens_per_second = text.prefill_tokens_per_second;
  target.decode_tokens_per_second = text.decode_tokens_per_second;
  target.stream_tokens_per_second = text.stream_tokens_per_second;
  target.kv_tokens = text.kv_tokens;
  target.checks_fence = text.checks_fence;
  parse_engine_models (parser, text.models, path, target.models);
  g_array_append_val (parser->manifest->targets, target);
}

static gboolean
is_known_method (const char *method)
{
  for (guint i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (methods[i], method) == 0)
      return TRUE;
  return FALSE;
}

/* An absolute path without spaces, query or fragment; '*' only at the end. */
static gboolean
is_proper_path (const char *path)
{
  if (path[0] != '/')
    return FALSE;
  for (const char *c = path; *c != '\0'; c++)
    {
      if (!g_ascii_isgraph (*c) || *c == '?' || *c == '#')
        return FALSE;
      if (*c == '*' && c[1] != '\0')
        return FALSE;
    }
  return TRUE;
}

static gboolean
lists_call (const GArray *calls, const DpCall *call)
{
  for (guint i = 0; i < calls->len; i++)
    {
      const DpCall *other = &g_array_index (calls, DpCall, i);
      if (g_strcmp0 (other->method, call->method) == 0
          && g_strcmp0 (other->path, call->path) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Calls belong to the service that was opened last. */
static void
parse_call (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  DpManifest *manifest = parser->manifest;
  DpPool *pool = DP_MANIFEST_ROW (manifest, pools, DpPool, manifest->pools->len - 1);
  DpCall call = { 0 };
  dp_json_read_object (parser->document, object, path, call_fields, G_N_ELEMENTS (call_fields),
                       &call);
  if (call.method != NULL && !is_known_method (call.method))
    dp_parse_add_finding (parser, path, "method",
                          "must be GET, HEAD, POST, PUT, PATCH or DELETE");
  if (call.path != NULL && !is_proper_path (call.path))
    dp_parse_add_finding (parser, path, "path",
                          "must start with '/', be printable, and hold '*' only at its end");
  if (call.method != NULL && call.path != NULL && lists_call (pool->calls, &call))
    dp_json_text_add_finding (parser->document, path, "the call is listed already");
  g_array_append_val (pool->calls, call);
}

/* Instances belong to the service that was opened last. */
static void
parse_instance (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  TargetText text = { 0 };
  dp_json_read_object (parser->document, object, path, instance_fields,
                       G_N_ELEMENTS (instance_fields), &text);
  DpTarget target = make_target (parser, path, &text);
  target.pool = parser->manifest->pools->len - 1;
  g_array_append_val (parser->manifest->targets, target);
}

void
dp_parse_service (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  ServiceText text = { 0 };
  dp_json_read_object (parser->document, object, path, service_fields,
                       G_N_ELEMENTS (service_fields), &text);
  DpPool pool = {
    .text = text.name,
    .kind = DP_POOL_SERVICE,
    .calls = dp_manifest_calls_new (),
    .key_retention = text.key_retention_hours * USEC_PER_HOUR,
  };
  pool.name
    = dp_parse_name (parser, DP_MANIFEST_POOL, path, text.name, parser->manifest->pools->len);
  g_array_append_val (parser->manifest->pools, pool);

  char *calls = dp_json_member_path (path, "calls");
  dp_parse_rows (parser, text.calls, calls, parse_call);
  g_free (calls);
  char *targets = dp_json_member_path (path, "targets");
  dp_parse_rows (parser, text.targets, targets, parse_instance);
  g_free (targets);
}
