#include "core/admission/admission.h"

/* About 40 bytes each. */
#define RETURNS_MAX 20000

struct DpReturns
{
  GHashTable *until; /* guint64: hash of the request -> DpUsec */
};

DpReturns *
dp_returns_new (void)
{
  DpReturns *returns = g_new0 (DpReturns, 1);
  returns->until = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return returns;
}

void
dp_returns_free (DpReturns *returns)
{
  g_hash_table_unref (returns->until);
  g_free (returns);
}

/* A caller that comes back sends a new request id, but the same prompt and lengths. */
static guint64
hash_request (const DpGrantAsk *ask)
{
  const guint64 parts[] = { ask->session, ask->prompt_tokens, ask->output_tokens };
  return dp_hash_bytes (parts, sizeof parts, 1);
}

static gboolean
has_expired (gpointer key, gpointer until, gpointer now)
{
  return *(const DpUsec *)until < *(const DpUsec *)now;
}

void
dp_returns_expect (DpReturns *returns, const DpGrantAsk *ask, DpUsec until, DpUsec now)
{
  if (ask->session == 0)
    return;
  if (g_hash_table_size (returns->until) >= RETURNS_MAX)
    g_hash_table_foreach_remove (returns->until, has_expired, &now);
  if (g_hash_table_size (returns->until) >= RETURNS_MAX)
    return;
  guint64 hash = hash_request (ask);
  g_hash_table_insert (returns->until, g_memdup2 (&hash, sizeof hash),
                       g_memdup2 (&until, sizeof until));
}

gboolean
dp_returns_take (DpReturns *returns, const DpGrantAsk *ask, DpUsec now)
{
  if (ask->session == 0)
    return FALSE;
  guint64 hash = hash_request (ask);
  const DpUsec *until = g_hash_table_lookup (returns->until, &hash);
  if (until == NULL)
    return FALSE;
  gboolean is_expected = now <= *until;
  g_hash_table_remove (returns->until, &hash);
  return is_expected;
}

guint
dp_returns_count (const DpReturns *returns)
{
  return g_hash_table_size (returns->until);
}
