/* What this VM asks other VMs for, and when. */
#include "core/row_sync/row_sync_private.h"

/* A part that did not come within this time is asked for again, of another VM if there is one.
 * The time doubles with each consecutive timeout: on a link that is full, more would only
 * lengthen the queue. */
#define PART_TIMEOUT (400 * DP_USEC_PER_MSEC)
#define PART_TIMEOUT_MAX DP_USEC_PER_SEC
/* A transfer is given up after so many consecutive timeouts. */
#define TIMEOUTS_MAX 6
/* Statements are repeated more often than this. */
#define STATEMENT_AGE_MAX (1500 * DP_USEC_PER_MSEC)
/* Another VM than the relay that this one follows is asked only after this time. */
#define OTHERS_DELAY (300 * DP_USEC_PER_MSEC)
/* A VM that did not answer is asked last for this time. */
#define FAILURE_MEMORY (2 * DP_USEC_PER_SEC)
/* VMs of which a statement is kept. */
#define PEERS_MAX 4096

void
dp_row_follower_init (DpRowSync *sync)
{
  sync->peers = g_array_new (FALSE, FALSE, sizeof (DpRowPeer));
}

static void
end_transfer (DpRowSync *sync)
{
  g_clear_pointer (&sync->transfer.rows, g_ptr_array_unref);
  sync->transfer = (DpRowTransfer){ 0 };
}

void
dp_row_follower_clear (DpRowSync *sync)
{
  end_transfer (sync);
  g_array_unref (sync->peers);
}

/* --- what others have --- */

/* TRUE if the version can't be used. Another one with the same digest may be: what was refused
 * may have been confirmed by the store too long ago. */
static gboolean
is_refused (const DpRowSync *sync, DpStoreVersion version, guint64 digest)
{
  return digest == sync->refused
         && dp_store_version_compare (version, sync->refused_version) <= 0;
}

static gboolean
is_newer (const DpRowSync *sync, const DpRowStatement *statement)
{
  DpStoreVersion own = dp_row_sync_version (sync);
  return dp_store_version_compare (statement->version, own) > 0
         && (statement->digest == 0
             || (statement->digest != dp_row_sync_digest (sync)
                 && !is_refused (sync, statement->version, statement->digest)));
}

static gboolean
is_heard (const DpRowPeer *peer, DpUsec now)
{
  return now - peer->heard_at <= STATEMENT_AGE_MAX;
}

static DpRowPeer *
obtain_peer (DpRowSync *sync, DpName vm, DpUsec now)
{
  DpRowPeer *oldest = NULL;
  for (guint i = 0; i < sync->peers->len; i++)
    {
      DpRowPeer *peer = &g_array_index (sync->peers, DpRowPeer, i);
      if (peer->vm == vm)
        return peer;
      if (oldest == NULL || peer->heard_at < oldest->heard_at)
        oldest = peer;
    }
  const DpRowPeer peer = { .vm = vm, .heard_at = now };
  if (oldest != NULL
      && (sync->peers->len >= PEERS_MAX || now - oldest->heard_at > STATEMENT_AGE_MAX))
    {
      *oldest = peer;
      return oldest;
    }
  g_array_append_val (sync->peers, peer);
  return &g_array_index (sync->peers, DpRowPeer, sync->peers->len - 1);
}

/* A relay has stated this VM's version, or an older one, perhaps before this VM got it. */
static void
confirm_by (DpRowSync *sync, const DpRowPeer *peer)
{
  if (peer->statement.is_relay && dp_row_sync_list (sync) != NULL
      && dp_store_version_compare (peer->statement.version, dp_row_sync_version (sync)) <= 0)
    sync->confirmed_at = MAX (sync->confirmed_at, peer->heard_at);
}

