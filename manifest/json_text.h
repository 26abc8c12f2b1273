/* JSON with comments, read strictly, with the line of every member.
 *
 * Comments (// and slash-star) are blanked out first, so that offsets and lines hold; the rest
 * must be one JSON value without trailing text, repeated keys, NaN or control characters.
 * Objects are read into C structs by tables of fields; every deviation becomes a finding.
 */
#pragma once

#include "common/findings.h"

#include <glib.h>
#include <json-c/json.h>

typedef struct DpJsonText DpJsonText;

typedef struct DpJsonLimits
{
  gsize bytes; /* of the whole text */
  guint depth; /* nested objects and arrays */
} DpJsonLimits;

/* Parses the text, whose root must be an object. Returns NULL and at least one finding if it
 * isn't proper JSON. A text with repeated keys is returned, with a finding for each. */
DpJsonText *dp_json_text_parse (const char *file,
                                const char *text,
                                gsize length,
                                const DpJsonLimits *limits,
                                DpFindings *findings);

DpJsonText *dp_json_text_ref (DpJsonText *document);
void dp_json_text_unref (DpJsonText *document);

/* The root object; owned by the document. */
struct json_object *dp_json_text_root (const DpJsonText *document);

/* Adds a finding at the member of that path, such as "engines[3].window"; "" is the root. A
 * member that is missing gets the line of the innermost member around it. */
void dp_json_text_add_finding (DpJsonText *document, const char *path, const char *format, ...)
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

/* One member of an object and its place in the struct. */
typedef struct DpJsonField
{
  const char *name;
  DpJsonFieldType type;
  gsize offset; /* in the struct */
  gboolean required;
  /* integers: range; strings and arrays: range of the length. A maximum of 0 means none. */
  gint64 minimum;
  gint64 maximum;
  /* when the member is missing */
  gint64 default_number;
  const char *default_string;
} DpJsonField;

/* Reads the members of `object` into `row`. Unknown and missing members, wrong types and
 * values out of range become findings. Fields with findings keep their defaults. */
void dp_json_read_object (DpJsonText *document,
                          struct json_object *object,
                          const char *path,
                          const DpJsonField *fields,
                          guint field_count,
                          gpointer row);

/* Path of a member or element below `path`. Free with g_free(). */
char *dp_json_member_path (const char *path, const char *name);
char *dp_json_element_path (const char *path, guint index);
