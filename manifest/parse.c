/* Parses a manifest: the top level, tiers, data centres, workspaces, access keys and models. */
#include "manifest/parse.h"

#include <stddef.h>
#include <string.h>

#define NAME_LENGTH_MAX 63
#define SHA256_DIGITS 64
#define TIMEOUT_MS_MAX ((gint64)60 * 60 * 1000)
#define WEIGHT_MAX 1000
#define RATE_MAX 1000000
#define OUTPUT_TOKENS_MAX 1000000
/* Larger integers lose precision in tools that store numbers as doubles. */
#define REVISION_MAX ((gint64)1 << 53)

/* Must never change: every release must compute the same digest. */
#define DIGEST_SEED 0

typedef struct Sections
{
  guint64 revision;
  struct json_object *tiers;
  struct json_object *data_centres;
  struct json_object *workspaces;
  struct json_object *keys;
  struct json_object *models;
  struct json_object *pools;
  struct json_object *engines;
  struct json_object *services;
} Sections;

static const DpJsonField section_fields[] = {
  { "revision", DP_JSON_UINT64, offsetof (Sections, revision), TRUE, 1, REVISION_MAX },
  { "tiers", DP_JSON_ARRAY, offsetof (Sections, tiers), TRUE, 1, DP_TIERS_MAX },
  { "data_centres", DP_JSON_ARRAY, offsetof (Sections, data_centres), TRUE, 1 },
  { "workspaces", DP_JSON_ARRAY, offsetof (Sections, workspaces), TRUE, 1 },
  { "keys", DP_JSON_ARRAY, offsetof (Sections, keys), TRUE },
  { "models", DP_JSON_ARRAY, offsetof (Sections, models), FALSE },
  { "pools", DP_JSON_ARRAY, offsetof (Sections, pools), FALSE },
  { "engines", DP_JSON_ARRAY, offsetof (Sections, engines), FALSE },
  { "services", DP_JSON_ARRAY, offsetof (Sections, services), FALSE },
};

typedef struct TierMembers
{
  char *name;
  guint timeout_ms;
} TierMembers;

static const DpJsonField tier_fields[] = {
  { "name", DP_JSON_STRING, offsetof (TierMembers, name), TRUE, 1, NAME_LENGTH_MAX },
  { "timeout_ms", DP_JSON_UINT, offsetof (TierMembers, timeout_ms), TRUE, 1, TIMEOUT_MS_MAX },
};

static const DpJsonField data_centre_fields[] = {
  { "name", DP_JSON_STRING, offsetof (DpDataCentre, text), TRUE, 1, NAME_LENGTH_MAX },
  { "region", DP_JSON_STRING, offsetof (DpDataCentre, region), TRUE, 1, NAME_LENGTH_MAX },
};

static const DpJsonField workspace_fields[] = {
  { "name", DP_JSON_STRING, offsetof (DpWorkspace, text), TRUE, 1, NAME_LENGTH_MAX },
  { "weight", DP_JSON_UINT, offsetof (DpWorkspace, weight), FALSE, 1, WEIGHT_MAX, 1 },
  { "requests_per_second", DP_JSON_UINT, offsetof (DpWorkspace, requests_per_second), FALSE, 0,
    RATE_MAX, 0 },
  { "requests_in_flight", DP_JSON_UINT, offsetof (DpWorkspace, requests_in_flight), FALSE, 0,
    RATE_MAX, 0 },
  { "retry_percent", DP_JSON_UINT, offsetof (DpWorkspace, retry_percent), FALSE, 0, 100, 10 },
};

typedef struct KeyMembers
{
  char *sha256;
  char *workspace;
  char *tier;
} KeyMembers;

static const DpJsonField key_fields[] = {
  { "sha256", DP_JSON_STRING, offsetof (KeyMembers, sha256), TRUE, SHA256_DIGITS,
    SHA256_DIGITS },
  { "workspace", DP_JSON_STRING, offsetof (KeyMembers, workspace), TRUE, 1, NAME_LENGTH_MAX },
  { "tier", DP_JSON_STRING, offsetof (KeyMembers, tier), TRUE, 1, NAME_LENGTH_MAX },
};

