/* standin-load: concurrent callers that check each answer.
 *
 * Exit code 0 only if something was answered, every complete answer was the right one, nothing
 * hung, and the service's effects agree with what callers were told. */
#include "common/log.h"
#include "standins/load_exchange.h"
#include "standins/load_report.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TIERS_MAX 16
#define ENTRIES_MAX 64
/* After the end of the run, this long is waited for answers under way. */
#define DRAIN_SECONDS 20
#define EFFECTS_TIMEOUT_SECONDS 5

const char *argp_program_version = "standin-load " DP_VERSION;

typedef struct Address
{
  char *ip;
  guint16 port;
} Address;

typedef struct AccessKey
{
  char *key;
  guint tier;
} AccessKey;

typedef struct Settings
{
  guint callers;
  guint requests; /* in all */
  guint seconds;  /* no new requests after it */
  guint seed;
  guint stream_percent;
  guint booking_percent; /* the rest: whole chats */
  guint duplicate_percent;
  guint retries; /* of one request that got no right answer */
  guint prompt_min;
  guint prompt_max;
  guint tokens_min;
  guint tokens_max;
  guint shared_prefix; /* bytes that all prompts begin with */
  guint timeout_msec;
  guint think_msec;
  guint ramp_msec;
  guint quick_retry; /* 1: come again at once, whatever Retry-After says */
  guint keep_alive;
  char *model;
  char *booking_path;
  gboolean direct; /* to an engine: no access keys, no bookings */
} Settings;

typedef struct Load
{
  struct event_base *base;
  GRand *random;
  LoadReport *report;
  Address entries[ENTRIES_MAX];
  guint entry_count;
  AccessKey keys[TIERS_MAX];
  guint key_count;
  const char *tiers[TIERS_MAX];
  guint tier_count;
  GPtrArray *services; /* addresses whose effects are checked */
  guint issued;
  guint open; /* exchanges under way */
  guint idle; /* callers that have ended */
  gboolean stopping;
  char *shared_text;
} Load;

/* One caller: asks, waits, thinks, asks again. A twin repeats a booking once at another entry.
 */
typedef struct Caller
{
  struct evhttp_connection *connection;
  guint entry;
  LoadRequest request;
  struct event *next;
  guint tries_left;
  gboolean failed; /* the connection is of no more use */
  gboolean is_twin;
} Caller;

static Load load;
static Settings settings = {
  .callers = 10,
  .requests = 100,
  .seconds = 30,
  .seed = 1,
  .stream_percent = 70,
  .booking_percent = 10,
  .prompt_min = 40,
  .prompt_max = 400,
  .tokens_min = 4,
  .tokens_max = 40,
  .keep_alive = 1,
  .model = "crew-7b",
  .booking_path = "/services/rota/bookings",
};

static void caller_step (Caller *caller);

/* --- requests --- */

/* A UUID of version 7: its time comes first. */
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
  guint length = random_between (settings.prompt_min, settings.prompt_max);
  GString *text = g_string_new (NULL);
  g_string_printf (text, "question %u of caller run %u:", load.issued, settings.seed);
  while (text->len < length)
    g_string_append_printf (text, " %x", g_rand_int (load.random));
  return g_string_free (text, FALSE);
}

static void
fill_chat (LoadRequest *request)
{
  request->message = make_message ();
  request->tokens = random_between (settings.tokens_min, settings.tokens_max);
  request->path = g_strdup ("/v1/chat/completions");
  request->body = g_strdup_printf (
    "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,\"messages\":["
    "{\"role\":\"system\",\"content\":\"%s\"},{\"role\":\"user\",\"content\":\"%s\"}]}",
    settings.model, request->kind == LOAD_CHAT_STREAM ? "true" : "false", request->tokens,
    load.shared_text, request->message);
}

static void
fill_booking (LoadRequest *request)
{
  request->idempotency_key = make_idempotency_key ();
  request->path = g_strdup (settings.booking_path);
  request->body = g_strdup_printf ("{\"section\":\"verge-%u\",\"run\":%u,\"number\":%u}",
                                   random_between (1, 500), settings.seed, load.issued);
}

static LoadKind
choose_kind (void)
{
  guint percent = random_between (0, 99);
  if (settings.direct || percent < settings.stream_percent)
    return LOAD_CHAT_STREAM;
  if (percent < settings.stream_percent + settings.booking_percent)
    return LOAD_BOOKING;
  return LOAD_CHAT_WHOLE;
}

