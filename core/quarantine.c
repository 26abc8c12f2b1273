#include "core/quarantine.h"

/* A crash breaks all open responses of a target at once: further failures of the same target
 * within this time are not counted. */
#define SAME_TARGET_INTERVAL (2 * DP_USEC_PER_SEC)

typedef struct Row
{
  guint failures;
  DpName target; /* of the last counted failure */
  DpUsec counted_at;
  DpUsec blocked_until;
  DpUsec remembered_until;
} Row;

struct DpQuarantineTable
{
  DpQuarantineOptions options;
  GHashTable *rows; /* fingerprint -> Row */
};

DpQuarantineTable *
dp_quarantine_new (const DpQuarantineOptions *options)
{
  DpQuarantineTable *table = g_new0 (DpQuarantineTable, 1);
  table->options = *options;
  table->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return table;
}

void
dp_quarantine_free (DpQuarantineTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->rows);
  g_free (table);
}

gboolean
dp_quarantine_blocks (const DpQuarantineTable *table,
                      guint64 fingerprint,
                      DpUsec now,
                      DpUsec *remaining)
{
  const Row *row = g_hash_table_lookup (table->rows, &fingerprint);
  if (row == NULL || row->failures < table->options.failures_max || now >= row->blocked_until)
    return FALSE;
  if (remaining != NULL)
    *remaining = row->blocked_until - now;
  return TRUE;
}

/* Returns NULL if the table is full. */
static Row *
find_row (DpQuarantineTable *table, guint64 fingerprint)
{
  Row *row = g_hash_table_lookup (table->rows, &fingerprint);
  if (row == NULL && g_hash_table_size (table->rows) < table->options.rows_max)
    {
      row = g_new0 (Row, 1);
      g_hash_table_insert (table->rows, g_memdup2 (&fingerprint, sizeof fingerprint), row);
    }
  return row;
}

guint
dp_quarantine_record_failure (DpQuarantineTable *table,
                              guint64 fingerprint,
                              DpName target,
                              DpUsec now)
{
  Row *row = find_row (table, fingerprint);
  if (row == NULL)
    return 0;
  gboolean is_same_crash = row->failures > 0 && row->target == target
                           && now - row->counted_at < SAME_TARGET_INTERVAL;
  row->remembered_until = now + table->options.memory_duration;
  row->blocked_until = now + table->options.block_duration;
  if (is_same_crash)
    return 0;
  row->failures += 1;
  row->target = target;
  row->counted_at = now;
  return row->failures;
}

gboolean
dp_quarantine_clear (DpQuarantineTable *table, guint64 fingerprint)
{
  return g_hash_table_remove (table->rows, &fingerprint);
}

void
dp_quarantine_merge (DpQuarantineTable *table, const DpQuarantine *message, DpUsec now)
{
  if (message->failures == 0)
    {
      g_hash_table_remove (table->rows, &message->fingerprint);
      return;
    }
  Row *row = find_row (table, message->fingerprint);
  if (row == NULL)
    return;
  if (message->failures > row->failures)
    {
      row->target = message->target;
      row->counted_at = now;
    }
  row->failures = MAX (row->failures, message->failures);
  /* Don't trust a sender's time beyond this process's own limit. */
  DpUsec remaining = CLAMP (message->remaining, 0, table->options.block_duration);
  row->blocked_until = MAX (row->blocked_until, now + remaining);
  row->remembered_until
    = MAX (row->remembered_until, now + MAX (remaining, table->options.memory_duration));
}

DpMessage
dp_quarantine_message (const DpQuarantineTable *table, guint64 fingerprint, DpUsec now)
{
  DpMessage message = { .type = DP_MESSAGE_QUARANTINE };
  message.quarantine.fingerprint = fingerprint;
  const Row *row = g_hash_table_lookup (table->rows, &fingerprint);
  if (row == NULL)
    return message;
  message.quarantine.failures = row->failures;
  message.quarantine.remaining = MAX (row->blocked_until - now, 0);
  message.quarantine.target = row->target;
  return message;
}

guint
dp_quarantine_count (const DpQuarantineTable *table)
{
  return g_hash_table_size (table->rows);
}

void
dp_quarantine_tick (DpQuarantineTable *table, DpUsec now)
{
  GHashTableIter iter;
  gpointer row;
  g_hash_table_iter_init (&iter, table->rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    if (now >= ((Row *)row)->remembered_until)
      g_hash_table_iter_remove (&iter);
}