static const DpJsonField model_fields[] = {
  { "name", DP_JSON_STRING, offsetof (DpModel, text), TRUE, 1, NAME_LENGTH_MAX },
  { "output_tokens", DP_JSON_UINT, offsetof (DpModel, output_tokens), FALSE, 1,
    OUTPUT_TOKENS_MAX, 256 },
};

void
dp_parse_add_diagnostic (
  DpParser *parser, const char *path, const char *name, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *message = g_strdup_vprintf (format, args);
  va_end (args);
  char *member = dp_json_member_path (path, name);
  dp_json_text_add_diagnostic (parser->document, member, "%s", message);
  g_free (member);
  g_free (message);
}

void
dp_parse_rows (DpParser *parser,
               struct json_object *array,
               const char *path,
               DpParseRow parse_row)
{
  gsize length = array != NULL ? json_object_array_length (array) : 0;
  for (guint i = 0; i < length; i++)
    {
      struct json_object *element = json_object_array_get_idx (array, i);
      char *element_path = dp_json_element_path (path, i);
      if (json_object_is_type (element, json_type_object))
        parse_row (parser, element, element_path, i);
      else
        dp_json_text_add_diagnostic (parser->document, element_path, "must be an object");
      g_free (element_path);
    }
}

/* Names appear in URLs, log lines and metrics. Names of models often contain '/' and ':'. */
static gboolean
is_valid_name (DpManifestKind kind, const char *text)
{
  const char *punctuation = kind == DP_MANIFEST_MODEL ? "-_./:" : "-_.";
  if (!g_ascii_isalnum (text[0]))
    return FALSE;
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr (punctuation, *c) == NULL)
      return FALSE;
  return TRUE;
}

static guint64 *
name_key (DpManifestKind kind, DpName name)
{
  guint64 *key = g_new (guint64, 1);
  *key = dp_name_pair ((DpName)kind, name);
  return key;
}

DpName
dp_parse_register_name (
  DpParser *parser, DpManifestKind kind, const char *path, const char *text, guint index)
{
  if (text == NULL)
    return 0;
  if (!is_valid_name (kind, text))
    dp_parse_add_diagnostic (
      parser, path, "name",
      "must start with a letter or digit and contain only letters, digits, "
      "'-', '_' and '.' (models: also '/' and ':')");
  DpName name = dp_name (text);
  if (!g_hash_table_insert (parser->names, name_key (kind, name), GUINT_TO_POINTER (index + 1)))
    dp_parse_add_diagnostic (parser, path, "name", "duplicate name");
  return name;
}

guint
dp_parse_resolve_reference (
  DpParser *parser, DpManifestKind kind, const char *path, const char *name, char *text)
{
  if (text == NULL)
    return 0;
  guint64 *key = name_key (kind, dp_name (text));
  gpointer found = g_hash_table_lookup (parser->names, key);
  g_free (key);
  if (found == NULL)
    {
      char *escaped = g_strescape (text, NULL);
      dp_parse_add_diagnostic (parser, path, name, "refers to \"%s\", which does not exist",
                               escaped);
      g_free (escaped);
    }
  g_free (text);
  return found != NULL ? GPOINTER_TO_UINT (found) - 1 : 0;
}

static void
parse_tier (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  TierMembers members = { 0 };
  dp_json_read_object (parser->document, object, path, tier_fields, G_N_ELEMENTS (tier_fields),
                       &members);
  DpTier tier = { .text = members.name, .timeout = members.timeout_ms * DP_USEC_PER_MSEC };
  tier.name = dp_parse_register_name (parser, DP_MANIFEST_TIER, path, members.name,
                                      parser->manifest->tiers->len);
  g_array_append_val (parser->manifest->tiers, tier);
}

static void
parse_data_centre (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  DpDataCentre centre = { 0 };
  dp_json_read_object (parser->document, object, path, data_centre_fields,
                       G_N_ELEMENTS (data_centre_fields), &centre);
  centre.name = dp_parse_register_name (parser, DP_MANIFEST_DATA_CENTRE, path, centre.text,
                                        parser->manifest->data_centres->len);
  g_array_append_val (parser->manifest->data_centres, centre);
}

