#include "entry/request.h"

#include <event2/http.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>

#define CHAT_PATH "/v1/chat/completions"
#define SERVICES_PREFIX "/services/"
#define OUTCOMES_PREFIX "/v1/outcomes/"
#define TIMEOUT_MSEC_MAX 3600000
#define IDEMPOTENCY_KEY_BYTES_MAX 256
#define BEARER_PREFIX "Bearer "

static gboolean
is_chat_target (const char *target)
{
  gsize length = strlen (CHAT_PATH);
  return strncmp (target, CHAT_PATH, length) == 0
         && (target[length] == '\0' || target[length] == '?');
}

static DpRequestKind
determine_kind (const DpEntryRequest *request)
{
  if (is_chat_target (request->target))
    return DP_REQUEST_CHAT;
  if (g_str_has_prefix (request->target, SERVICES_PREFIX))
    return DP_REQUEST_SERVICE;
  if (g_str_has_prefix (request->target, OUTCOMES_PREFIX)
      && strcmp (request->method, "GET") == 0)
    return DP_REQUEST_OUTCOME;
  return DP_REQUEST_UNKNOWN;
}

/* Ids are written to logs and answers, so only printable ASCII without spaces is allowed. */
static gboolean
is_valid_id (const char *text, gsize size)
{
  gsize length = strlen (text);
  if (length == 0 || length >= size)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    if (!g_ascii_isgraph (text[i]))
      return FALSE;
  return TRUE;
}

static void
read_id (DpEntryRequest *request, const DpHttpExchange *exchange)
{
  const char *text = dp_http_exchange_header (exchange, "X-Request-Id");
  if (text != NULL && is_valid_id (text, sizeof request->id))
    {
      g_strlcpy (request->id, text, sizeof request->id);
      return;
    }
  DpId id;
  evutil_secure_rng_get_bytes (&id, sizeof id);
  dp_id_format (id, request->id);
}

static void
read_access_key (DpEntryRequest *request, const DpHttpExchange *exchange)
{
  const char *text = dp_http_exchange_header (exchange, "Authorization");
  gsize prefix = strlen (BEARER_PREFIX);
  if (text == NULL || g_ascii_strncasecmp (text, BEARER_PREFIX, prefix) != 0)
    return;
  request->key_sha256 = g_compute_checksum_for_string (G_CHECKSUM_SHA256, text + prefix, -1);
}

static void
read_timeout (DpEntryRequest *request, const DpHttpExchange *exchange)
{
  const char *text = dp_http_exchange_header (exchange, "X-Request-Timeout-Ms");
  guint64 msec;
  if (text == NULL)
    return;
  if (g_ascii_string_to_unsigned (text, 10, 1, TIMEOUT_MSEC_MAX, &msec, NULL))
    request->timeout = (DpUsec)msec * DP_USEC_PER_MSEC;
  else
    request->problem = "X-Request-Timeout-Ms must be a number from 1 to 3600000";
}

static void
read_idempotency_key (DpEntryRequest *request, const DpHttpExchange *exchange)
{
  const char *text = dp_http_exchange_header (exchange, "Idempotency-Key");
  if (request->kind == DP_REQUEST_OUTCOME)
    {
      char *end = request->target + strcspn (request->target, "?");
      char *encoded = g_strndup (request->target + strlen (OUTCOMES_PREFIX),
                                 (gsize)(end - request->target) - strlen (OUTCOMES_PREFIX));
      char *decoded = evhttp_uridecode (encoded, 0, NULL);
      request->idempotency_key = g_strdup (decoded);
      free (decoded);
      g_free (encoded);
    }
  else
    request->idempotency_key = g_strdup (text);
  if (request->idempotency_key != NULL
      && strlen (request->idempotency_key) > IDEMPOTENCY_KEY_BYTES_MAX)
    request->problem = "the idempotency key is longer than 256 bytes";
}

/* TRUE if the service might resolve the path to one that matches another call of the
 * manifest. */
static gboolean
is_ambiguous_path (const char *target)
{
  char *path = g_ascii_strdown (target, (gssize)strcspn (target, "?"));
  gboolean found = strstr (path, "//") != NULL || strstr (path, "/./") != NULL
                   || strstr (path, "/../") != NULL || g_str_has_suffix (path, "/.")
                   || g_str_has_suffix (path, "/..") || strstr (path, "%2e") != NULL
                   || strstr (path, "%2f") != NULL || strstr (path, "%5c") != NULL
                   || strchr (path, '\\') != NULL || strchr (path, '#') != NULL;
  g_free (path);
  return found;
}

