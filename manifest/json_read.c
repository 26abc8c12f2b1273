/* Reads JSON objects into structs as described by field tables. */
#include "manifest/json_text.h"

#include <string.h>

static const char *
type_description (DpJsonFieldType type)
{
  switch (type)
    {
    case DP_JSON_STRING:
      return "a string";
    case DP_JSON_UINT:
    case DP_JSON_UINT16:
    case DP_JSON_UINT64:
      return "an integer";
    case DP_JSON_BOOLEAN:
      return "true or false";
    case DP_JSON_ARRAY:
      return "an array";
    case DP_JSON_OBJECT:
      return "an object";
    }
  return "another type";
}

static gboolean
has_type (struct json_object *value, DpJsonFieldType type)
{
  switch (type)
    {
    case DP_JSON_STRING:
      return json_object_is_type (value, json_type_string);
    case DP_JSON_UINT:
    case DP_JSON_UINT16:
    case DP_JSON_UINT64:
      return json_object_is_type (value, json_type_int);
    case DP_JSON_BOOLEAN:
      return json_object_is_type (value, json_type_boolean);
    case DP_JSON_ARRAY:
      return json_object_is_type (value, json_type_array);
    case DP_JSON_OBJECT:
      return json_object_is_type (value, json_type_object);
    }
  return FALSE;
}

static void
store_number (const DpJsonField *field, gpointer row, gint64 number)
{
  gpointer dest = (char *)row + field->offset;
  switch (field->type)
    {
    case DP_JSON_UINT:
      *(guint *)dest = (guint)number;
      break;
    case DP_JSON_UINT16:
      *(guint16 *)dest = (guint16)number;
      break;
    case DP_JSON_UINT64:
      *(guint64 *)dest = (guint64)number;
      break;
    case DP_JSON_BOOLEAN:
      *(gboolean *)dest = number != 0;
      break;
    default:
      break;
    }
}

static void
store_default (const DpJsonField *field, gpointer row)
{
  if (field->type == DP_JSON_STRING)
    *(char **)((char *)row + field->offset) = g_strdup (field->default_string);
  else
    store_number (field, row, field->default_number);
}

static gboolean
check_range (DpJsonText *document, const DpJsonField *field, const char *path, gint64 number)
{
  gint64 maximum = field->maximum != 0 ? field->maximum : G_MAXINT64 - 1;
  if (number >= field->minimum && number <= maximum)
    return TRUE;
  const char *subject = "";
  if (field->type == DP_JSON_STRING)
    subject = "the length ";
  else if (field->type == DP_JSON_ARRAY)
    subject = "the number of elements ";
  if (field->maximum != 0)
    dp_json_text_add_diagnostic (document, path,
                                 "%smust be from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                                 subject, field->minimum, field->maximum);
  else
    dp_json_text_add_diagnostic (document, path, "%smust be at least %" G_GINT64_FORMAT,
                                 subject, field->minimum);
  return FALSE;
}

/* The value that check_range() checks: the number, or the length of a string or container. */
static gint64
value_or_length (const DpJsonField *field, struct json_object *value)
{
  switch (field->type)
    {
    case DP_JSON_STRING:
      return json_object_get_string_len (value);
    case DP_JSON_ARRAY:
      return (gint64)json_object_array_length (value);
    case DP_JSON_OBJECT:
      return json_object_object_length (value);
    default:
      return json_object_get_int64 (value);
    }
}

static void
store_value (const DpJsonField *field, struct json_object *value, gpointer row)
{
  gpointer dest = (char *)row + field->offset;
  switch (field->type)
    {
    case DP_JSON_STRING:
      g_free (*(char **)dest);
      *(char **)dest = g_strdup (json_object_get_string (value));
      break;
    case DP_JSON_ARRAY:
    case DP_JSON_OBJECT:
      *(struct json_object **)dest = value;
      break;
    case DP_JSON_BOOLEAN:
      store_number (field, row, json_object_get_boolean (value));
      break;
    default:
      store_number (field, row, json_object_get_int64 (value));
      break;
    }
}

static void
read_field (DpJsonText *document,
            struct json_object *object,
            const char *path,
            const DpJsonField *field,
            gpointer row)
{
  store_default (field, row);
  struct json_object *value;
  char *member = dp_json_member_path (path, field->name);
  if (!json_object_object_get_ex (object, field->name, &value))
    {
      if (field->required)
        dp_json_text_add_diagnostic (document, member, "is missing");
    }
  else if (!has_type (value, field->type))
    dp_json_text_add_diagnostic (document, member, "must be %s",
                                 type_description (field->type));
  else if (field->type == DP_JSON_BOOLEAN
           || check_range (document, field, member, value_or_length (field, value)))
    store_value (field, value, row);
  g_free (member);
}

static gboolean
is_known (const DpJsonField *fields, guint field_count, const char *name)
{
  for (guint i = 0; i < field_count; i++)
    if (strcmp (fields[i].name, name) == 0)
      return TRUE;
  return FALSE;
}

void
dp_json_read_object (DpJsonText *document,
                     struct json_object *object,
                     const char *path,
                     const DpJsonField *fields,
                     guint field_count,
                     gpointer row)
{
  for (guint i = 0; i < field_count; i++)
    read_field (document, object, path, &fields[i], row);
  struct json_object_iterator at = json_object_iter_begin (object);
  struct json_object_iterator end = json_object_iter_end (object);
  for (; !json_object_iter_equal (&at, &end); json_object_iter_next (&at))
    {
      const char *name = json_object_iter_peek_name (&at);
      if (is_known (fields, field_count, name))
        continue;
      char *member = dp_json_member_path (path, name);
      dp_json_text_add_diagnostic (document, member, "is not known here");
      g_free (member);
    }
}
