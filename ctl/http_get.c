#include "ctl/http_get.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#define TIMEOUT_SECONDS 3
#define BODY_BYTES_MAX ((ev_ssize_t)8 * 1024 * 1024)

typedef struct Response
{
  struct event_base *base;
  const char *error;
  char *body;
} Response;

static void
read_response (Response *response, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  int status = evhttp_request_get_response_code (request);
  if (status == 0)
    response->error = "connection failed";
  else if (status != 200)
    response->error = "HTTP status is not 200";
  else if (evhttp_find_header (headers, "Content-Length") == NULL
           && evhttp_find_header (headers, "Transfer-Encoding") == NULL)
    response->error = "response has no length and may be truncated";
  else
    {
      struct evbuffer *buffer = evhttp_request_get_input_buffer (request);
      gsize length = evbuffer_get_length (buffer);
      response->body = g_malloc0 (length + 1);
      evbuffer_remove (buffer, response->body, length);
    }
}

static void
on_done (struct evhttp_request *request, void *data)
{
  Response *response = data;
  if (request == NULL)
    response->error = "incomplete response or timeout";
  else
    read_response (response, request);
  event_base_loopbreak (response->base);
}

char *
dp_ctl_http_get (const char *address, guint16 port, const char *path, const char **error)
{
  Response response = { .base = event_base_new (), .error = "connection failed" };
  struct evhttp_connection *connection
    = evhttp_connection_base_new (response.base, NULL, address, port);
  evhttp_connection_set_timeout (connection, TIMEOUT_SECONDS);
  evhttp_connection_set_max_body_size (connection, BODY_BYTES_MAX);
  struct evhttp_request *request = evhttp_request_new (on_done, &response);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", address);
  if (evhttp_make_request (connection, request, EVHTTP_REQ_GET, path) == 0)
    event_base_dispatch (response.base);
  evhttp_connection_free (connection);
  event_base_free (response.base);
  *error = response.body == NULL ? response.error : NULL;
  return response.body;
}
