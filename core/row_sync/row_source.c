/* What other VMs are sent of this VM's state. */
#include "core/row_sync/row_sync_private.h"

/* Earlier states that others may have, or are being sent, are kept as long as they are asked
 * for; each takes a pointer for each of its rows. */
#define VERSION_LIFETIME (10 * DP_USEC_PER_SEC)
#define VERSIONS_MAX 64
/* Differences between two states that several VMs ask for. */
#define DELTAS_MAX 8
/* VMs that wait for the budget. */
#define ASKS_MAX 4096

typedef struct Ask
{
  DpName from;
  DpRowsAsk ask;
} Ask;

static void
free_delta (gpointer data)
{
  dp_row_delta_free (data);
}

void
dp_row_source_init (DpRowSync *sync)
{
  sync->deltas = g_ptr_array_new_with_free_func (free_delta);
  sync->asks = g_array_new (FALSE, FALSE, sizeof (Ask));
}

void
dp_row_source_clear (DpRowSync *sync)
{
  g_ptr_array_unref (sync->deltas);
  g_array_unref (sync->asks);
}

void
dp_row_source_expire (DpRowSync *sync, DpUsec now)
{
  guint i = 0;
  while (i + 1 < sync->versions->len)
    {
      const DpRowVersion *version = &g_array_index (sync->versions, DpRowVersion, i);
      if (now - version->used_at > VERSION_LIFETIME || sync->versions->len > VERSIONS_MAX)
        g_array_remove_index (sync->versions, i);
      else
        i++;
    }
}

/* The state with that digest, or NULL. The newest one with it comes first. */
static DpRowVersion *
find_version (const DpRowSync *sync, guint64 digest)
{
  for (guint i = sync->versions->len; i > 0; i--)
    {
      DpRowVersion *version = &g_array_index (sync->versions, DpRowVersion, i - 1);
      if (version->list->digest == digest)
        return version;
    }
  return NULL;
}

static DpRowDelta *
obtain_delta (DpRowSync *sync, DpRowList *base, DpRowList *list)
{
  for (guint i = 0; i < sync->deltas->len; i++)
    {
      DpRowDelta *delta = g_ptr_array_index (sync->deltas, i);
      if (dp_row_delta_is_of (delta, base, list))
        return delta;
    }
  if (sync->deltas->len >= DELTAS_MAX)
    g_ptr_array_remove_index (sync->deltas, 0);
  DpRowDelta *delta = dp_row_delta_new (base, list);
  g_ptr_array_add (sync->deltas, delta);
  return delta;
}

static void
send_part (DpRowSync *sync, const Ask *ask, const DpRowVersion *version, DpRowList *base)
{
  gboolean is_continued = ask->ask.wanted == version->list->digest;
  guint first = is_continued ? MIN (ask->ask.first, version->list->rows->len) : 0;
  DpRowDelta *delta = obtain_delta (sync, base, version->list);
  DpMessage message = { .type = DP_MESSAGE_ROWS };
  message.rows = (DpRowsPart){ .kind = sync->options.kind,
                               .version = version->version,
                               .digest = version->list->digest,
                               .base_digest = base != NULL ? base->digest : 0,
                               .first = first,
                               .total = version->list->rows->len,
                               .age = sync->options.callbacks->age (sync->options.user),
                               .steps = dp_row_delta_encode (delta, first, DP_ROW_PART_BYTES) };
  gsize bytes = g_bytes_get_size (message.rows.steps);
  sync->options.callbacks->send (sync->options.user, ask->from, &message);
  sync->options.budget->bytes -= (gint64)bytes;
  sync->status.parts_sent++;
  sync->status.bytes_sent += bytes;
  dp_message_clear (&message);
}

/* A VM that has the newest state already gets no answer. */
static void
answer (DpRowSync *sync, const Ask *ask, DpUsec now)
{
  DpRowVersion *current = dp_row_sync_current (sync);
  DpRowVersion *version = find_version (sync, ask->ask.wanted);
  if (version == NULL)
    version = current;
  if (version == NULL || dp_store_version_compare (version->version, ask->ask.version) <= 0)
    return;
  version->used_at = now;
  DpRowVersion *base
    = ask->ask.base_digest != 0 ? find_version (sync, ask->ask.base_digest) : NULL;
  if (base != NULL)
    base->used_at = now;
  send_part (sync, ask, version, base != NULL ? base->list : NULL);
}

void
dp_row_source_on_ask (DpRowSync *sync, DpName from, const DpRowsAsk *ask, DpUsec now)
{
  const Ask row = { .from = from, .ask = *ask };
  for (guint i = 0; i < sync->asks->len; i++)
    if (g_array_index (sync->asks, Ask, i).from == from)
      {
        g_array_index (sync->asks, Ask, i) = row;
        return;
      }
  if (sync->asks->len < ASKS_MAX)
    g_array_append_val (sync->asks, row);
}

void
dp_row_source_serve (DpRowSync *sync, DpUsec now)
{
  guint served = 0;
  while (served < sync->asks->len && sync->options.budget->bytes > 0)
    {
      const Ask ask = g_array_index (sync->asks, Ask, served);
      served++;
      answer (sync, &ask, now);
    }
  if (served > 0)
    g_array_remove_range (sync->asks, 0, served);
}
