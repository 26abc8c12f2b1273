/* Command-line settings of the load client. */
#pragma once

#include <glib.h>

#define LOAD_TIERS_MAX 16
#define LOAD_ENTRIES_MAX 64

/* Address of an entry or a service. */
typedef struct LoadAddress
{
  char *ip;
  guint16 port;
} LoadAddress;

typedef struct LoadAccessKey
{
  char *key;
  guint tier; /* index into LoadSettings.tiers */
} LoadAccessKey;

typedef struct LoadSettings
{
  guint callers;
  guint requests; /* total, without retries and duplicates */
  guint seconds;  /* after this time, no new requests are sent */
  guint seed;
  guint stream_percent;
  guint booking_percent;   /* the rest: chats without streaming */
  guint duplicate_percent; /* of bookings; sent to two entries at once */
  guint retries;           /* per request that got no right response */
  guint prompt_min;        /* bytes */
  guint prompt_max;
  guint tokens_min; /* of the response */
  guint tokens_max;
  guint shared_prefix; /* bytes; common to all prompts */
  guint timeout_msec;  /* 0: the tier's default */
  guint think_msec;    /* pause of a caller between requests */
  guint ramp_msec;     /* period over which the callers start */
  guint quick_retry;   /* 1: ignore Retry-After */
  guint keep_alive;    /* 1: reuse connections */
  char *model;
  char *booking_path;
  gboolean direct; /* the entries are engines: streamed chats only */
  LoadAddress entries[LOAD_ENTRIES_MAX];
  guint entry_count;
  LoadAddress services[LOAD_ENTRIES_MAX]; /* whose effects are checked */
  guint service_count;
  LoadAccessKey keys[LOAD_TIERS_MAX];
  guint key_count;
  const char *tiers[LOAD_TIERS_MAX];
  guint tier_count; /* at least 1 */
} LoadSettings;

/* Parses the flags; prints an error and exits if one is invalid. The result is static. */
const LoadSettings *load_settings_parse (int argc, char **argv);
