/* The lease: acquired, renewed and released by conditional updates of one object.
 *
 * The holder measures the lease from when it sent the successful write, other VMs from when
 * they first saw the new version, which is later. So the holder stops first, provided that the
 * rates of the two clocks differ by less than DP_LEASE_CLOCK_MARGIN over the lease.
 */
#include "core/orders_private.h"

/* How often a candidate reads a lease that another VM holds. */
#define LEASE_READ_INTERVAL (1 * DP_USEC_PER_SEC)
#define LEASE_CALL_TIMEOUT (3 * DP_USEC_PER_SEC)
/* Hash key that ranks the VMs of a data centre for the lease. */
#define LEASE_RENDEZVOUS_KEY "orders"

static void
count (DpOrdersCore *core, const char *event)
{
  dp_counters_add (core->options.counters, "dogwoodplank_orders_lease_total", "event", event,
                   1);
}

/* Only the first VM in rendezvous order tries to acquire the lease. This only saves calls; the
 * conditional update alone guarantees a single holder. */
static gboolean
is_candidate (const DpOrdersCore *core)
{
  if (core->view == NULL)
    return FALSE;
  const DpVm *first;
  DpName key = dp_name_pair (dp_name (LEASE_RENDEZVOUS_KEY), core->options.data_centre);
  if (dp_view_rank (core->view, key, core->options.data_centre, &first, 1) == 0)
    return FALSE;
  return first->name == core->options.vm;
}

static gboolean
is_ours (const DpOrdersCore *core, const DpLease *lease)
{
  return lease->holder == core->options.vm && lease->incarnation == core->options.incarnation;
}

static void
start_read (DpOrdersCore *core, DpUsec now, GArray *actions)
{
  LeaseState *lease = &core->lease;
  lease->call = LEASE_CALL_READ;
  lease->call_sent_at = now;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_LEASE_READ };
  g_array_append_val (actions, action);
}

static void
start_write (DpOrdersCore *core, DpName holder, DpUsec now, GArray *actions)
{
  LeaseState *lease = &core->lease;
  lease->call = LEASE_CALL_WRITE;
  lease->call_sent_at = now;
  lease->call_is_release = holder == 0;
  DpOrdersAction action = { .type = DP_ORDERS_ACTION_LEASE_WRITE };
  action.lease_write.expected_version = lease->seen_version;
  action.lease_write.lease.holder = holder;
  action.lease_write.lease.incarnation = core->options.incarnation;
  g_array_append_val (actions, action);
}

static void
record_seen (LeaseState *lease, guint64 version, const DpLease *value, DpUsec now)
{
  if (version == lease->seen_version && version != 0)
    return;
  lease->seen_version = version;
  lease->seen = *value;
  lease->seen_since = now;
}

static void
end_lease (DpOrdersCore *core, const char *event)
{
  if (core->lease.phase == LEASE_HELD)
    count (core, event);
  core->lease.phase = LEASE_NOT_HELD;
}

static void
retry_later (DpOrdersCore *core, DpUsec now)
{
  core->lease.failures++;
  core->lease.next_call_at = now + dp_orders_backoff (core, core->lease.failures);
}

/* Our write succeeded: the lease runs from when it was sent. Orders of the previous holder, or
 * our own from before a pause, may still be in flight. */
static void
on_acquired (DpOrdersCore *core, guint64 version, DpUsec now)
{
  LeaseState *lease = &core->lease;
  gboolean is_new = lease->phase != LEASE_HELD;
  if (is_new)
    {
      lease->first_order_at = now + DP_ORDER_DELAY_MAX;
      dp_orders_engines_invalidate (core, now);
    }
  DpLease ours = { core->options.vm, core->options.incarnation };
  record_seen (lease, version, &ours, now);
  lease->phase = LEASE_HELD;
  lease->needs_read = FALSE;
  lease->fence = version;
  lease->valid_until = lease->call_sent_at + DP_LEASE_DURATION - DP_LEASE_CLOCK_MARGIN;
  lease->next_call_at = lease->call_sent_at + DP_LEASE_RENEW_INTERVAL;
  if (is_new)
    count (core, "taken");
}

