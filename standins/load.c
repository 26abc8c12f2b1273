/* standin-load: a load generator whose callers verify every response.
 *
 * Exits with 0 only if at least one response was right, no complete response was wrong, no
 * request is still in flight, and the effects that the services counted agree with the
 * responses. */
#include "common/log.h"
#include "standins/load_exchange.h"
#include "standins/load_report.h"
#include "standins/load_settings.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* After the end of the run, requests in flight get this long, on top of their own timeout. */
#define DRAIN_TIMEOUT_SECONDS 20
#define EFFECTS_TIMEOUT_SECONDS 5

typedef struct Load
{
  struct event_base *base;
  GRand *random;
  LoadReport *report;
  guint issued;
  guint in_flight;      /* exchanges without a result yet */
  guint active_callers; /* including duplicates */
  gboolean stopping;
  char *prompt_prefix; /* system message of all chats */
} Load;

/* Sends one request at a time, with a pause after each. A duplicate sends another caller's
 * booking once, to a different entry, and ends. */
typedef struct Caller
{
  struct evhttp_connection *connection;
  guint entry;
  LoadRequest request;
  struct event *step_timer;
  guint retries_left;
  gboolean needs_reconnect; /* to the next entry, before the next request */
  gboolean is_duplicate;
} Caller;

static Load load;
static const LoadSettings *settings;

static void caller_step (Caller *caller);

/* --- requests --- */

/* A version 7 UUID, which begins with the current time. */
static char *
make_idempotency_key (void)
{
  guint64 msec = (guint64)g_get_real_time () / DP_USEC_PER_MSEC;
  guint32 a = g_rand_int (load.random);
  guint32 b = g_rand_int (load.random);
  guint32 c = g_rand_int (load.random);
  return g_strdup_printf ("%08x-%04x-7%03x-%04x-%04x%08x", (guint32)(msec >> 16),
                          (guint32)(msec & 0xffff), a & 0xfff, 0x8000 | ((a >> 16) & 0x3fff),
                          b & 0xffff, c);
}

static guint
random_between (guint low, guint high)
{
  return high > low ? (guint)g_rand_int_range (load.random, (gint32)low, (gint32)high + 1)
                    : low;
}

static char *
make_message (void)
{
  guint length = random_between (settings->prompt_min, settings->prompt_max);
  GString *text = g_string_new (NULL);
  g_string_printf (text, "question %u of caller run %u:", load.issued, settings->seed);
  while (text->len < length)
    g_string_append_printf (text, " %x", g_rand_int (load.random));
  return g_string_free (text, FALSE);
}

static void
fill_chat (LoadRequest *request)
{
  request->message = make_message ();
  request->tokens = random_between (settings->tokens_min, settings->tokens_max);
  request->path = g_strdup ("/v1/chat/completions");
  request->body = g_strdup_printf (
    "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,\"messages\":["
    "{\"role\":\"system\",\"content\":\"%s\"},{\"role\":\"user\",\"content\":\"%s\"}]}",
    settings->model, request->kind == LOAD_CHAT_STREAM ? "true" : "false", request->tokens,
    load.prompt_prefix, request->message);
}

static void
fill_booking (LoadRequest *request)
{
  request->idempotency_key = make_idempotency_key ();
  request->path = g_strdup (settings->booking_path);
  request->body = g_strdup_printf ("{\"section\":\"verge-%u\",\"run\":%u,\"number\":%u}",
                                   random_between (1, 500), settings->seed, load.issued);
}

static LoadKind
choose_kind (void)
{
  guint percent = random_between (0, 99);
  if (settings->direct || percent < settings->stream_percent)
    return LOAD_CHAT_STREAM;
  if (percent < settings->stream_percent + settings->booking_percent)
    return LOAD_BOOKING;
  return LOAD_CHAT_WHOLE;
}

static void
fill_request (LoadRequest *request)
{
  load.issued += 1;
  request->kind = choose_kind ();
  request->id = g_strdup_printf ("load-%u-%u", settings->seed, load.issued);
  request->timeout_msec = settings->timeout_msec;
  if (settings->key_count > 0)
    {
      const LoadAccessKey *key = &settings->keys[random_between (0, settings->key_count - 1)];
      request->key = g_strdup (key->key);
      request->tier = key->tier;
    }
  if (request->kind == LOAD_BOOKING)
    fill_booking (request);
  else
    fill_chat (request);
}