/* Compares this VM's state with what the others stated last. */
static void
update_behind (DpRowSync *sync, DpUsec now)
{
  gboolean is_behind = FALSE;
  gboolean is_obtainable = FALSE;
  for (guint i = 0; i < sync->peers->len; i++)
    {
      DpRowPeer *peer = &g_array_index (sync->peers, DpRowPeer, i);
      confirm_by (sync, peer);
      if (!is_newer (sync, &peer->statement))
        peer->newer_since = 0;
      else if (peer->newer_since == 0)
        peer->newer_since = now;
      if (peer->newer_since == 0 || !is_heard (peer, now))
        continue;
      is_behind = TRUE;
      is_obtainable |= peer->statement.service != DP_ROW_SERVICE_NONE;
    }
  sync->is_obtainable = is_obtainable;
  if (!is_behind)
    sync->behind_since = 0;
  else if (sync->behind_since == 0)
    sync->behind_since = sync->progressed_at = now;
}

static gboolean
has_failed (const DpRowPeer *peer, DpUsec now)
{
  return peer->failed_at != 0 && now - peer->failed_at < FAILURE_MEMORY;
}

/* TRUE if `a` is to be asked rather than `b`. Between equals a hash decides, so that the VMs
 * divide between the relays. */
static gboolean
is_preferred (const DpRowSync *sync, const DpRowPeer *a, const DpRowPeer *b, DpUsec now)
{
  if (has_failed (a, now) != has_failed (b, now))
    return has_failed (b, now);
  if (a->statement.is_relay != b->statement.is_relay)
    return a->statement.is_relay;
  return dp_rendezvous_weight (sync->options.self, a->vm)
         > dp_rendezvous_weight (sync->options.self, b->vm);
}

/* The relay that this VM follows, whether it has a newer state or not; NULL: none is heard. */
static const DpRowPeer *
find_own_relay (const DpRowSync *sync, DpUsec now)
{
  const DpRowPeer *best = NULL;
  for (guint i = 0; i < sync->peers->len; i++)
    {
      const DpRowPeer *peer = &g_array_index (sync->peers, DpRowPeer, i);
      if (peer->statement.is_relay && is_heard (peer, now)
          && peer->statement.service == DP_ROW_SERVICE_ROWS
          && (best == NULL || is_preferred (sync, peer, best, now)))
        best = peer;
    }
  return best;
}

/* Returns a VM with a newer state, or NULL. Others than this VM's relay are asked after a
 * delay: they may have the same state in another order, which would cost a whole transfer, and
 * it is not their task. */
static const DpRowPeer *
choose_peer (const DpRowSync *sync, DpUsec now)
{
  const DpRowPeer *relay = find_own_relay (sync, now);
  const DpRowPeer *best = NULL;
  for (guint i = 0; i < sync->peers->len; i++)
    {
      const DpRowPeer *peer = &g_array_index (sync->peers, DpRowPeer, i);
      if (peer->newer_since == 0 || !is_heard (peer, now)
          || peer->statement.service != DP_ROW_SERVICE_ROWS
          || (relay != NULL && peer != relay && now - peer->newer_since < OTHERS_DELAY))
        continue;
      if (best == NULL || is_preferred (sync, peer, best, now))
        best = peer;
    }
  return best;
}

/* --- asking --- */

static void
ask (DpRowSync *sync, DpName vm, DpUsec now)
{
  DpRowTransfer *transfer = &sync->transfer;
  transfer->from = vm;
  transfer->is_awaiting = TRUE;
  transfer->asked_at = now;
  DpMessage message = { .type = DP_MESSAGE_ROWS_ASK };
  message.rows_ask
    = (DpRowsAsk){ .kind = sync->options.kind,
                   .version = dp_row_sync_version (sync),
                   .base_digest = sync->needs_full ? 0 : dp_row_sync_digest (sync),
                   .wanted = transfer->digest,
                   .first = transfer->rows != NULL ? transfer->rows->len : 0 };
  sync->options.callbacks->send (sync->options.user, vm, &message);
}

static DpUsec
part_timeout (const DpRowTransfer *transfer)
{
  return MIN (PART_TIMEOUT << MIN (transfer->timeouts, 8), PART_TIMEOUT_MAX);
}