static void
read_chat (DpEntryRequest *request, const char *body, gsize length)
{
  /* The core refuses other methods. */
  if (strcmp (request->method, "POST") != 0)
    return;
  request->chat = dp_chat_request_parse (body, length, &request->problem);
}

static void
read_body (DpEntryRequest *request, const DpHttpExchange *exchange)
{
  gsize length;
  const char *body = dp_http_exchange_body (exchange, &length);
  /* The hash covers the query: calls that differ only in the query are different operations. */
  const char *query = strchr (request->target, '?');
  guint64 seed = query != NULL ? dp_hash_bytes (query, strlen (query), 0) : 0;
  request->body_hash = dp_hash_bytes (body, length, seed);
  if (request->kind == DP_REQUEST_CHAT)
    read_chat (request, body, length);
  else if (request->kind == DP_REQUEST_SERVICE)
    request->body = g_bytes_new (body, length);
}

static void
check_request (DpEntryRequest *request, const DpHttpExchange *exchange)
{
  if (request->chat != NULL && request->chat->stream && !dp_http_exchange_can_stream (exchange))
    request->problem = "streamed answers require HTTP/1.1";
  if (request->kind == DP_REQUEST_SERVICE && is_ambiguous_path (request->target))
    request->problem
      = "the path is ambiguous: it has empty or dot segments, encoded separators, '\\' or '#'";
}

DpEntryRequest *
dp_entry_request_new (const DpHttpExchange *exchange)
{
  DpEntryRequest *request = g_new0 (DpEntryRequest, 1);
  request->method = g_strdup (dp_http_exchange_method (exchange));
  request->target = g_strdup (dp_http_exchange_target (exchange));
  request->kind = determine_kind (request);
  gsize path_length = strcspn (request->target, "?");
  if (request->kind == DP_REQUEST_SERVICE)
    path_length = strlen (request->target);
  request->path = g_strndup (request->target, path_length);
  request->content_type = g_strdup (dp_http_exchange_header (exchange, "Content-Type"));
  read_id (request, exchange);
  read_access_key (request, exchange);
  read_body (request, exchange);
  read_timeout (request, exchange);
  read_idempotency_key (request, exchange);
  check_request (request, exchange);
  return request;
}

void
dp_entry_request_free (DpEntryRequest *request)
{
  if (request == NULL)
    return;
  g_free (request->method);
  g_free (request->target);
  g_free (request->path);
  g_free (request->key_sha256);
  g_free (request->idempotency_key);
  g_free (request->content_type);
  dp_chat_request_free (request->chat);
  g_clear_pointer (&request->body, g_bytes_unref);
  g_free (request);
}

static DpId
hash_to_id (const char *text)
{
  gsize length = strlen (text);
  return (DpId){ dp_hash_bytes (text, length, 1), dp_hash_bytes (text, length, 2) };
}

DpRequestIn
dp_entry_request_event (const DpEntryRequest *request, DpCaller caller)
{
  DpRequestIn in = {
    .caller = caller,
    .request = hash_to_id (request->id),
    .key_sha256 = request->key_sha256,
    .method = request->method,
    .path = request->path,
    .timeout = request->timeout,
    .idempotency_key = request->idempotency_key,
    .body_hash = request->body_hash,
    .outcome_query = request->kind == DP_REQUEST_OUTCOME,
  };
  const DpChatRequest *chat = request->chat;
  if (chat == NULL)
    return in;
  in.model = chat->model;
  in.stream = chat->stream;
  in.prompt_tokens = chat->prompt_tokens;
  in.output_tokens = chat->output_tokens;
  in.prefix_count = chat->prefix_count;
  memcpy (in.prefix, chat->prefix, sizeof in.prefix);
  return in;
}

const char *
dp_entry_request_service_target (const DpEntryRequest *request)
{
  const char *path = request->target + strlen (SERVICES_PREFIX);
  path += strcspn (path, "/?");
  return path[0] == '/' ? path : "/";
}
