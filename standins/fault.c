#include "standins/fault.h"

#include "common/log.h"
#include "standins/http.h"

#include <json-c/json.h>
#include <string.h>

static const FaultSwitch *
find_switch (const FaultTable *table, const char *name)
{
  for (guint i = 0; i < table->count; i++)
    {
      if (strcmp (table->switches[i].name, name) == 0)
        return &table->switches[i];
    }
  return NULL;
}

static gboolean
set_value (FaultTable *table, const char *name, const char *value)
{
  gint64 number = FAULT_OFF;
  gboolean is_number = g_ascii_string_to_signed (value, 10, -1, G_MAXINT64, &number, NULL);
  if (strcmp (name, "times") == 0 && is_number)
    {
      table->requests_left = number;
      return TRUE;
    }
  const FaultSwitch *row = find_switch (table, name);
  if (row == NULL)
    return FALSE;
  if (row->text != NULL)
    {
      g_free (*row->text);
      *row->text = value[0] != '\0' ? g_strdup (value) : NULL;
      return TRUE;
    }
  if (is_number)
    *row->number = number;
  return is_number;
}

void
fault_clear (FaultTable *table)
{
  table->requests_left = FAULT_OFF;
  for (guint i = 0; i < table->count; i++)
    {
      const FaultSwitch *row = &table->switches[i];
      if (row->text != NULL)
        g_clear_pointer (row->text, g_free);
      else
        *row->number = FAULT_OFF;
    }
}

gboolean
fault_set (FaultTable *table, const char *assignment)
{
  const char *equals = strchr (assignment, '=');
  if (equals == NULL)
    return FALSE;
  char *name = g_strndup (assignment, (gsize)(equals - assignment));
  gboolean known = set_value (table, name, equals + 1);
  g_free (name);
  return known;
}

gboolean
fault_consume (FaultTable *table)
{
  if (table->requests_left == FAULT_OFF)
    return TRUE;
  if (table->requests_left == 0)
    return FALSE;
  table->requests_left -= 1;
  return TRUE;
}

static char *
format_switches (const FaultTable *table)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "times", json_object_new_int64 (table->requests_left));
  for (guint i = 0; i < table->count; i++)
    {
      const FaultSwitch *row = &table->switches[i];
      struct json_object *value = NULL;
      if (row->text == NULL)
        value = json_object_new_int64 (*row->number);
      else if (*row->text != NULL)
        value = json_object_new_string (*row->text);
      json_object_object_add (object, row->name, value);
    }
  char *text = g_strdup (json_object_to_json_string (object));
  json_object_put (object);
  return text;
}

/* An empty object clears all switches; otherwise each member sets one. */
static gboolean
apply_object (FaultTable *table, struct json_object *object)
{
  if (json_object_object_length (object) == 0)
    fault_clear (table);
  gboolean known = TRUE;
  json_object_object_foreach (object, name, value)
  {
    const char *text = value != NULL ? json_object_get_string (value) : "";
    dp_log (DP_LOG_NOTICE, "fault_set", "name", name, "value", text, NULL);
    known = set_value (table, name, text) && known;
  }
  return known;
}

void
fault_handle (FaultTable *table, struct evhttp_request *req)
{
  gboolean known = TRUE;
  if (evhttp_request_get_command (req) == EVHTTP_REQ_POST)
    {
      char *body = standin_request_body (req, NULL);
      struct json_object *object = json_tokener_parse (body);
      known = object != NULL && json_object_is_type (object, json_type_object)
              && apply_object (table, object);
      json_object_put (object);
      g_free (body);
    }
  char *text = format_switches (table);
  standin_reply (req, known ? 200 : 400, "application/json", text);
  g_free (text);
}
