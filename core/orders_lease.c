/* The lease: taken, renewed, given back and lost by conditional updates of one object.
 *
 * The holder counts its lease from the moment it sent the write that won; an observer counts
 * from the moment it first saw that version, which is later. So the holder stops first, as long
 * as the two clocks run at rates that differ by less than the margin.
 */
#include "core/orders_private.h"

/* How often a candidate looks at another holder's lease. */
#define LEASE_READ_EVERY (1 * DP_USEC_PER_SEC)
/* A call without a reply for this long counts as lost. */
#define LEASE_CALL_TIMEOUT (3 * DP_USEC_PER_SEC)
/* Key of the rendezvous order among the VMs of a data centre. */
#define LEASE_RENDEZVOUS_KEY "orders"

static void
count (DpOrdersBoard *board, const char *event)
{
  dp_counters_add (board->options.counters, "dogwoodplank_orders_lease_total", "event", event,
                   1);
}

/* Only the first VM in rendezvous order asks for the lease. This saves calls; safety rests on
 * the conditional update alone. */
static gboolean
is_candidate (const DpOrdersBoard *board)
{
  if (board->view == NULL)
    return FALSE;
  const DpVm *first;
  DpName key = dp_name_pair (dp_name (LEASE_RENDEZVOUS_KEY), board->options.data_centre);
  if (dp_view_rank (board->view, key, board->options.data_centre, &first, 1) == 0)
    return FALSE;
  return first->name == board->options.vm;
}

static gboolean
is_mine (const DpOrdersBoard *board, const DpLease *lease)
{
  return lease->holder == board->options.vm && lease->incarnation == board->options.incarnation;
}

static void
start_read (DpOrdersBoard *board, DpUsec now, GArray *actions)
{
  LeaseTable *lease = &board->lease;
  lease->call = LEASE_CALL_READ;
  lease->call_sent_at = now;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_LEASE_READ };
  g_array_append_val (actions, action);
}

static void
start_write (DpOrdersBoard *board, DpName holder, DpUsec now, GArray *actions)
{
  LeaseTable *lease = &board->lease;
  lease->call = LEASE_CALL_WRITE;
  lease->call_sent_at = now;
  lease->call_gives_back = holder == 0;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_LEASE_WRITE };
  action.lease_write.expected_version = lease->seen_version;
  action.lease_write.lease.holder = holder;
  action.lease_write.lease.incarnation = board->options.incarnation;
  g_array_append_val (actions, action);
}

static void
note_seen (LeaseTable *lease, guint64 version, const DpLease *value, DpUsec now)
{
  if (version == lease->seen_version && version != 0)
    return;
  lease->seen_version = version;
  lease->seen = *value;
  lease->seen_since = now;
}

static void
lose (DpOrdersBoard *board, const char *why)
{
  if (board->lease.phase == LEASE_HELD)
    count (board, why);
  board->lease.phase = LEASE_NOT_HELD;
}

static void
retry_later (DpOrdersBoard *board, DpUsec now)
{
  board->lease.failures++;
  board->lease.next_call_at = now + dp_orders_backoff (board, board->lease.failures);
}

/* Our write won: the lease is ours from the moment it was sent. Orders of a former holder, or
 * our own from before a pause, may still be under way. */
static void
become_holder (DpOrdersBoard *board, guint64 version, DpUsec now)
{
  LeaseTable *lease = &board->lease;
  gboolean is_new = lease->phase != LEASE_HELD;
  if (is_new)
    {
      lease->orders_from = now + DP_ORDER_PAUSE_MARGIN;
      dp_orders_engines_forget (board, now);
    }
  DpLease mine = { board->options.vm, board->options.incarnation };
  note_seen (lease, version, &mine, now);
  lease->phase = LEASE_HELD;
  lease->read_before_use = FALSE;
  lease->fence = version;
  lease->valid_until = lease->call_sent_at + DP_LEASE_DURATION - DP_LEASE_MARGIN;
  lease->next_call_at = lease->call_sent_at + DP_LEASE_RENEW_EVERY;
  if (is_new)
    count (board, "taken");
}