/* Acquires the lease if it is free, expired, or ours by a write whose reply was lost. */
static void
try_acquire (DpOrdersCore *core, DpUsec now, GArray *actions)
{
  LeaseState *lease = &core->lease;
  gboolean is_free = lease->seen.holder == 0 || is_ours (core, &lease->seen);
  gboolean has_expired = now - lease->seen_since >= DP_LEASE_DURATION;
  if (!is_candidate (core) || (!is_free && !has_expired))
    {
      lease->next_call_at = now + LEASE_READ_INTERVAL;
      return;
    }
  start_write (core, core->options.vm, now, actions);
}

static void
on_read_reply (DpOrdersCore *core, const DpLeaseReply *reply, DpUsec now, GArray *actions)
{
  LeaseState *lease = &core->lease;
  DpLease none = { 0, 0 };
  switch (reply->result)
    {
    case DP_STORE_OK:
      record_seen (lease, reply->version, &reply->lease, now);
      break;
    case DP_STORE_ABSENT:
      record_seen (lease, 0, &none, now);
      break;
    default:
      retry_later (core, now);
      return;
    }
  lease->failures = 0;
  if (!is_ours (core, &lease->seen))
    end_lease (core, "lost_to_another");
  try_acquire (core, now, actions);
}

static void
on_write_reply (DpOrdersCore *core, const DpLeaseReply *reply, DpUsec now)
{
  LeaseState *lease = &core->lease;
  if (reply->result == DP_STORE_OK)
    {
      lease->failures = 0;
      if (lease->call_is_release)
        record_seen (lease, reply->version, &(DpLease){ 0, 0 }, now);
      else
        on_acquired (core, reply->version, now);
      return;
    }
  /* After a conflict or a lost reply only a read shows who holds the lease. A lease that we
   * hold stays valid until it expires. */
  if (reply->result == DP_STORE_CONFLICT)
    {
      count (core, "conflict");
      lease->next_call_at = now;
      return;
    }
  retry_later (core, now);
}

void
dp_orders_lease_on_reply (DpOrdersCore *core,
                          const DpLeaseReply *reply,
                          DpUsec now,
                          GArray *actions)
{
  LeaseState *lease = &core->lease;
  LeaseCall expected = reply->is_write ? LEASE_CALL_WRITE : LEASE_CALL_READ;
  if (lease->call != expected)
    {
      count (core, "late_reply");
      return;
    }
  lease->call = LEASE_CALL_NONE;
  if (reply->is_write)
    on_write_reply (core, reply, now);
  else
    on_read_reply (core, reply, now, actions);
  /* After a failed call the state of the object is unknown, so it is read before the next
   * write. */
  if (reply->result != DP_STORE_OK && reply->result != DP_STORE_ABSENT)
    lease->needs_read = TRUE;
}

void
dp_orders_lease_invalidate (DpOrdersCore *core, DpUsec now)
{
  end_lease (core, "paused");
  core->lease.needs_read = TRUE;
  core->lease.next_call_at = now;
}

static void
expire_call (DpOrdersCore *core, DpUsec now)
{
  LeaseState *lease = &core->lease;
  if (lease->call == LEASE_CALL_NONE || now - lease->call_sent_at < LEASE_CALL_TIMEOUT)
    return;
  count (core, "call_timeout");
  lease->call = LEASE_CALL_NONE;
  lease->needs_read = TRUE;
  retry_later (core, now);
}

static void
expire_lease (DpOrdersCore *core, DpUsec now)
{
  if (core->lease.phase == LEASE_HELD && now >= core->lease.valid_until)
    end_lease (core, "lapsed");
}

void
dp_orders_lease_on_tick (DpOrdersCore *core, DpUsec now, GArray *actions)
{
  LeaseState *lease = &core->lease;
  expire_call (core, now);
  expire_lease (core, now);
  if (lease->call != LEASE_CALL_NONE || now < lease->next_call_at)
    return;
  gboolean holds = lease->phase == LEASE_HELD;
  if (holds && !is_candidate (core))
    {
      /* Released, so that the next holder need not wait for it to expire. */
      start_write (core, 0, now, actions);
      end_lease (core, "released");
      return;
    }
  if (!is_candidate (core))
    return;
  if (holds && !lease->needs_read)
    start_write (core, core->options.vm, now, actions);
  else
    start_read (core, now, actions);
}
