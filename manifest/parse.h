/* Internal interface of the manifest parser. */
#pragma once

#include "manifest/json_text.h"
#include "manifest/manifest.h"

typedef struct DpParser
{
  DpJsonText *document;
  DpManifest *manifest;   /* includes rows with diagnostics */
  GHashTable *names;      /* (kind, name) -> index + 1 */
  GHashTable *key_hashes; /* SHA-256 of access keys; strings owned by the manifest */
  GHashTable *addresses;  /* "address port" of a target -> its member path; both owned */
} DpParser;

/* Parses one element of an array. */
typedef void (*DpParseRow) (DpParser *parser,
                            struct json_object *object,
                            const char *path,
                            guint index);

/* Calls `parse_row` for each element that is an object and adds a diagnostic for others.
 * `array` may be NULL. */
void dp_parse_rows (DpParser *parser,
                    struct json_object *array,
                    const char *path,
                    DpParseRow parse_row);

/* Adds a diagnostic for the member `name` below `path`. */
void dp_parse_add_diagnostic (DpParser *parser,
                              const char *path,
                              const char *name,
                              const char *format,
                              ...) G_GNUC_PRINTF (4, 5);

/* Validates and registers the name of a row and returns its hash. `text` may be NULL. */
DpName dp_parse_register_name (
  DpParser *parser, DpManifestKind kind, const char *path, const char *text, guint index);

/* Returns the index of the row named `text`, which the member `name` refers to; if there is
 * none, adds a diagnostic and returns 0. `text` is freed; NULL (already reported) gives 0. */
guint dp_parse_resolve_reference (
  DpParser *parser, DpManifestKind kind, const char *path, const char *name, char *text);

void
dp_parse_pool (DpParser *parser, struct json_object *object, const char *path, guint index);
void
dp_parse_engine (DpParser *parser, struct json_object *object, const char *path, guint index);
void
dp_parse_service (DpParser *parser, struct json_object *object, const char *path, guint index);
