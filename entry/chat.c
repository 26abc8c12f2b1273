#include "entry/chat.h"

#include "manifest/json_scan.h"
#include "net/sse.h"

#include <string.h>

#define REQUEST_DEPTH_MAX 32
#define EVENT_DEPTH_MAX 16

static struct json_object *
parse_json (const char *text, gsize length, int depth)
{
  struct json_tokener *tokener = json_tokener_new_ex (depth);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  struct json_object *root = json_tokener_parse_ex (tokener, text, (int)length);
  gboolean complete = json_tokener_get_error (tokener) == json_tokener_success;
  /* The parser stops at the end of the value; only whitespace may follow. */
  for (gsize i = json_tokener_get_parse_end (tokener); complete && i < length; i++)
    complete = g_ascii_isspace (text[i]);
  if (!complete)
    g_clear_pointer (&root, json_object_put);
  json_tokener_free (tokener);
  return root;
}

static void
on_scan_problem (const char *path, guint line, const char *problem, gpointer data)
{
  *(gboolean *)data = TRUE;
}

/* FALSE for what json-c accepts even in strict mode: duplicate keys, NaN, control characters
 * and single quotes. The engine might interpret such a text differently. */
static gboolean
is_strict_json (const char *text, gsize length)
{
  gboolean has_problem = FALSE;
  const DpJsonScanOptions options
    = { .text = text, .length = length, .on_problem = on_scan_problem, .data = &has_problem };
  dp_json_scan (&options);
  return !has_problem;
}

/* Returns the member (borrowed), or NULL if it is missing or of another type. */
static struct json_object *
get_member (struct json_object *object, const char *name, enum json_type type)
{
  struct json_object *value;
  if (object == NULL || !json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &value))
    return NULL;
  return json_object_is_type (value, type) ? value : NULL;
}

static const char *
get_string (struct json_object *object, const char *name)
{
  struct json_object *value = get_member (object, name, json_type_string);
  return value != NULL ? json_object_get_string (value) : NULL;
}

static guint
get_count (struct json_object *object, const char *name)
{
  struct json_object *value = get_member (object, name, json_type_int);
  gint64 number = value != NULL ? json_object_get_int64 (value) : 0;
  return (guint)CLAMP (number, 0, G_MAXUINT);
}

/* --- requests --- */

/* Appends the text of a message, whose "content" is a string or an array of parts that have a
 * "text" each. */
static void
append_content (struct json_object *message, GString *out)
{
  const char *text = get_string (message, "content");
  if (text != NULL)
    g_string_append (out, text);
  struct json_object *parts = get_member (message, "content", json_type_array);
  gsize count = parts != NULL ? json_object_array_length (parts) : 0;
  for (gsize i = 0; i < count; i++)
    {
      text = get_string (json_object_array_get_idx (parts, i), "text");
      if (text != NULL)
        g_string_append (out, text);
    }
}

static gboolean
read_messages (DpChatRequest *request)
{
  struct json_object *messages = get_member (request->root, "messages", json_type_array);
  if (messages == NULL || json_object_array_length (messages) == 0)
    return FALSE;
  GString *prompt = g_string_new (NULL);
  for (gsize i = 0; i < json_object_array_length (messages); i++)
    {
      append_content (json_object_array_get_idx (messages, i), prompt);
      g_string_append_c (prompt, '\n');
    }
  request->prompt_tokens = dp_prefix_estimate_tokens (prompt->len);
  request->prefix_count
    = dp_prefix_hash_blocks (prompt->str, prompt->len, request->prefix, DP_PREFIX_BLOCKS_MAX);
  g_string_free (prompt, TRUE);
  return TRUE;
}

/* FALSE: "stream" has the wrong type. */
static gboolean
read_parameters (DpChatRequest *request)
{
  struct json_object *value;
  request->model = get_string (request->root, "model");
  if (json_object_object_get_ex (request->root, "stream", &value)
      && !json_object_is_type (value, json_type_boolean)
      && !json_object_is_type (value, json_type_null))
    return FALSE;
  struct json_object *stream = get_member (request->root, "stream", json_type_boolean);
  request->stream = stream != NULL && json_object_get_boolean (stream);
  request->output_tokens = get_count (request->root, "max_completion_tokens");
  if (request->output_tokens == 0)
    request->output_tokens = get_count (request->root, "max_tokens");
  return TRUE;
}

DpChatRequest *
dp_chat_request_parse (const char *text, gsize length, const char **problem)
{
  DpChatRequest *request = g_new0 (DpChatRequest, 1);
  request->root = parse_json (text, length, REQUEST_DEPTH_MAX);
  *problem = NULL;
  if (request->root == NULL || !json_object_is_type (request->root, json_type_object)
      || !is_strict_json (text, length))
    *problem = "the body is not a JSON object";
  else if (!read_parameters (request))
    *problem = "\"stream\" must be true or false";
  else if (!read_messages (request))
    *problem = "\"messages\" must be a non-empty array";
  if (*problem == NULL)
    return request;
  dp_chat_request_free (request);
  return NULL;
}