static void
fill_request (LoadRequest *request)
{
  load.issued += 1;
  request->kind = choose_kind ();
  request->id = g_strdup_printf ("load-%u-%u", settings.seed, load.issued);
  request->timeout_msec = settings.timeout_msec;
  if (load.key_count > 0)
    {
      const AccessKey *key = &load.keys[random_between (0, load.key_count - 1)];
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
  const Address *entry = &load.entries[caller->entry];
  caller->connection = evhttp_connection_base_new (load.base, NULL, entry->ip, entry->port);
  /* Long enough for the deadline to pass and its answer to come. */
  int seconds = (int)(settings.timeout_msec / 1000) + DRAIN_SECONDS;
  evhttp_connection_set_timeout (caller->connection, seconds);
}

static void
on_next (evutil_socket_t fd, short events, void *data)
{
  caller_step (data);
}

static Caller *
caller_new (guint entry)
{
  Caller *caller = g_new0 (Caller, 1);
  caller->entry = entry;
  caller->next = event_new (load.base, -1, 0, on_next, caller);
  return caller;
}

static void
caller_free (Caller *caller)
{
  if (caller->connection != NULL)
    evhttp_connection_free (caller->connection);
  event_free (caller->next);
  load_request_clear (&caller->request);
  g_free (caller);
}

static void
schedule (Caller *caller, guint msec)
{
  const struct timeval delay = { msec / 1000, (suseconds_t)(msec % 1000) * 1000 };
  event_add (caller->next, &delay);
}

static void
stop_if_done (void)
{
  if (load.open == 0 && load.idle == settings.callers)
    event_base_loopbreak (load.base);
}

static guint
pause_before_next (const Caller *caller, const LoadResult *result)
{
  if (result->verdict == LOAD_RIGHT)
    return settings.think_msec;
  guint pause = MAX (settings.think_msec, 10);
  if (settings.quick_retry == 0 && result->retry_after > 0)
    pause = MAX (pause, result->retry_after * 1000);
  return pause;
}

static void
on_result (const LoadResult *result, gpointer data)
{
  Caller *caller = data;
  load.open -= 1;
  load_report_add (load.report, &caller->request, result);
  if (result->verdict == LOAD_WRONG)
    dp_log (DP_LOG_ERROR, "wrong_answer", "request", caller->request.id, "reason",
            result->reason, NULL);
  caller->failed = result->verdict != LOAD_RIGHT || settings.keep_alive == 0;
  if (result->verdict == LOAD_RIGHT)
    caller->tries_left = 0;
  schedule (caller, pause_before_next (caller, result));
}

static void
ask (Caller *caller)
{
  if (caller->failed)
    {
      g_clear_pointer (&caller->connection, evhttp_connection_free);
      caller->entry = (caller->entry + 1) % load.entry_count;
      caller->failed = FALSE;
    }
  if (caller->connection == NULL)
    open_connection (caller);
  load.open += 1;
  load_exchange_start (&(LoadExchangeOptions){
    .connection = caller->connection,
    .request = &caller->request,
    .done = on_result,
    .data = caller,
  });
}

static void
start_twin (const Caller *caller)
{
  Caller *twin = caller_new ((caller->entry + 1) % load.entry_count);
  twin->is_twin = TRUE;
  copy_request (&twin->request, &caller->request);
  ask (twin);
}

static void
begin_request (Caller *caller)
{
  load_request_clear (&caller->request);
  fill_request (&caller->request);
  caller->tries_left = settings.retries;
  if (caller->request.kind == LOAD_BOOKING
      && random_between (0, 99) < settings.duplicate_percent)
    start_twin (caller);
  ask (caller);
}

static void
caller_step (Caller *caller)
{
  if (caller->is_twin)
    caller_free (caller);
  else if (caller->tries_left > 0 && !load.stopping)
    {
      caller->tries_left -= 1;
      ask (caller);
      return;
    }
  else if (load.stopping || load.issued >= settings.requests)
    {
      load.idle += 1;
      caller_free (caller);
    }
  else
    {
      begin_request (caller);
      return;
    }
  stop_if_done ();
}

static void
on_drained (evutil_socket_t fd, short events, void *data)
{
  event_base_loopbreak (load.base);
}

static void
on_time (evutil_socket_t fd, short events, void *data)
{
  const struct timeval drain = { DRAIN_SECONDS + settings.timeout_msec / 1000, 0 };
  load.stopping = TRUE;
  event_base_once (load.base, -1, EV_TIMEOUT, on_drained, NULL, &drain);
}

static void
on_signal (evutil_socket_t number, short events, void *data)
{
  load.stopping = TRUE;
}

static void
run_callers (void)
{
  for (guint i = 0; i < settings.callers; i++)
    {
      Caller *caller = caller_new (i % load.entry_count);
      schedule (caller, settings.ramp_msec * i / settings.callers);
    }
  const struct timeval end = { settings.seconds, 0 };
  event_base_once (load.base, -1, EV_TIMEOUT, on_time, NULL, &end);
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
    g_ptr_array_add (bodies, standin_body (req, NULL));
  event_base_loopbreak (load.base);
}

static void
fetch_effects (const Address *service, GPtrArray *bodies)
{
  struct evhttp_connection *connection
    = evhttp_connection_base_new (load.base, NULL, service->ip, service->port);
  evhttp_connection_set_timeout (connection, EFFECTS_TIMEOUT_SECONDS);
  struct evhttp_request *req = evhttp_request_new (on_effects, bodies);
  evhttp_make_request (connection, req, EVHTTP_REQ_GET, "/effects");
  event_base_dispatch (load.base);
  evhttp_connection_free (connection);
}

/* Number of violations; a service that can't be asked is one. */
static guint
check_effects (GString *out)
{
  GPtrArray *bodies = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < load.services->len; i++)
    fetch_effects (g_ptr_array_index (load.services, i), bodies);
  guint violations = load.services->len - bodies->len;
  if (load.services->len > 0)
    violations += load_report_check_effects (load.report, bodies, out);
  g_ptr_array_unref (bodies);
  return violations;
}