/* Takes the lease if it is free, lapsed, or ours from a write whose answer was lost. */
static void
decide_after_read (DpOrdersBoard *board, DpUsec now, GArray *actions)
{
  LeaseTable *lease = &board->lease;
  gboolean is_free = lease->seen.holder == 0 || is_mine (board, &lease->seen);
  gboolean has_lapsed = now - lease->seen_since >= DP_LEASE_DURATION;
  if (!is_candidate (board) || (!is_free && !has_lapsed))
    {
      lease->next_call_at = now + LEASE_READ_EVERY;
      return;
    }
  start_write (board, board->options.vm, now, actions);
}

static void
on_read_reply (DpOrdersBoard *board, const DpLeaseReply *reply, DpUsec now, GArray *actions)
{
  LeaseTable *lease = &board->lease;
  DpLease nobody = { 0, 0 };
  switch (reply->result)
    {
    case DP_STORE_OK:
      note_seen (lease, reply->version, &reply->lease, now);
      break;
    case DP_STORE_ABSENT:
      note_seen (lease, 0, &nobody, now);
      break;
    default:
      retry_later (board, now);
      return;
    }
  lease->failures = 0;
  if (!is_mine (board, &lease->seen))
    lose (board, "lost_to_another");
  decide_after_read (board, now, actions);
}

static void
on_write_reply (DpOrdersBoard *board, const DpLeaseReply *reply, DpUsec now)
{
  LeaseTable *lease = &board->lease;
  if (reply->result == DP_STORE_OK)
    {
      lease->failures = 0;
      if (lease->call_gives_back)
        note_seen (lease, reply->version, &(DpLease){ 0, 0 }, now);
      else
        become_holder (board, reply->version, now);
      return;
    }
  /* After a conflict or a lost answer only a read tells whose lease it is. What is held stays
   * valid until its own time is up. */
  if (reply->result == DP_STORE_CONFLICT)
    {
      count (board, "conflict");
      lease->next_call_at = now;
      return;
    }
  retry_later (board, now);
}

void
dp_orders_lease_on_reply (DpOrdersBoard *board,
                          const DpLeaseReply *reply,
                          DpUsec now,
                          GArray *actions)
{
  LeaseTable *lease = &board->lease;
  LeaseCall expected = reply->is_write ? LEASE_CALL_WRITE : LEASE_CALL_READ;
  if (lease->call != expected)
    {
      count (board, "late_reply");
      return;
    }
  lease->call = LEASE_CALL_NONE;
  if (reply->is_write)
    on_write_reply (board, reply, now);
  else
    on_read_reply (board, reply, now, actions);
  /* Any result but a clean one is settled by reading before the next write. */
  if (reply->result != DP_STORE_OK && reply->result != DP_STORE_ABSENT)
    lease->read_before_use = TRUE;
}

void
dp_orders_lease_distrust (DpOrdersBoard *board, DpUsec now)
{
  lose (board, "paused");
  board->lease.read_before_use = TRUE;
  board->lease.next_call_at = now;
}

static void
expire_call (DpOrdersBoard *board, DpUsec now)
{
  LeaseTable *lease = &board->lease;
  if (lease->call == LEASE_CALL_NONE || now - lease->call_sent_at < LEASE_CALL_TIMEOUT)
    return;
  count (board, "call_timeout");
  lease->call = LEASE_CALL_NONE;
  lease->read_before_use = TRUE;
  retry_later (board, now);
}

static void
expire_lease (DpOrdersBoard *board, DpUsec now)
{
  if (board->lease.phase == LEASE_HELD && now >= board->lease.valid_until)
    lose (board, "lapsed");
}

void
dp_orders_lease_on_tick (DpOrdersBoard *board, DpUsec now, GArray *actions)
{
  LeaseTable *lease = &board->lease;
  expire_call (board, now);
  expire_lease (board, now);
  if (lease->call != LEASE_CALL_NONE || now < lease->next_call_at)
    return;
  gboolean holds = lease->phase == LEASE_HELD;
  if (holds && !is_candidate (board))
    {
      /* Given back, so that the next one need not wait for it to lapse. */
      start_write (board, 0, now, actions);
      lose (board, "released");
      return;
    }
  if (!is_candidate (board))
    return;
  if (holds && !lease->read_before_use)
    start_write (board, board->options.vm, now, actions);
  else
    start_read (board, now, actions);
}
