#include "ctl/http_get.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#define TIMEOUT_SECONDS 3
#define BODY_BYTES_MAX ((ev_ssize_t)8 * 1024 * 1024)

typedef struct Answer
{
  struct event_base *base;
  const char *problem;
  char *body;
} Answer;

static void
take_answer (Answer *answer, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  int status = evhttp_request_get_response_code (request);
  if (status == 0)
    answer->problem = "no connection";
  else if (status != 200)
    answer->problem = "the answer's status is not 200";
  else if (evhttp_find_header (headers, "Content-Length") == NULL
           && evhttp_find_header (headers, "Transfer-Encoding") == NULL)
    answer->problem = "the answer may be cut off";
  else
    {
      struct evbuffer *buffer = evhttp_request_get_input_buffer (request);
      gsize length = evbuffer_get_length (buffer);
      answer->body = g_malloc0 (length + 1);
      evbuffer_remove (buffer, answer->body, length);
    }
}

static void
on_done (struct evhttp_request *request, void *data)
{
  Answer *answer = data;
  if (request == NULL)
    answer->problem = "no whole answer";
  else
    take_answer (answer, request);
  event_base_loopbreak (answer->base);
}

char *
dp_ctl_http_get (const char *address, guint16 port, const char *path, const char **problem)
{
  Answer answer = { .base = event_base_new (), .problem = "no connection" };
  struct evhttp_connection *connection
    = evhttp_connection_base_new (answer.base, NULL, address, port);
  evhttp_connection_set_timeout (connection, TIMEOUT_SECONDS);
  evhttp_connection_set_max_body_size (connection, BODY_BYTES_MAX);
  struct evhttp_request *request = evhttp_request_new (on_done, &answer);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", address);
  if (evhttp_make_request (connection, request, EVHTTP_REQ_GET, path) == 0)
    event_base_dispatch (answer.base);
  evhttp_connection_free (connection);
  event_base_free (answer.base);
  *problem = answer.body == NULL ? answer.problem : NULL;
  return answer.body;
}