/* --- settings --- */

enum
{
  OPTION_CALLERS = 256,
  OPTION_REQUESTS,
  OPTION_SECONDS,
  OPTION_SEED,
  OPTION_STREAM,
  OPTION_BOOKING,
  OPTION_DUPLICATE,
  OPTION_RETRIES,
  OPTION_PROMPT_MIN,
  OPTION_PROMPT_MAX,
  OPTION_TOKENS_MIN,
  OPTION_TOKENS_MAX,
  OPTION_SHARED,
  OPTION_TIMEOUT,
  OPTION_THINK,
  OPTION_RAMP,
  OPTION_QUICK,
  OPTION_KEEP,
  OPTION_MODEL,
  OPTION_BOOKING_PATH,
  OPTION_DIRECT,
  OPTION_SERVICE,
};

typedef struct NumberOption
{
  int key;
  guint *value;
} NumberOption;

static const NumberOption number_options[] = {
  { OPTION_CALLERS, &settings.callers },
  { OPTION_REQUESTS, &settings.requests },
  { OPTION_SECONDS, &settings.seconds },
  { OPTION_SEED, &settings.seed },
  { OPTION_STREAM, &settings.stream_percent },
  { OPTION_BOOKING, &settings.booking_percent },
  { OPTION_DUPLICATE, &settings.duplicate_percent },
  { OPTION_RETRIES, &settings.retries },
  { OPTION_PROMPT_MIN, &settings.prompt_min },
  { OPTION_PROMPT_MAX, &settings.prompt_max },
  { OPTION_TOKENS_MIN, &settings.tokens_min },
  { OPTION_TOKENS_MAX, &settings.tokens_max },
  { OPTION_SHARED, &settings.shared_prefix },
  { OPTION_TIMEOUT, &settings.timeout_msec },
  { OPTION_THINK, &settings.think_msec },
  { OPTION_RAMP, &settings.ramp_msec },
  { OPTION_QUICK, &settings.quick_retry },
  { OPTION_KEEP, &settings.keep_alive },
};

static const struct argp_option options[] = {
  { "entry", 'e', "IP:PORT", 0, "where to ask; may be given several times" },
  { "key", 'k', "KEY:TIER", 0, "access key and the name of its tier in the report" },
  { "direct", OPTION_DIRECT, NULL, 0, "the entry is an engine: streams only" },
  { "callers", OPTION_CALLERS, "N", 0, "callers at once" },
  { "requests", OPTION_REQUESTS, "N", 0, "requests in all" },
  { "seconds", OPTION_SECONDS, "N", 0, "no new requests after that time" },
  { "seed", OPTION_SEED, "N", 0, "seed of the mix" },
  { "stream-percent", OPTION_STREAM, "N", 0, "share of streamed chats" },
  { "booking-percent", OPTION_BOOKING, "N", 0, "share of bookings; the rest are whole chats" },
  { "duplicate-percent", OPTION_DUPLICATE, "N", 0, "bookings sent to two entries at once" },
  { "retries", OPTION_RETRIES, "N", 0, "times that a request is sent again" },
  { "quick-retry", OPTION_QUICK, "0|1", 0, "don't wait for Retry-After" },
  { "keep-alive", OPTION_KEEP, "0|1", 0, "use a connection again" },
  { "prompt-min", OPTION_PROMPT_MIN, "BYTES", 0, "length of prompts" },
  { "prompt-max", OPTION_PROMPT_MAX, "BYTES", 0, "" },
  { "shared-prefix", OPTION_SHARED, "BYTES", 0, "text that all prompts begin with" },
  { "tokens-min", OPTION_TOKENS_MIN, "N", 0, "length of answers" },
  { "tokens-max", OPTION_TOKENS_MAX, "N", 0, "" },
  { "timeout", OPTION_TIMEOUT, "MS", 0, "of a request; 0: the tier's" },
  { "think", OPTION_THINK, "MS", 0, "pause of a caller between requests" },
  { "ramp", OPTION_RAMP, "MS", 0, "time in which the callers start" },
  { "model", OPTION_MODEL, "NAME", 0, "model of the chats" },
  { "booking-path", OPTION_BOOKING_PATH, "PATH", 0, "path of the bookings" },
  { "service", OPTION_SERVICE, "IP:PORT", 0, "service whose effects are checked at the end" },
  { 0 },
};