static void
on_timeout (DpRowSync *sync, DpUsec now)
{
  DpRowTransfer *transfer = &sync->transfer;
  for (guint i = 0; i < sync->peers->len; i++)
    {
      DpRowPeer *peer = &g_array_index (sync->peers, DpRowPeer, i);
      if (peer->vm == transfer->from)
        peer->failed_at = now;
    }
  sync->status.timeouts++;
  if (++transfer->timeouts > TIMEOUTS_MAX)
    {
      end_transfer (sync);
      return;
    }
  const DpRowPeer *peer = choose_peer (sync, now);
  ask (sync, peer != NULL ? peer->vm : transfer->from, now);
}

static void
continue_transfer (DpRowSync *sync, DpUsec now)
{
  DpRowTransfer *transfer = &sync->transfer;
  if (!transfer->is_awaiting)
    ask (sync, transfer->from, now);
  else if (now - transfer->asked_at >= part_timeout (transfer))
    on_timeout (sync, now);
}

static void
begin_transfer (DpRowSync *sync, DpUsec now)
{
  const DpRowPeer *peer = choose_peer (sync, now);
  if (peer == NULL)
    return;
  sync->transfer = (DpRowTransfer){ .digest = peer->statement.digest };
  ask (sync, peer->vm, now);
}

void
dp_row_follower_advance (DpRowSync *sync, DpUsec now)
{
  update_behind (sync, now);
  /* What was asked for has come another way. */
  if (sync->transfer.rows == NULL && sync->behind_since == 0)
    end_transfer (sync);
  if (sync->transfer.from != 0)
    continue_transfer (sync, now);
  else if (sync->behind_since != 0)
    begin_transfer (sync, now);
}

void
dp_row_sync_ask_any (DpRowSync *sync, DpName vm, DpUsec now)
{
  if (sync->transfer.from == 0)
    ask (sync, vm, now);
}

/* The state that this VM has is that of a version. */
static void
confirm (DpRowSync *sync, DpStoreVersion version)
{
  DpRowVersion *current = dp_row_sync_current (sync);
  if (dp_store_version_compare (version, current->version) <= 0)
    return;
  current->version = version;
  sync->options.callbacks->confirm (sync->options.user, version);
}

void
dp_row_sync_on_statement (DpRowSync *sync,
                          DpName from,
                          const DpRowStatement *statement,
                          DpUsec now)
{
  if (statement->digest != 0 && statement->digest == dp_row_sync_digest (sync))
    confirm (sync, statement->version);
  DpRowPeer *peer = obtain_peer (sync, from, now);
  gboolean is_relay
    = statement->is_relay
      || (peer->statement.is_relay && now - peer->heard_at <= STATEMENT_AGE_MAX);
  /* A relay's other messages state no digest. */
  if (statement->is_relay || !is_relay
      || dp_store_version_compare (statement->version, peer->statement.version) > 0)
    {
      peer->statement = *statement;
      peer->statement.is_relay = is_relay;
      peer->heard_at = now;
    }
  update_behind (sync, now);
  if (sync->transfer.from == 0 && sync->behind_since != 0)
    begin_transfer (sync, now);
}

void
dp_row_follower_on_set (DpRowSync *sync)
{
  const DpRowTransfer *transfer = &sync->transfer;
  if (transfer->rows != NULL
      && dp_store_version_compare (transfer->version, dp_row_sync_version (sync)) <= 0)
    end_transfer (sync);
}

void
dp_row_sync_on_pause (DpRowSync *sync, DpUsec now)
{
  if (sync->transfer.is_awaiting)
    sync->transfer.asked_at = now;
  sync->progressed_at = now;
}

/* --- parts --- */

/* What came can't be used: the next transfer starts with the whole state. */
static void
refuse_part (DpRowSync *sync)
{
  sync->status.parts_refused++;
  sync->needs_full = TRUE;
  end_transfer (sync);
}

