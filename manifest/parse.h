/* Shared by the files of the manifest's parser; private to manifest/. */
#pragma once

#include "manifest/json_text.h"
#include "manifest/manifest.h"

typedef struct DpParser
{
  DpJsonText *document;
  DpManifest *manifest;   /* rows are added even where they have findings */
  GHashTable *names;      /* kind and name -> index + 1 */
  GHashTable *key_hashes; /* SHA-256 of access keys; owned by the manifest */
  GHashTable *addresses;  /* "address port" of targets -> path; both owned */
} DpParser;

/* Reads one element of an array. */
typedef void (*DpParseRow) (DpParser *parser,
                            struct json_object *object,
                            const char *path,
                            guint index);

/* Calls `parse_row` for each element that is an object; others become findings.
 * `array` may be NULL. */
void dp_parse_rows (DpParser *parser,
                    struct json_object *array,
                    const char *path,
                    DpParseRow parse_row);

/* Adds a finding at the member `name` below `path`. */
void dp_parse_add_finding (DpParser *parser,
                           const char *path,
                           const char *name,
                           const char *format,
                           ...) G_GNUC_PRINTF (4, 5);

/* Checks a row's name and makes it known for references; `text` may be NULL. */
DpName dp_parse_name (
  DpParser *parser, DpManifestKind kind, const char *path, const char *text, guint index);

/* Index of the row that the member `name` refers to; 0 with a finding if there is none. `text`
 * may be NULL, which has been reported already. Frees `text`. */
guint dp_parse_reference (
  DpParser *parser, DpManifestKind kind, const char *path, const char *name, char *text);

void
dp_parse_pool (DpParser *parser, struct json_object *object, const char *path, guint index);
void
dp_parse_engine (DpParser *parser, struct json_object *object, const char *path, guint index);
void
dp_parse_service (DpParser *parser, struct json_object *object, const char *path, guint index);
