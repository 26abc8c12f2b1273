/* standin-engine: simulates a model engine; its responses are derived from the requests.
 * The protocol is in docs/INTERFACES.md, "Model engine". */
#include "standins/engine.h"

#include "common/log.h"
#include "common/prefix.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX ((gsize)16 * 1024 * 1024)

const char *argp_program_version = "standin-engine " DP_VERSION;

typedef struct Settings
{
  char *address;
  guint16 port;
  guint control_port;
  guint prefill_rate;
  guint decode_rate;
  guint stream_rate;
  guint slots;
  guint kv_tokens;
  guint load_interval;     /* ms */
  guint cache_event_delay; /* ms */
  gboolean ignore_fence;
} Settings;

static Settings settings = {
  .prefill_rate = 8000,
  .decode_rate = 2000,
  .stream_rate = 200,
  .slots = 64,
  .kv_tokens = 262144,
};
static Engine engine;

static const FaultSwitch fault_switches[] = {
  { "die_at_token", .number = &engine.faults.die_at_token },
  { "silent_at_token", .number = &engine.faults.silent_at_token },
  { "cut_at_token", .number = &engine.faults.cut_at_token },
  { "cut", .text = &engine.faults.cut },
  { "framing", .text = &engine.faults.framing },
  { "slow_percent", .number = &engine.faults.slow_percent },
  { "crossed", .number = &engine.faults.crossed },
  { "error_status", .number = &engine.faults.error_status },
  { "poison", .text = &engine.faults.poison },
  { "refuse", .number = &engine.faults.refuse },
  { "ignore_cancel", .number = &engine.faults.ignore_cancel },
};

typedef struct NumberOption
{
  int key;
  guint *value;
} NumberOption;

enum
{
  OPTION_PREFILL_RATE = 256,
  OPTION_DECODE_RATE,
  OPTION_STREAM_RATE,
  OPTION_SLOTS,
  OPTION_KV_TOKENS,
  OPTION_CONTROL_PORT,
  OPTION_LOAD_LAG,
  OPTION_EVENTS_LATE,
  OPTION_IGNORE_FENCE,
};

static const NumberOption number_options[] = {
  { OPTION_PREFILL_RATE, &settings.prefill_rate },
  { OPTION_DECODE_RATE, &settings.decode_rate },
  { OPTION_STREAM_RATE, &settings.stream_rate },
  { OPTION_SLOTS, &settings.slots },
  { OPTION_KV_TOKENS, &settings.kv_tokens },
  { OPTION_CONTROL_PORT, &settings.control_port },
  { OPTION_LOAD_LAG, &settings.load_interval },
  { OPTION_EVENTS_LATE, &settings.cache_event_delay },
};

static const struct argp_option options[] = {
  { "listen", 'l', "IP:PORT", 0, "address for requests" },
  { "control-port", OPTION_CONTROL_PORT, "PORT", 0, "additional port for /fault and /stats" },
  { "prefill-rate", OPTION_PREFILL_RATE, "N", 0, "prompt tokens per second; 0: no limit" },
  { "decode-rate", OPTION_DECODE_RATE, "N", 0, "total output tokens per second; 0: no limit" },
  { "stream-rate", OPTION_STREAM_RATE, "N", 0,
    "output tokens per second and stream; 0: no limit" },
  { "slots", OPTION_SLOTS, "N", 0, "maximum number of requests in the batch" },
  { "kv-tokens", OPTION_KV_TOKENS, "N", 0, "size of the prefix cache in tokens" },
  { "load-lag", OPTION_LOAD_LAG, "MS", 0, "minimum interval between new load reports" },
  { "events-late", OPTION_EVENTS_LATE, "MS", 0, "delay before cache events are reported" },
  { "ignore-fence", OPTION_IGNORE_FENCE, NULL, 0,
    "accept orders with lower fencing numbers than earlier ones" },
  { "fault", 'f', "NAME=VALUE", 0, "set a fault switch" },
  { 0 },
};

