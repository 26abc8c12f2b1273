/* Parses the pools, engines and plain services of a manifest. */
#include "manifest/parse.h"

#include <stddef.h>
#include <string.h>

#define NAME_LENGTH_MAX 63
#define ADDRESS_LENGTH_MAX 45
#define PATH_LENGTH_MAX 1024
#define WINDOW_MAX 100000
#define TOKENS_PER_SECOND_MAX 100000000
#define KV_TOKENS_MAX 1000000000
#define USEC_PER_HOUR (3600 * DP_USEC_PER_SEC)

static const char *const supported_methods[]
  = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };

static const DpJsonField pool_fields[] = {
  { "name", DP_JSON_STRING, offsetof (DpPool, text), TRUE, 1, NAME_LENGTH_MAX },
};

/* JSON members of engines and of service instances. */
typedef struct TargetMembers
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
} TargetMembers;

static const DpJsonField engine_fields[] = {
  { "name", DP_JSON_STRING, offsetof (TargetMembers, name), TRUE, 1, NAME_LENGTH_MAX },
  { "pool", DP_JSON_STRING, offsetof (TargetMembers, pool), TRUE, 1, NAME_LENGTH_MAX },
  { "data_centre", DP_JSON_STRING, offsetof (TargetMembers, data_centre), TRUE, 1,
    NAME_LENGTH_MAX },
  { "address", DP_JSON_STRING, offsetof (TargetMembers, address), TRUE, 1, ADDRESS_LENGTH_MAX },
  { "port", DP_JSON_UINT16, offsetof (TargetMembers, port), TRUE, 1, G_MAXUINT16 },
  { "window", DP_JSON_UINT, offsetof (TargetMembers, window), TRUE, 1, WINDOW_MAX },
  { "prefill_tokens_per_second", DP_JSON_UINT,
    offsetof (TargetMembers, prefill_tokens_per_second), TRUE, 1, TOKENS_PER_SECOND_MAX },
  { "decode_tokens_per_second", DP_JSON_UINT,
    offsetof (TargetMembers, decode_tokens_per_second), TRUE, 1, TOKENS_PER_SECOND_MAX },
  { "stream_tokens_per_second", DP_JSON_UINT,
    offsetof (TargetMembers, stream_tokens_per_second), TRUE, 1, TOKENS_PER_SECOND_MAX },
  { "kv_tokens", DP_JSON_UINT, offsetof (TargetMembers, kv_tokens), TRUE, 1, KV_TOKENS_MAX },
  { "checks_fence", DP_JSON_BOOLEAN, offsetof (TargetMembers, checks_fence), TRUE },
  { "models", DP_JSON_ARRAY, offsetof (TargetMembers, models), TRUE, 1 },
};

static const DpJsonField instance_fields[] = {
  { "name", DP_JSON_STRING, offsetof (TargetMembers, name), TRUE, 1, NAME_LENGTH_MAX },
  { "data_centre", DP_JSON_STRING, offsetof (TargetMembers, data_centre), TRUE, 1,
    NAME_LENGTH_MAX },
  { "address", DP_JSON_STRING, offsetof (TargetMembers, address), TRUE, 1, ADDRESS_LENGTH_MAX },
  { "port", DP_JSON_UINT16, offsetof (TargetMembers, port), TRUE, 1, G_MAXUINT16 },
  { "window", DP_JSON_UINT, offsetof (TargetMembers, window), TRUE, 1, WINDOW_MAX },
};

typedef struct ServiceMembers
{
  char *name;
  guint key_retention_hours;
  struct json_object *calls;
  struct json_object *targets;
} ServiceMembers;

static const DpJsonField service_fields[] = {
  { "name", DP_JSON_STRING, offsetof (ServiceMembers, name), TRUE, 1, NAME_LENGTH_MAX },
  { "key_retention_hours", DP_JSON_UINT, offsetof (ServiceMembers, key_retention_hours), FALSE,
    1, DP_KEY_RETENTION_HOURS_MAX, 24 },
  { "calls", DP_JSON_ARRAY, offsetof (ServiceMembers, calls), TRUE, 1 },
  { "targets", DP_JSON_ARRAY, offsetof (ServiceMembers, targets), TRUE, 1 },
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
  pool.name = dp_parse_register_name (parser, DP_MANIFEST_POOL, path, pool.text,
                                      parser->manifest->pools->len);
  g_array_append_val (parser->manifest->pools, pool);
}

/* Rejects duplicate addresses: one target listed under two names would have its window counted
 * twice. */
static void
check_address (DpParser *parser, const char *path, const TargetMembers *members)
{
  if (members->address == NULL || members->port == 0)
    return;
  if (!g_hostname_is_ip_address (members->address))
    dp_parse_add_diagnostic (parser, path, "address", "must be an IP address");
  char *endpoint = g_strdup_printf ("%s %u", members->address, members->port);
  const char *earlier = g_hash_table_lookup (parser->addresses, endpoint);
  if (earlier != NULL)
    {
      dp_parse_add_diagnostic (parser, path, "address",
                               "address and port are already used by %s", earlier);
      g_free (endpoint);
      return;
    }
  g_hash_table_insert (parser->addresses, endpoint, g_strdup (path));
}