/* Starts with the first part of a state. FALSE if the part is not to be used. */
static gboolean
take_up (DpRowSync *sync, DpName from, const DpRowsPart *part, DpUsec now)
{
  DpRowTransfer *transfer = &sync->transfer;
  if (transfer->rows != NULL && transfer->digest == part->digest
      && part->first == transfer->rows->len)
    return TRUE;
  if (part->first != 0)
    {
      /* The answer to an earlier question, or the other VM no longer has the state. */
      if (transfer->from == from && transfer->is_awaiting && transfer->digest != part->digest)
        end_transfer (sync);
      return FALSE;
    }
  if (transfer->rows != NULL
      && dp_store_version_compare (part->version, transfer->version) <= 0)
    return FALSE;
  end_transfer (sync);
  transfer->from = from;
  transfer->begun_at = now;
  transfer->rows = dp_row_array_new (MIN (part->total, DP_ROW_LIST_ROWS_MAX));
  return TRUE;
}

static gsize
count_bytes (const GPtrArray *rows, guint from)
{
  gsize bytes = 0;
  for (guint i = from; i < rows->len; i++)
    bytes += ((const DpRow *)g_ptr_array_index (rows, i))->length;
  return bytes;
}

static void
complete (DpRowSync *sync, const DpRowsPart *part, DpUsec now)
{
  DpRowTransfer *transfer = &sync->transfer;
  gboolean is_full = transfer->is_full;
  DpRowList *list = dp_row_list_new (g_steal_pointer (&transfer->rows));
  end_transfer (sync);
  if (list->digest != part->digest)
    refuse_part (sync);
  else if (!sync->options.callbacks->apply (sync->options.user, part->version, part->age, list))
    {
      sync->refused = list->digest;
      sync->refused_version = part->version;
    }
  else
    {
      sync->status.lists_received++;
      sync->status.fulls_received += is_full;
      sync->needs_full = FALSE;
      dp_row_sync_set (sync, part->version, list, now);
    }
  dp_row_list_unref (list);
}

static void
add_part (DpRowSync *sync, const DpRowsPart *part, DpUsec now)
{
  DpRowTransfer *transfer = &sync->transfer;
  DpRowList *base = part->base_digest != 0 ? dp_row_sync_list (sync) : NULL;
  guint count_before = transfer->rows->len;
  GError *error = NULL;
  gboolean ok = part->base_digest == 0 || part->base_digest == dp_row_sync_digest (sync);
  ok = ok && part->steps != NULL
       && dp_row_delta_decode (base, part->steps, transfer->rows, &error);
  g_clear_error (&error);
  gboolean is_progress = transfer->rows->len > count_before || part->total == 0;
  transfer->bytes += count_bytes (transfer->rows, count_before);
  if (!ok || !is_progress || transfer->rows->len > part->total
      || part->total > DP_ROW_LIST_ROWS_MAX || transfer->bytes > DP_ROW_LIST_BYTES_MAX)
    {
      refuse_part (sync);
      return;
    }
  transfer->digest = part->digest;
  transfer->version = part->version;
  transfer->total = part->total;
  transfer->is_full |= part->base_digest == 0;
  transfer->is_awaiting = FALSE;
  transfer->timeouts = 0;
  if (transfer->rows->len == part->total)
    complete (sync, part, now);
}

void
dp_row_sync_on_part (DpRowSync *sync, DpName from, const DpRowsPart *part, DpUsec now)
{
  sync->status.parts_received++;
  if (part->digest == 0
      || dp_store_version_compare (part->version, dp_row_sync_version (sync)) <= 0)
    return;
  if (part->digest == dp_row_sync_digest (sync))
    {
      end_transfer (sync);
      confirm (sync, part->version);
    }
  else if (!is_refused (sync, part->version, part->digest) && take_up (sync, from, part, now))
    {
      sync->progressed_at = now;
      add_part (sync, part, now);
    }
  update_behind (sync, now);
}
