#include "standins/echo.h"

#include "common/id.h"

#include <string.h>

/* Response length in tokens if the request has no max_tokens: MIN to MIN + RANGE - 1. */
#define DEFAULT_TOKENS_MIN 8
#define DEFAULT_TOKENS_RANGE 24
#define TOKENS_MAX 100000 /* upper limit of max_tokens */

static const char *
get_string_member (struct json_object *object, const char *name)
{
  struct json_object *value;
  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

static struct json_object *
get_messages (struct json_object *request)
{
  struct json_object *messages;
  if (!json_object_object_get_ex (request, "messages", &messages)
      || !json_object_is_type (messages, json_type_array))
    return NULL;
  return messages;
}

const char *
echo_last_user_message (struct json_object *request)
{
  struct json_object *messages = get_messages (request);
  gsize count = messages != NULL ? json_object_array_length (messages) : 0;
  for (gsize i = count; i > 0; i--)
    {
      struct json_object *message = json_object_array_get_idx (messages, i - 1);
      const char *content = get_string_member (message, "content");
      if (content != NULL && g_strcmp0 (get_string_member (message, "role"), "user") == 0)
        return content;
    }
  return "";
}

GString *
echo_prompt_text (struct json_object *request)
{
  GString *text = g_string_new (NULL);
  struct json_object *messages = get_messages (request);
  gsize count = messages != NULL ? json_object_array_length (messages) : 0;
  for (gsize i = 0; i < count; i++)
    {
      struct json_object *message = json_object_array_get_idx (messages, i);
      const char *content = get_string_member (message, "content");
      if (content != NULL)
        g_string_append (text, content);
      g_string_append_c (text, '\n');
    }
  return text;
}

guint
echo_token_count (struct json_object *request, const char *message)
{
  struct json_object *value;
  if (json_object_object_get_ex (request, "max_tokens", &value)
      && json_object_get_int64 (value) > 0)
    return (guint)MIN (json_object_get_int64 (value), TOKENS_MAX);
  guint64 hash = dp_hash_bytes (message, strlen (message), 1);
  return DEFAULT_TOKENS_MIN + (guint)(hash % DEFAULT_TOKENS_RANGE);
}

void
echo_append_token (GString *out, const char *message, guint index)
{
  if (index > 0)
    {
      g_string_append_printf (out, " w%u", index);
      return;
    }
  guint64 hash = dp_hash_bytes (message, strlen (message), 0);
  g_string_append_printf (out, "echo:%016" G_GINT64_MODIFIER "x", hash);
}

void
echo_append_tokens (GString *out, const char *message, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    echo_append_token (out, message, i);
}