static guint
tier_index (const char *name)
{
  for (guint i = 0; i < load.tier_count; i++)
    {
      if (strcmp (load.tiers[i], name) == 0)
        return i;
    }
  load.tiers[load.tier_count] = g_strdup (name);
  load.tier_count += 1;
  return load.tier_count - 1;
}

static void
add_key (const char *arg, struct argp_state *state)
{
  const char *colon = strrchr (arg, ':');
  if (colon == NULL || load.key_count == TIERS_MAX)
    {
      argp_error (state, "not KEY:TIER, or too many: %s", arg);
      return;
    }
  AccessKey *key = &load.keys[load.key_count];
  key->key = g_strndup (arg, (gsize)(colon - arg));
  key->tier = tier_index (colon + 1);
  load.key_count += 1;
}

static Address
parse_address (const char *arg, struct argp_state *state)
{
  Address address = { 0 };
  if (!standin_parse_address (arg, &address.ip, &address.port))
    argp_error (state, "not IP:PORT: %s", arg);
  return address;
}

static error_t
parse_number (int key, const char *arg, struct argp_state *state)
{
  for (guint i = 0; i < G_N_ELEMENTS (number_options); i++)
    {
      if (number_options[i].key != key)
        continue;
      guint64 number;
      if (!g_ascii_string_to_unsigned (arg, 10, 0, G_MAXINT32, &number, NULL))
        argp_error (state, "not a number: %s", arg);
      *number_options[i].value = (guint)number;
      return 0;
    }
  return ARGP_ERR_UNKNOWN;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Address address;
  switch (key)
    {
    case 'e':
      if (load.entry_count == ENTRIES_MAX)
        argp_error (state, "too many entries");
      load.entries[load.entry_count] = parse_address (arg, state);
      load.entry_count += 1;
      return 0;
    case 'k':
      add_key (arg, state);
      return 0;
    case OPTION_DIRECT:
      settings.direct = TRUE;
      return 0;
    case OPTION_MODEL:
      settings.model = arg;
      return 0;
    case OPTION_BOOKING_PATH:
      settings.booking_path = arg;
      return 0;
    case OPTION_SERVICE:
      address = parse_address (arg, state);
      g_ptr_array_add (load.services, g_memdup2 (&address, sizeof address));
      return 0;
    case ARGP_KEY_END:
      if (load.entry_count == 0 || settings.callers == 0)
        argp_error (state, "--entry or --callers is missing");
      return 0;
    default:
      return parse_number (key, arg, state);
    }
}

/* Text that is the same in each prompt, such as a menu. */
static char *
make_shared_text (void)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; text->len < settings.shared_prefix; i++)
    g_string_append_printf (text, "dish %u, ", i);
  return g_string_free (text, FALSE);
}

static gboolean
print_report (void)
{
  GString *out = g_string_new (NULL);
  guint violations = check_effects (out);
  load_report_format (load.report, out);
  guint stuck = load.open;
  g_string_append_printf (out, "stuck=%u\n", stuck);
  g_print ("%s", out->str);
  g_string_free (out, TRUE);
  return violations == 0 && stuck == 0 && load_report_count (load.report, LOAD_WRONG) == 0
         && load_report_count (load.report, LOAD_RIGHT) > 0;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
    = { options, parse_option, NULL, "Callers that check each answer." };
  signal (SIGPIPE, SIG_IGN);
  dp_log_init ("standin-load", DP_LOG_INFO);
  load.services = g_ptr_array_new_with_free_func (g_free);
  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  if (load.tier_count == 0)
    tier_index ("none");

  load.base = event_base_new ();
  load.random = g_rand_new_with_seed (settings.seed);
  load.shared_text = make_shared_text ();
  load.report = load_report_new (load.tiers, load.tier_count);
  run_callers ();
  gboolean good = print_report ();
  load_report_free (load.report);
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
