#include "core/idempotency_key.h"

#include <string.h>

#define UUID_LENGTH 36
/* Seeds of the two independent 64-bit hashes that form a 128-bit record id. */
#define RECORD_SEED_HIGH 0x6b657901
#define RECORD_SEED_LOW 0x6b657902

static gboolean
is_dash_position (int i)
{
  return i == 8 || i == 13 || i == 18 || i == 23;
}

static gboolean
has_uuid_form (const char *text)
{
  if (strnlen (text, UUID_LENGTH + 1) != UUID_LENGTH)
    return FALSE;
  for (int i = 0; i < UUID_LENGTH; i++)
    {
      gboolean fits = is_dash_position (i) ? text[i] == '-' : g_ascii_isxdigit (text[i]);
      if (!fits)
        return FALSE;
    }
  return TRUE;
}

gboolean
dp_idempotency_key_parse (const char *text, DpUsec *created)
{
  if (text == NULL || !has_uuid_form (text))
    return FALSE;
  gboolean is_version_7 = text[14] == '7';
  gboolean is_rfc_variant = (g_ascii_xdigit_value (text[19]) & 0xc) == 0x8;
  if (!is_version_7 || !is_rfc_variant)
    return FALSE;
  guint64 milliseconds = 0;
  for (int i = 0; i < 13; i++)
    if (!is_dash_position (i))
      milliseconds = (milliseconds << 4) | (guint64)g_ascii_xdigit_value (text[i]);
  *created = (DpUsec)milliseconds * DP_USEC_PER_MSEC;
  return TRUE;
}

DpId
dp_idempotency_key_record_id (DpName workspace, const char *text)
{
  /* UUIDs are case-insensitive. */
  char *lower = g_ascii_strdown (text, -1);
  gsize length = strlen (lower);
  DpId id = {
    .high = dp_hash_bytes (lower, length, workspace ^ RECORD_SEED_HIGH),
    .low = dp_hash_bytes (lower, length, workspace ^ RECORD_SEED_LOW),
  };
  g_free (lower);
  return id;
}

DpBucketId
dp_idempotency_key_bucket (DpId record, DpUsec created)
{
  DpBucketId bucket = {
    .slot = (guint32)(created / DP_CLAIM_SLOT_USEC),
    .index = (guint32)(record.low % DP_CLAIM_BUCKETS_PER_SLOT),
  };
  return bucket;
}
