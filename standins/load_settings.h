/* Settings of the load client, from its flags. */
#pragma once

#include <glib.h>

#define LOAD_TIERS_MAX 16
#define LOAD_ENTRIES_MAX 64

/* Where callers or services listen. */
typedef struct LoadAddress
{
  char *ip;
  guint16 port;
} LoadAddress;

typedef struct LoadAccessKey
{
  char *key;
  guint tier;
} LoadAccessKey;

typedef struct LoadSettings
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
  LoadAddress entries[LOAD_ENTRIES_MAX];
  guint entry_count;
  LoadAddress services[LOAD_ENTRIES_MAX]; /* whose effects are checked */
  guint service_count;
  LoadAccessKey keys[LOAD_TIERS_MAX];
  guint key_count;
  const char *tiers[LOAD_TIERS_MAX];
  guint tier_count; /* at least 1 */
} LoadSettings;

/* Parses the flags; on a wrong one prints why and exits. The result is static. */
const LoadSettings *load_settings_parse (int argc, char **argv);