void
dp_chat_request_free (DpChatRequest *request)
{
  if (request == NULL)
    return;
  json_object_put (request->root);
  g_free (request);
}

char *
dp_chat_request_format (const DpChatRequest *request, const char *resume_text)
{
  struct json_object *root = request->root;
  json_object_object_add (root, "stream", json_object_new_boolean (TRUE));
  json_object_object_del (root, "resume_text");
  if (resume_text != NULL && resume_text[0] != '\0')
    json_object_object_add (root, "resume_text", json_object_new_string (resume_text));
  char *text = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_object_del (root, "resume_text");
  return text;
}

/* --- events --- */

static void
read_usage (struct json_object *root, DpChatEvent *out)
{
  struct json_object *usage = get_member (root, "usage", json_type_object);
  if (usage == NULL)
    return;
  out->has_usage = TRUE;
  out->usage.prompt_tokens = get_count (usage, "prompt_tokens");
  out->usage.completion_tokens = get_count (usage, "completion_tokens");
  out->usage.cached_tokens = get_count (
    get_member (usage, "prompt_tokens_details", json_type_object), "cached_tokens");
}

static void
read_choice (struct json_object *root, DpChatEvent *out)
{
  struct json_object *choices = get_member (root, "choices", json_type_array);
  if (choices == NULL || json_object_array_length (choices) == 0)
    return;
  struct json_object *choice = json_object_array_get_idx (choices, 0);
  const char *content = get_string (get_member (choice, "delta", json_type_object), "content");
  if (content != NULL && content[0] != '\0')
    {
      out->content = g_strdup (content);
      out->tokens = 1;
    }
  out->finish_reason = g_strdup (get_string (choice, "finish_reason"));
}

gboolean
dp_chat_event_parse (const char *event, gsize length, DpChatEvent *out)
{
  *out = (DpChatEvent){ 0 };
  gsize data_length;
  const char *data = dp_sse_data (event, length, &data_length);
  if (data == NULL) /* a keep-alive comment */
    return TRUE;
  out->done = data_length == strlen ("[DONE]") && memcmp (data, "[DONE]", data_length) == 0;
  if (out->done)
    return TRUE;
  struct json_object *root = parse_json (data, data_length, EVENT_DEPTH_MAX);
  if (root == NULL)
    return FALSE;
  read_choice (root, out);
  read_usage (root, out);
  json_object_put (root);
  return TRUE;
}

void
dp_chat_event_clear (DpChatEvent *event)
{
  g_clear_pointer (&event->content, g_free);
  g_clear_pointer (&event->finish_reason, g_free);
}

/* --- completions --- */

static struct json_object *
make_string (const char *text)
{
  return text != NULL ? json_object_new_string (text) : NULL;
}

static struct json_object *
make_choices (const DpChatCompletion *completion)
{
  struct json_object *message = json_object_new_object ();
  json_object_object_add (message, "role", json_object_new_string ("assistant"));
  json_object_object_add (message, "content", json_object_new_string (completion->content));
  struct json_object *choice = json_object_new_object ();
  json_object_object_add (choice, "index", json_object_new_int (0));
  json_object_object_add (choice, "message", message);
  json_object_object_add (choice, "finish_reason", make_string (completion->finish_reason));
  struct json_object *choices = json_object_new_array_ext (1);
  json_object_array_add (choices, choice);
  return choices;
}

static struct json_object *
make_usage (const DpChatUsage *usage)
{
  struct json_object *details = json_object_new_object ();
  json_object_object_add (details, "cached_tokens",
                          json_object_new_uint64 (usage->cached_tokens));
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "prompt_tokens",
                          json_object_new_uint64 (usage->prompt_tokens));
  json_object_object_add (object, "completion_tokens",
                          json_object_new_uint64 (usage->completion_tokens));
  json_object_object_add (
    object, "total_tokens",
    json_object_new_uint64 ((guint64)usage->prompt_tokens + usage->completion_tokens));
  json_object_object_add (object, "prompt_tokens_details", details);
  return object;
}

char *
dp_chat_completion_format (const DpChatCompletion *completion)
{
  struct json_object *root = json_object_new_object ();
  char *id = g_strdup_printf ("chatcmpl-%s", completion->id);
  json_object_object_add (root, "id", json_object_new_string (id));
  json_object_object_add (root, "object", json_object_new_string ("chat.completion"));
  json_object_object_add (root, "created",
                          json_object_new_int64 (completion->created / DP_USEC_PER_SEC));
  json_object_object_add (root, "model", make_string (completion->model));
  json_object_object_add (root, "choices", make_choices (completion));
  json_object_object_add (root, "usage", make_usage (&completion->usage));
  char *text = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  g_free (id);
  return text;
}