static error_t
parse_number (int key, const char *arg, struct argp_state *state)
{
  for (guint i = 0; i < G_N_ELEMENTS (number_options); i++)
    {
      if (number_options[i].key != key)
        continue;
      guint64 number;
      if (!g_ascii_string_to_unsigned (arg, 10, 0, G_MAXUINT32, &number, NULL))
        argp_error (state, "invalid number: %s", arg);
      *number_options[i].value = (guint)number;
      return 0;
    }
  return ARGP_ERR_UNKNOWN;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 'l':
      if (!standin_parse_address (arg, &settings.address, &settings.port))
        argp_error (state, "invalid address, expected IP:PORT: %s", arg);
      return 0;
    case 'f':
      if (!fault_set (&engine.fault_table, arg))
        argp_error (state, "unknown fault switch or invalid value: %s", arg);
      return 0;
    case OPTION_IGNORE_FENCE:
      settings.ignore_fence = TRUE;
      return 0;
    case ARGP_KEY_END:
      if (settings.address == NULL)
        argp_error (state, "--listen is required");
      return 0;
    default:
      return parse_number (key, arg, state);
    }
}

DpUsec
engine_now (void)
{
  return g_get_monotonic_time ();
}

static void
apply_process_faults (void)
{
  gint64 percent = engine.faults.slow_percent;
  double factor = percent > 0 ? 100.0 / (double)percent : 1.0;
  engine_model_set_slowdown (engine.model, factor);
  standin_server_refuse (engine.server, engine.faults.refuse == 1);
}

static void
handle_control (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_request_path (req);
  if (strcmp (path, "/fault") == 0)
    {
      fault_handle (&engine.fault_table, req);
      apply_process_faults ();
      return;
    }
  if (strcmp (path, "/stats") == 0)
    {
      engine_status_stats (&engine, req);
      return;
    }
  standin_reply (req, 404, NULL, "");
}

static void
handle_request (struct evhttp_request *req, gpointer data)
{
  static const char attempts[] = "/v1/attempts/";
  const char *path = standin_request_path (req);
  enum evhttp_cmd_type method = evhttp_request_get_command (req);
  if (strcmp (path, "/v1/chat/completions") == 0 && method == EVHTTP_REQ_POST)
    engine_stream_begin (&engine, req);
  else if (g_str_has_prefix (path, attempts) && method == EVHTTP_REQ_DELETE)
    engine_stream_cancel (&engine, req, path + strlen (attempts));
  else if (strcmp (path, "/load") == 0)
    engine_status_load (&engine, req);
  else if (strcmp (path, "/orders") == 0)
    engine_status_orders (&engine, req);
  else
    handle_control (req, data);
}

static void
on_tick (evutil_socket_t fd, short events, void *data)
{
  engine_model_advance (engine.model, engine_now ());
  if (engine_model_running (engine.model) + engine_model_waiting (engine.model) == 0)
    event_del (engine.tick_timer);
}

static EngineModel *
make_model (void)
{
  return engine_model_new (&(EngineModelOptions){
    .prefill_rate = settings.prefill_rate,
    .decode_rate = settings.decode_rate,
    .stream_rate = settings.stream_rate,
    .slots = settings.slots,
    .cache_blocks = settings.kv_tokens / DP_PREFIX_BLOCK_TOKENS,
    .on_token = engine_stream_token,
  });
}

int
main (int argc, char **argv)
{
  static const struct argp parser
    = { options, parse_option, NULL, "Simulates a model engine." };
  signal (SIGPIPE, SIG_IGN);
  dp_log_init ("standin-engine", DP_LOG_INFO);
  engine.fault_table
    = (FaultTable){ .switches = fault_switches, .count = G_N_ELEMENTS (fault_switches) };
  fault_clear (&engine.fault_table);
  argp_parse (&parser, argc, argv, 0, NULL, NULL);

  engine.base = event_base_new ();
  engine.model = make_model ();
  engine.streams = g_hash_table_new (g_str_hash, g_str_equal);
  engine.boot = (guint64)g_get_real_time ();
  engine.load_interval = settings.load_interval * DP_USEC_PER_MSEC;
  engine.cache_event_delay = settings.cache_event_delay * DP_USEC_PER_MSEC;
  engine.check_fence = !settings.ignore_fence;
  engine.server = standin_server_new (&(StandinServerOptions){
    .base = engine.base,
    .address = settings.address,
    .port = settings.port,
    .control_port = (guint16)settings.control_port,
    .body_max = BODY_MAX,
    .handle = handle_request,
    .control = handle_control,
  });
  if (engine.server == NULL)
    return EXIT_FAILURE;
  apply_process_faults ();
  engine.tick_timer = event_new (engine.base, -1, EV_PERSIST, on_tick, NULL);
  standin_run (engine.base);
  return EXIT_SUCCESS;
}
