/* Strict parser for JSON with comments, which reports problems with their line.
 *
 * Comments (// and slash-star) are replaced by spaces, so that offsets and lines stay the same.
 * The rest must be one JSON value without trailing text, duplicate keys, NaN or control
 * characters in strings. Objects are read into C structs as described by field tables; every
 * deviation adds a diagnostic.
 */
#pragma once

#include "common/diagnostics.h"

#include <glib.h>
#include <json-c/json.h>

typedef struct DpJsonText DpJsonText;

typedef struct DpJsonLimits
{
  gsize bytes; /* size of the whole text */
  guint depth; /* nesting of objects and arrays */
} DpJsonLimits;

/* Parses a text whose root must be an object. Returns NULL and adds at least one diagnostic if
 * json-c can't parse it. Further deviations from strict JSON, such as duplicate keys, only add
 * a diagnostic each. */
DpJsonText *dp_json_text_parse (const char *file,
                                const char *text,
                                gsize length,
                                const DpJsonLimits *limits,
                                DpDiagnostics *diagnostics);

DpJsonText *dp_json_text_ref (DpJsonText *document);
void dp_json_text_unref (DpJsonText *document);

/* Returns the root object, which the document owns. */
struct json_object *dp_json_text_root (const DpJsonText *document);

/* Adds a diagnostic for the member at `path`, such as "engines[3].window"; "" is the root. A
 * missing member gets the line of its innermost existing ancestor. */
void
dp_json_text_add_diagnostic (DpJsonText *document, const char *path, const char *format, ...)
  G_GNUC_PRINTF (3, 4);

/* --- reading objects into structs --- */

typedef enum DpJsonFieldType
{
  DP_JSON_STRING,  /* char *, owned by the struct */
  DP_JSON_UINT,    /* guint */
  DP_JSON_UINT16,  /* guint16 */
  DP_JSON_UINT64,  /* guint64 */
  DP_JSON_BOOLEAN, /* gboolean */
  DP_JSON_ARRAY,   /* struct json_object *, owned by the document */
  DP_JSON_OBJECT,  /* struct json_object *, owned by the document */
} DpJsonFieldType;

/* Describes a member of a JSON object and where it is stored in a struct. */
typedef struct DpJsonField
{
  const char *name;
  DpJsonFieldType type;
  gsize offset; /* in the struct, bytes */
  gboolean required;
  /* Range of the integer, or of the length of other types. Maximum 0: unlimited. */
  gint64 minimum;
  gint64 maximum;
  /* Stored if the member is missing or invalid. */
  gint64 default_number;
  const char *default_string;
} DpJsonField;

/* Reads the members of `object` into `row`, which must be zeroed. Adds a diagnostic for each
 * unknown or missing required member, wrong type and value out of range. Missing and invalid
 * members get their default. */
void dp_json_read_object (DpJsonText *document,
                          struct json_object *object,
                          const char *path,
                          const DpJsonField *fields,
                          guint field_count,
                          gpointer row);

/* Return the path of a member or element below `path`. Free with g_free(). */
char *dp_json_member_path (const char *path, const char *name);
char *dp_json_element_path (const char *path, guint index);
