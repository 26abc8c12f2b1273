#include "standins/load_settings.h"

#include "standins/http.h"

#include <argp.h>
#include <string.h>

const char *argp_program_version = "standin-load " DP_VERSION;

static LoadSettings settings = {
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
  { "entry", 'e', "IP:PORT", 0, "entry to send requests to; repeatable" },
  { "key", 'k', "KEY:TIER", 0, "access key, and its tier's name in the report; repeatable" },
  { "direct", OPTION_DIRECT, NULL, 0, "--entry is an engine; send only streamed chats" },
  { "callers", OPTION_CALLERS, "N", 0, "number of concurrent callers" },
  { "requests", OPTION_REQUESTS, "N", 0, "total number of requests" },
  { "seconds", OPTION_SECONDS, "N", 0, "send no new requests after this time" },
  { "seed", OPTION_SEED, "N", 0, "seed of the random request mix" },
  { "stream-percent", OPTION_STREAM, "N", 0, "share of streamed chats" },
  { "booking-percent", OPTION_BOOKING, "N", 0,
    "share of bookings; the rest are chats without streaming" },
  { "duplicate-percent", OPTION_DUPLICATE, "N", 0,
    "share of bookings sent to two entries at once" },
  { "retries", OPTION_RETRIES, "N", 0, "retries of a request without a right response" },
  { "quick-retry", OPTION_QUICK, "0|1", 0, "1: ignore Retry-After" },
  { "keep-alive", OPTION_KEEP, "0|1", 0, "1: reuse connections" },
  { "prompt-min", OPTION_PROMPT_MIN, "BYTES", 0, "minimum length of a prompt" },
  { "prompt-max", OPTION_PROMPT_MAX, "BYTES", 0, "maximum length of a prompt" },
  { "shared-prefix", OPTION_SHARED, "BYTES", 0, "length of the prefix that all prompts share" },
  { "tokens-min", OPTION_TOKENS_MIN, "N", 0, "minimum length of a response" },
  { "tokens-max", OPTION_TOKENS_MAX, "N", 0, "maximum length of a response" },
  { "timeout", OPTION_TIMEOUT, "MS", 0, "timeout of a request; 0: the tier's default" },
  { "think", OPTION_THINK, "MS", 0, "pause of a caller between requests" },
  { "ramp", OPTION_RAMP, "MS", 0, "period over which the callers start" },
  { "model", OPTION_MODEL, "NAME", 0, "model that chats request" },
  { "booking-path", OPTION_BOOKING_PATH, "PATH", 0, "path that bookings are posted to" },
  { "service", OPTION_SERVICE, "IP:PORT", 0,
    "service whose effects are checked at the end; repeatable" },
  { 0 },
};

static guint
find_or_add_tier (const char *name)
{
  for (guint i = 0; i < settings.tier_count; i++)
    {
      if (strcmp (settings.tiers[i], name) == 0)
        return i;
    }
  settings.tiers[settings.tier_count] = g_strdup (name);
  settings.tier_count += 1;
  return settings.tier_count - 1;
}

static void
add_key (const char *arg, struct argp_state *state)
{
  const char *colon = strrchr (arg, ':');
  if (colon == NULL || settings.key_count == LOAD_TIERS_MAX)
    {
      argp_error (state, "expected KEY:TIER, or too many keys: %s", arg);
      return;
    }
  LoadAccessKey *key = &settings.keys[settings.key_count];
  key->key = g_strndup (arg, (gsize)(colon - arg));
  key->tier = find_or_add_tier (colon + 1);
  settings.key_count += 1;
}

static LoadAddress
parse_address (const char *arg, struct argp_state *state)
{
  LoadAddress address = { 0 };
  if (!standin_parse_address (arg, &address.ip, &address.port))
    argp_error (state, "invalid address, expected IP:PORT: %s", arg);
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
    case 'e':
      if (settings.entry_count == LOAD_ENTRIES_MAX)
        argp_error (state, "too many --entry options");
      settings.entries[settings.entry_count] = parse_address (arg, state);
      settings.entry_count += 1;
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
      if (settings.service_count == LOAD_ENTRIES_MAX)
        argp_error (state, "too many --service options");
      settings.services[settings.service_count] = parse_address (arg, state);
      settings.service_count += 1;
      return 0;
    case ARGP_KEY_END:
      if (settings.entry_count == 0 || settings.callers == 0)
        argp_error (state, "--entry is missing, or --callers is 0");
      return 0;
    default:
      return parse_number (key, arg, state);
    }
}

const LoadSettings *
load_settings_parse (int argc, char **argv)
{
  static const struct argp parser
    = { options, parse_option, NULL, "Generates load and verifies every response." };
  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  if (settings.tier_count == 0)
    find_or_add_tier ("none");
  return &settings;
}