static void
copy_request (LoadRequest *to, const LoadRequest *from)
{
  *to = *from;
  to->key = g_strdup (from->key);
  to->idempotency_key = g_strdup (from->idempotency_key);
  to->path = g_strdup (from->path);
  to->body = g_strdup (from->body);
  to->message = g_strdup (from->message);
  to->id = g_strdup_printf ("%s-twin", from->id);
}

/* --- callers --- */

static void
open_connection (Caller *caller)
{
  const LoadAddress *entry = &settings->entries[caller->entry];
  caller->connection = evhttp_connection_base_new (load.base, NULL, entry->ip, entry->port);
  /* Leaves time for the response that follows an expired request timeout. */
  int seconds = (int)(settings->timeout_msec / 1000) + DRAIN_TIMEOUT_SECONDS;
  evhttp_connection_set_timeout (caller->connection, seconds);
}

static void
on_step_timer (evutil_socket_t fd, short events, void *data)
{
  caller_step (data);
}

static Caller *
caller_new (guint entry)
{
  Caller *caller = g_new0 (Caller, 1);
  load.active_callers += 1;
  caller->entry = entry;
  caller->step_timer = event_new (load.base, -1, 0, on_step_timer, caller);
  return caller;
}

static void
caller_free (Caller *caller)
{
  if (caller->connection != NULL)
    evhttp_connection_free (caller->connection);
  event_free (caller->step_timer);
  load_request_clear (&caller->request);
  g_free (caller);
  load.active_callers -= 1;
}

static void
schedule_step (Caller *caller, guint msec)
{
  const struct timeval delay = { msec / 1000, (suseconds_t)(msec % 1000) * 1000 };
  event_add (caller->step_timer, &delay);
}

static void
stop_if_done (void)
{
  if (load.active_callers == 0)
    event_base_loopbreak (load.base);
}

static guint
pause_before_next (const Caller *caller, const LoadResult *result)
{
  if (result->verdict == LOAD_RIGHT)
    return settings->think_msec;
  guint pause = MAX (settings->think_msec, 10);
  if (settings->quick_retry == 0 && result->retry_after > 0)
    pause = MAX (pause, result->retry_after * 1000);
  return pause;
}

static void
on_result (const LoadResult *result, gpointer data)
{
  Caller *caller = data;
  load.in_flight -= 1;
  load_report_add (load.report, &caller->request, result);
  if (result->verdict == LOAD_WRONG)
    dp_log (DP_LOG_ERROR, "wrong_answer", "request", caller->request.id, "reason",
            result->reason, NULL);
  caller->needs_reconnect = result->verdict != LOAD_RIGHT || settings->keep_alive == 0;
  if (result->verdict == LOAD_RIGHT)
    caller->retries_left = 0;
  schedule_step (caller, pause_before_next (caller, result));
}

static void
send_request (Caller *caller)
{
  if (caller->needs_reconnect)
    {
      g_clear_pointer (&caller->connection, evhttp_connection_free);
      caller->entry = (caller->entry + 1) % settings->entry_count;
      caller->needs_reconnect = FALSE;
    }
  if (caller->connection == NULL)
    open_connection (caller);
  load.in_flight += 1;
  load_exchange_start (&(LoadExchangeOptions){
    .connection = caller->connection,
    .request = &caller->request,
    .done = on_result,
    .data = caller,
  });
}

static void
start_duplicate (const Caller *caller)
{
  Caller *duplicate = caller_new ((caller->entry + 1) % settings->entry_count);
  duplicate->is_duplicate = TRUE;
  copy_request (&duplicate->request, &caller->request);
  send_request (duplicate);
}

static void
begin_request (Caller *caller)
{
  load_request_clear (&caller->request);
  fill_request (&caller->request);
  caller->retries_left = settings->retries;
  if (caller->request.kind == LOAD_BOOKING
      && random_between (0, 99) < settings->duplicate_percent)
    start_duplicate (caller);
  send_request (caller);
}

