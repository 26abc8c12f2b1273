/* Limits of workspaces over all entries together: requests in flight and request rate.
 *
 * Soft state. Entries report twice a second what they hold, so a new owner knows the requests
 * in flight after one heartbeat. Until then, usage can reach twice the limit. The same applies
 * while entries query two VMs: for some seconds after an owner became unresponsive, and during
 * a partition.
 */
#include "core/scheduler_private.h"

/* After this long without a report, an entry no longer counts. */
#define HOLDER_TIMEOUT (3 * DP_USEC_PER_SEC)

/* What one entry holds of a workspace's limit. */
typedef struct Holder
{
  guint held;
  guint64 sequence; /* of its last request */
  guint given;      /* in reply to that request */
  DpUsec last_seen_at;
} Holder;

typedef struct LimitRow
{
  double tokens; /* requests that may start now */
  DpUsec tokens_at;
  GHashTable *holders; /* VM -> Holder */
} LimitRow;

static void
row_free (gpointer data)
{
  LimitRow *row = data;
  g_hash_table_unref (row->holders);
  g_free (row);
}

GHashTable *
dp_limits_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, row_free);
}

static LimitRow *
obtain_row (DpSchedulerCore *core, const DpWorkspace *workspace)
{
  LimitRow *row = g_hash_table_lookup (core->limits, &workspace->name);
  if (row != NULL)
    return row;
  row = g_new0 (LimitRow, 1);
  double warmed_up = (double)(core->now - core->limits_since) / (double)DP_USEC_PER_SEC;
  row->tokens = workspace->requests_per_second * CLAMP (warmed_up, 0, 1);
  row->tokens_at = core->now;
  row->holders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_insert (core->limits, g_memdup2 (&workspace->name, sizeof workspace->name), row);
  return row;
}

void
dp_limits_reset (DpSchedulerCore *core)
{
  g_hash_table_remove_all (core->limits);
  core->limits_since = core->now;
}

static Holder *
obtain_holder (LimitRow *row, DpName entry)
{
  Holder *holder = g_hash_table_lookup (row->holders, &entry);
  if (holder != NULL)
    return holder;
  holder = g_new0 (Holder, 1);
  g_hash_table_insert (row->holders, g_memdup2 (&entry, sizeof entry), holder);
  return holder;
}

static guint
total_held (const LimitRow *row)
{
  guint total = 0;
  GHashTableIter iter;
  gpointer holder;
  g_hash_table_iter_init (&iter, row->holders);
  while (g_hash_table_iter_next (&iter, NULL, &holder))
    total += ((const Holder *)holder)->held;
  return total;
}

static void
refill (LimitRow *row, const DpWorkspace *workspace, DpUsec now)
{
  double rate = workspace->requests_per_second;
  double elapsed = (double)(now - row->tokens_at) / (double)DP_USEC_PER_SEC;
  row->tokens = MIN (row->tokens + elapsed * rate, rate);
  row->tokens_at = now;
}

static void
send_given (DpSchedulerCore *core, DpName entry, const DpLimitGiven *given)
{
  DpSchedulerAction *action = dp_scheduler_send (core, entry, DP_MESSAGE_LIMIT_GIVEN);
  action->message.limit_given = *given;
}

/* Time until the rate limit allows another request. */
static DpUsec
time_to_next_token (const LimitRow *row, const DpWorkspace *workspace)
{
  double missing = MAX (1 - row->tokens, 0);
  return (DpUsec)(missing / workspace->requests_per_second * (double)DP_USEC_PER_SEC) + 1;
}

static void
allocate (DpSchedulerCore *core,
          const DpWorkspace *workspace,
          LimitRow *row,
          const DpLimitAsk *request,
          DpLimitGiven *given)
{
  refill (row, workspace, core->now);
  guint held = total_held (row);
  guint by_count = request->want;
  if (workspace->requests_in_flight > 0)
    by_count = workspace->requests_in_flight > held ? workspace->requests_in_flight - held : 0;
  guint by_rate = request->want;
  if (workspace->requests_per_second > 0)
    by_rate = (guint)MAX (row->tokens, 0);
  given->given = MIN (request->want, MIN (by_count, by_rate));
  row->tokens -= given->given;
  if (given->given == request->want)
    return;
  if (by_count < by_rate)
    {
      given->reason = DP_REASON_TOO_MANY_IN_FLIGHT;
      return;
    }
  given->reason = DP_REASON_RATE_LIMITED;
  given->retry_after = time_to_next_token (row, workspace);
}

void
dp_limits_ask (DpSchedulerCore *core, DpName entry, const DpLimitAsk *request)
{
  DpLimitGiven given = { .workspace = request->workspace, .sequence = request->sequence };
  int index = core->manifest != NULL
                ? dp_manifest_find (core->manifest, DP_MANIFEST_WORKSPACE, request->workspace)
                : -1;
  if (index < 0)
    {
      /* The entry's manifest is newer; ours has no limit for this workspace. */
      given.given = request->want;
      if (request->want > 0)
        send_given (core, entry, &given);
      return;
    }
  const DpWorkspace *workspace
    = DP_MANIFEST_ROW (core->manifest, workspaces, DpWorkspace, (guint)index);
  LimitRow *row = obtain_row (core, workspace);
  Holder *holder = obtain_holder (row, entry);
  gboolean is_repeat = request->sequence == holder->sequence;
  holder->last_seen_at = core->now;
  holder->held = request->held;
  if (request->want == 0)
    return;
  if (is_repeat)
    given.given = MIN (holder->given, request->want);
  else
    allocate (core, workspace, row, request, &given);
  holder->sequence = request->sequence;
  holder->given = given.given;
  holder->held += given.given;
  send_given (core, entry, &given);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const DpSchedulerCore *core = user;
  return core->now - ((const Holder *)value)->last_seen_at > HOLDER_TIMEOUT;
}

void
dp_limits_tick (DpSchedulerCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LimitRow *row = value;
      g_hash_table_foreach_remove (row->holders, is_expired, core);
      if (g_hash_table_size (row->holders) == 0 && core->now - row->tokens_at > HOLDER_TIMEOUT)
        g_hash_table_iter_remove (&iter);
    }
}
