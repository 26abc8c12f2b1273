/* Rate limit for writes to the platform, shared by all entries.
 *
 * Each live entry has an equal share in the form of a token bucket. While there are tokens,
 * each claim is written at once; otherwise the claims of a bucket object are batched into the
 * next write. Final states are not urgent: they leave a reserve of tokens for claims and are
 * also included in the writes of claims. */
#include "core/entry_private.h"

/* All entries together. The platform handles several hundred writes per second, but other
 * clients write to it too. */
#define WRITES_PER_SECOND 240.0
/* Minimum share of an entry, in writes per second. */
#define SHARE_MIN 2.0
/* Bucket size: the tokens of BURST_SECONDS, at least BURST_MIN. */
#define BURST_SECONDS 0.25
#define BURST_MIN 4.0
/* Fraction of the bucket that is reserved for claims. */
#define RESERVED_FRACTION 0.5

static double
share_per_second (const DpEntryCore *core)
{
  guint live = 0;
  for (guint i = 0; core->view != NULL && i < core->view->vms->len; i++)
    if (g_array_index (core->view->vms, DpVm, i).state == DP_VM_LIVE)
      live++;
  return MAX (WRITES_PER_SECOND / MAX (live, 1), SHARE_MIN);
}

static void
refill_tokens (DpEntryCore *core)
{
  double rate = share_per_second (core);
  double burst = MAX (rate * BURST_SECONDS, BURST_MIN);
  double elapsed = (double)(core->now - core->write_tokens_at) / DP_USEC_PER_SEC;
  core->write_tokens = MIN (core->write_tokens + rate * elapsed, burst);
  core->write_tokens_at = core->now;
  core->write_tokens_reserved = burst * RESERVED_FRACTION;
}

gboolean
entry_write_rate_allows (DpEntryCore *core, gboolean urgent)
{
  refill_tokens (core);
  return core->write_tokens >= (urgent ? 1.0 : 1.0 + core->write_tokens_reserved);
}

void
entry_write_rate_spend (DpEntryCore *core)
{
  core->write_tokens -= 1.0;
}