/* Converts the members shared by engines and service instances. Takes ownership of the strings
 * in `members`. */
static DpTarget
make_target (DpParser *parser, const char *path, TargetMembers *members)
{
  check_address (parser, path, members);
  DpTarget target = {
    .text = members->name,
    .address = members->address,
    .port = members->port,
    .window = members->window,
  };
  target.name = dp_parse_register_name (parser, DP_MANIFEST_TARGET, path, members->name,
                                        parser->manifest->targets->len);
  target.data_centre = dp_parse_resolve_reference (parser, DP_MANIFEST_DATA_CENTRE, path,
                                                   "data_centre", members->data_centre);
  target.models = g_array_new (FALSE, FALSE, sizeof (guint));
  return target;
}

static gboolean
contains_model (const GArray *models, guint model)
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
    dp_parse_add_diagnostic (parser, path, member, "must be a string");
  else
    {
      char *text = g_strdup (json_object_get_string (name));
      guint model = dp_parse_resolve_reference (parser, DP_MANIFEST_MODEL, path, member, text);
      if (contains_model (models, model))
        dp_parse_add_diagnostic (parser, path, member, "duplicate model");
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
check_token_rates (DpParser *parser, const char *path, const TargetMembers *members)
{
  if (members->decode_tokens_per_second > 0
      && members->stream_tokens_per_second > members->decode_tokens_per_second)
    dp_parse_add_diagnostic (parser, path, "stream_tokens_per_second",
                             "must not exceed decode_tokens_per_second");
}

void
dp_parse_engine (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  TargetMembers members = { 0 };
  dp_json_read_object (parser->document, object, path, engine_fields,
                       G_N_ELEMENTS (engine_fields), &members);
  check_token_rates (parser, path, &members);
  DpTarget target = make_target (parser, path, &members);
  target.pool
    = dp_parse_resolve_reference (parser, DP_MANIFEST_POOL, path, "pool", members.pool);
  target.prefill_tokens_per_second = members.prefill_tokens_per_second;
  target.decode_tokens_per_second = members.decode_tokens_per_second;
  target.stream_tokens_per_second = members.stream_tokens_per_second;
  target.kv_tokens = members.kv_tokens;
  target.checks_fence = members.checks_fence;
  parse_engine_models (parser, members.models, path, target.models);
  g_array_append_val (parser->manifest->targets, target);
}

static gboolean
is_supported_method (const char *method)
{
  for (guint i = 0; i < G_N_ELEMENTS (supported_methods); i++)
    if (strcmp (supported_methods[i], method) == 0)
      return TRUE;
  return FALSE;
}

/* TRUE for an absolute path without spaces, query or fragment, with '*' only at the end. */
static gboolean
is_valid_path (const char *path)
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
contains_call (const GArray *calls, const DpCall *call)
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

/* Adds the call to the service that is being parsed, the last pool. */
static void
parse_call (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  DpManifest *manifest = parser->manifest;
  DpPool *pool = DP_MANIFEST_ROW (manifest, pools, DpPool, manifest->pools->len - 1);
  DpCall call = { 0 };
  dp_json_read_object (parser->document, object, path, call_fields, G_N_ELEMENTS (call_fields),
                       &call);
  if (call.method != NULL && !is_supported_method (call.method))
    dp_parse_add_diagnostic (parser, path, "method",
                             "must be GET, HEAD, POST, PUT, PATCH or DELETE");
  if (call.path != NULL && !is_valid_path (call.path))
    dp_parse_add_diagnostic (
      parser, path, "path",
      "must start with '/', be printable, contain no '?' or '#', and '*' only at the end");
  if (call.method != NULL && call.path != NULL && contains_call (pool->calls, &call))
    dp_json_text_add_diagnostic (parser->document, path, "duplicate call");
  g_array_append_val (pool->calls, call);
}

/* Adds the instance to the service that is being parsed, the last pool. */
static void
parse_instance (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  TargetMembers members = { 0 };
  dp_json_read_object (parser->document, object, path, instance_fields,
                       G_N_ELEMENTS (instance_fields), &members);
  DpTarget target = make_target (parser, path, &members);
  target.pool = parser->manifest->pools->len - 1;
  g_array_append_val (parser->manifest->targets, target);
}

void
dp_parse_service (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  ServiceMembers members = { 0 };
  dp_json_read_object (parser->document, object, path, service_fields,
                       G_N_ELEMENTS (service_fields), &members);
  DpPool pool = {
    .text = members.name,
    .kind = DP_POOL_SERVICE,
    .calls = dp_manifest_calls_new (),
    .key_retention = members.key_retention_hours * USEC_PER_HOUR,
  };
  pool.name = dp_parse_register_name (parser, DP_MANIFEST_POOL, path, members.name,
                                      parser->manifest->pools->len);
  g_array_append_val (parser->manifest->pools, pool);

  char *calls = dp_json_member_path (path, "calls");
  dp_parse_rows (parser, members.calls, calls, parse_call);
  g_free (calls);
  char *targets = dp_json_member_path (path, "targets");
  dp_parse_rows (parser, members.targets, targets, parse_instance);
  g_free (targets);
}