static void
caller_step (Caller *caller)
{
  gboolean may_send = !caller->is_duplicate && !load.stopping;
  if (may_send && caller->retries_left > 0)
    {
      caller->retries_left -= 1;
      send_request (caller);
      return;
    }
  if (may_send && load.issued < settings->requests)
    {
      begin_request (caller);
      return;
    }
  caller_free (caller);
  stop_if_done ();
}

static void
on_drain_timeout (evutil_socket_t fd, short events, void *data)
{
  event_base_loopbreak (load.base);
}

static void
on_run_timeout (evutil_socket_t fd, short events, void *data)
{
  const struct timeval drain = { DRAIN_TIMEOUT_SECONDS + settings->timeout_msec / 1000, 0 };
  load.stopping = TRUE;
  event_base_once (load.base, -1, EV_TIMEOUT, on_drain_timeout, NULL, &drain);
}

static void
on_signal (evutil_socket_t number, short events, void *data)
{
  load.stopping = TRUE;
}

static void
run_callers (void)
{
  for (guint i = 0; i < settings->callers; i++)
    {
      Caller *caller = caller_new (i % settings->entry_count);
      schedule_step (caller, settings->ramp_msec * i / settings->callers);
    }
  const struct timeval end = { settings->seconds, 0 };
  event_base_once (load.base, -1, EV_TIMEOUT, on_run_timeout, NULL, &end);
  struct event *term = evsignal_new (load.base, SIGTERM, on_signal, NULL);
  event_add (term, NULL);
  event_base_dispatch (load.base);
  event_free (term);
}

/* --- effects --- */

static void
on_effects (struct evhttp_request *req, void *data)
{
  GPtrArray *bodies = data;
  if (req != NULL && evhttp_request_get_response_code (req) == 200)
    g_ptr_array_add (bodies, standin_request_body (req, NULL));
  event_base_loopbreak (load.base);
}

static void
fetch_effects (const LoadAddress *service, GPtrArray *bodies)
{
  struct evhttp_connection *connection
    = evhttp_connection_base_new (load.base, NULL, service->ip, service->port);
  evhttp_connection_set_timeout (connection, EFFECTS_TIMEOUT_SECONDS);
  struct evhttp_request *req = evhttp_request_new (on_effects, bodies);
  evhttp_make_request (connection, req, EVHTTP_REQ_GET, "/effects");
  event_base_dispatch (load.base);
  evhttp_connection_free (connection);
}

/* Returns the number of violations. A service that can't be queried counts as one. */
static guint
check_effects (GString *out)
{
  GPtrArray *bodies = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < settings->service_count; i++)
    fetch_effects (&settings->services[i], bodies);
  guint violations = settings->service_count - bodies->len;
  if (violations > 0)
    g_string_append_printf (out, "violation=service_not_asked services=%u\n", violations);
  else if (settings->service_count > 0)
    violations += load_report_check_effects (load.report, bodies, out);
  g_ptr_array_unref (bodies);
  return violations;
}

/* Builds the text that all prompts begin with, such as a menu. */
static char *
make_prompt_prefix (void)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; text->len < settings->shared_prefix; i++)
    g_string_append_printf (text, "dish %u, ", i);
  return g_string_free (text, FALSE);
}

static gboolean
print_report (void)
{
  GString *out = g_string_new (NULL);
  guint violations = check_effects (out);
  load_report_format (load.report, out);
  guint stuck = load.in_flight;
  g_string_append_printf (out, "stuck=%u\n", stuck);
  g_print ("%s", out->str);
  g_string_free (out, TRUE);
  return violations == 0 && stuck == 0 && load_report_count (load.report, LOAD_WRONG) == 0
         && load_report_count (load.report, LOAD_RIGHT) > 0;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  dp_log_init ("standin-load", DP_LOG_INFO);
  settings = load_settings_parse (argc, argv);

  load.base = event_base_new ();
  load.random = g_rand_new_with_seed (settings->seed);
  load.prompt_prefix = make_prompt_prefix ();
  load.report = load_report_new (settings->tiers, settings->tier_count);
  run_callers ();
  gboolean passed = print_report ();
  load_report_free (load.report);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