static void
parse_workspace (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  DpWorkspace workspace = { 0 };
  dp_json_read_object (parser->document, object, path, workspace_fields,
                       G_N_ELEMENTS (workspace_fields), &workspace);
  workspace.name = dp_parse_register_name (parser, DP_MANIFEST_WORKSPACE, path, workspace.text,
                                           parser->manifest->workspaces->len);
  g_array_append_val (parser->manifest->workspaces, workspace);
}

static gboolean
is_lowercase_hexadecimal (const char *text)
{
  return text[strspn (text, "0123456789abcdef")] == '\0';
}

static void
parse_key (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  KeyMembers members = { 0 };
  dp_json_read_object (parser->document, object, path, key_fields, G_N_ELEMENTS (key_fields),
                       &members);
  DpAccessKey key = { .sha256 = members.sha256 };
  if (key.sha256 != NULL && !is_lowercase_hexadecimal (key.sha256))
    dp_parse_add_diagnostic (parser, path, "sha256", "must be lowercase hexadecimal digits");
  if (key.sha256 != NULL && !g_hash_table_add (parser->key_hashes, key.sha256))
    dp_parse_add_diagnostic (parser, path, "sha256", "duplicate access key");
  key.workspace = dp_parse_resolve_reference (parser, DP_MANIFEST_WORKSPACE, path, "workspace",
                                              members.workspace);
  key.tier = dp_parse_resolve_reference (parser, DP_MANIFEST_TIER, path, "tier", members.tier);
  g_array_append_val (parser->manifest->keys, key);
}

static void
parse_model (DpParser *parser, struct json_object *object, const char *path, guint index)
{
  DpModel model = { 0 };
  dp_json_read_object (parser->document, object, path, model_fields,
                       G_N_ELEMENTS (model_fields), &model);
  model.name = dp_parse_register_name (parser, DP_MANIFEST_MODEL, path, model.text,
                                       parser->manifest->models->len);
  g_array_append_val (parser->manifest->models, model);
}

/* Parses referenced rows before the rows that refer to them. */
static void
parse_sections (DpParser *parser)
{
  Sections sections = { 0 };
  dp_json_read_object (parser->document, dp_json_text_root (parser->document), "",
                       section_fields, G_N_ELEMENTS (section_fields), &sections);
  parser->manifest->revision = sections.revision;
  dp_parse_rows (parser, sections.tiers, "tiers", parse_tier);
  dp_parse_rows (parser, sections.data_centres, "data_centres", parse_data_centre);
  dp_parse_rows (parser, sections.workspaces, "workspaces", parse_workspace);
  dp_parse_rows (parser, sections.keys, "keys", parse_key);
  dp_parse_rows (parser, sections.models, "models", parse_model);
  dp_parse_rows (parser, sections.pools, "pools", dp_parse_pool);
  dp_parse_rows (parser, sections.engines, "engines", dp_parse_engine);
  dp_parse_rows (parser, sections.services, "services", dp_parse_service);
}

static void
parse_document (DpParser *parser)
{
  parser->names = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  parser->key_hashes = g_hash_table_new (g_str_hash, g_str_equal);
  parser->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  parse_sections (parser);
  g_hash_table_unref (parser->names);
  g_hash_table_unref (parser->key_hashes);
  g_hash_table_unref (parser->addresses);
}

guint64
dp_manifest_digest (const char *text, gsize length)
{
  return dp_hash_bytes (text, length, DIGEST_SEED);
}

DpManifest *
dp_manifest_parse (const char *file, const char *text, gsize length, DpDiagnostics *diagnostics)
{
  guint diagnostics_before = dp_diagnostics_count (diagnostics);
  DpJsonLimits limits = { .bytes = DP_MANIFEST_BYTES_MAX, .depth = DP_MANIFEST_DEPTH_MAX };
  DpJsonText *document = dp_json_text_parse (file, text, length, &limits, diagnostics);
  if (document == NULL)
    return NULL;

  DpParser parser = { .document = document, .manifest = dp_manifest_new () };
  parse_document (&parser);
  dp_json_text_unref (document);
  if (dp_diagnostics_count (diagnostics) > diagnostics_before)
    {
      dp_manifest_unref (parser.manifest);
      return NULL;
    }
  parser.manifest->digest = dp_manifest_digest (text, length);
  dp_manifest_finish (parser.manifest);
  return parser.manifest;
}
