#include "core/quota.h"

/* Use is reported and credit asked for this often. */
#define ASK_INTERVAL (200 * DP_USEC_PER_MSEC)
/* Credit that is asked for: what was used in as many intervals. */
#define ASK_AHEAD 2.0
/* A keeper that did not answer for so long is replaced by an equal share. */
#define KEEPER_SILENCE (600 * DP_USEC_PER_MSEC)
/* Debt that all VMs together may run up on a keeper's word that there is enough, in seconds of
 * the limit: with the burst at hand it stays within what a window allows. */
#define DEBT_SECONDS 0.4
/* Part of the burst that all VMs together hold as credit while there is enough. What they hold
 * can all be used in one moment, on top of what the keeper has. */
#define STOCK_PART 0.3
/* Callers of a workspace over its limit come back after half an interval of asks at the
 * soonest; most timeouts end soon after two seconds. */
#define RETRY_AFTER_MIN (100 * DP_USEC_PER_MSEC)
#define RETRY_AFTER_MAX (2 * DP_USEC_PER_SEC)
/* Fits the message's field; more than any limit. */
#define WANT_MAX 1e9
/* Parts of the burst that may be used at one moment, and that are spread over the window, so
 * that a workspace far over its limit is served evenly. */
#define DEPTH_PART 0.4
#define SPREAD_PART 0.6
/* A keeper that has just begun does not know what was used before: it starts with this part of
 * the depth. */
#define START_PART 0.05

typedef struct Use
{
  DpName workspace;
  double credit;     /* negative: debt */
  double used;       /* since the last ask */
  double recent;     /* use in an interval, fading */
  double stock;      /* credit to hold while there is enough */
  double waiting;    /* cost of the requests that wait for an answer */
  gboolean is_short; /* the keeper gave less than was asked for */
  guint64 sequence;
  guint64 answered;     /* of the newest ask with an answer */
  DpUsec asked_at;      /* 0: never */
  DpUsec waiting_since; /* of the oldest ask without an answer; 0: none */
  DpUsec share_at;      /* the equal share was added until then */
} Use;

struct DpQuotaUser
{
  GHashTable *uses; /* DpName -> Use */
};

typedef struct Bucket
{
  double level;
  DpUsec at;
} Bucket;

struct DpQuotaKeeper
{
  GHashTable *buckets; /* DpName -> Bucket */
  DpUsec fresh_until;
};

DpQuotaUser *
dp_quota_user_new (void)
{
  DpQuotaUser *user = g_new0 (DpQuotaUser, 1);
  user->uses = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return user;
}

void
dp_quota_user_free (DpQuotaUser *user)
{
  if (user == NULL)
    return;
  g_hash_table_unref (user->uses);
  g_free (user);
}

static Use *
obtain_use (DpQuotaUser *user, DpName workspace, DpUsec now)
{
  Use *use = g_hash_table_lookup (user->uses, &workspace);
  if (use != NULL)
    return use;
  use = g_new0 (Use, 1);
  use->workspace = workspace;
  use->share_at = now;
  g_hash_table_insert (user->uses, &use->workspace, use);
  return use;
}

/* Without a keeper: an equal share of rate and burst. */
static void
add_equal_share (Use *use, const DpQuotaLimit *limit, guint vms, DpUsec now)
{
  double share = limit->per_second / MAX (vms, 1);
  double seconds = (double)(now - use->share_at) / (double)DP_USEC_PER_SEC;
  use->share_at = now;
  use->credit = MIN (use->credit + share * seconds, limit->burst / MAX (vms, 1));
}

static DpUsec
come_back_after (const Use *use, const DpQuotaLimit *limit, double cost)
{
  double rate = MAX (use->recent * (double)DP_USEC_PER_SEC / (double)ASK_INTERVAL,
                     limit->per_second / 100);
  double seconds = MAX (cost - use->credit, 0) / MAX (rate, 1e-9);
  return CLAMP ((DpUsec)(seconds * (double)DP_USEC_PER_SEC), RETRY_AFTER_MIN, RETRY_AFTER_MAX);
}

DpQuotaVerdict
dp_quota_user_admit_again (DpQuotaUser *user,
                           const DpQuotaLimit *limit,
                           DpQuotaRequest *request,
                           DpUsec now,
                           DpUsec *retry_after)
{
  if (limit->per_second <= 0)
    return DP_QUOTA_ADMITTED;
  Use *use = obtain_use (user, limit->workspace, now);
  gboolean is_silent = use->waiting_since != 0 && now - use->waiting_since > KEEPER_SILENCE;
  if (is_silent)
    add_equal_share (use, limit, request->vms, now);
  else
    use->share_at = now;
  gboolean may_owe = !use->is_short && !is_silent;
  double debt = may_owe ? limit->per_second * DEBT_SECONDS / MAX (request->vms, 1) : 0;
  if (use->credit - request->cost >= -debt)
    {
      use->credit -= request->cost;
      return DP_QUOTA_ADMITTED;
    }
  if (!may_owe)
    {
      *retry_after = come_back_after (use, limit, request->cost);
      return DP_QUOTA_REFUSED;
    }
  if (request->counted != use->answered + 1)
    use->waiting += request->cost;
  request->counted = use->answered + 1;
  return DP_QUOTA_WAITS;
}

DpQuotaVerdict
dp_quota_user_admit (DpQuotaUser *user,
                     const DpQuotaLimit *limit,
                     DpQuotaRequest *request,
                     DpUsec now,
                     DpUsec *retry_after)
{
  if (limit->per_second > 0)
    {
      Use *use = obtain_use (user, limit->workspace, now);
      use->stock = limit->burst * STOCK_PART / MAX (request->vms, 1);
      use->used += request->cost;
    }
  return dp_quota_user_admit_again (user, limit, request, now, retry_after);
}

void
dp_quota_user_give_back (DpQuotaUser *user, DpName workspace, double cost)
{
  Use *use = g_hash_table_lookup (user->uses, &workspace);
  if (use != NULL)
    use->credit += cost;
}

static gboolean
is_urgent (const Use *use)
{
  return (use->credit < 0 || use->waiting > 0) && use->waiting_since == 0;
}

/* FALSE: nothing is to be asked for or given back. */
static gboolean
make_ask (Use *use, DpUsec now, DpLimitAsk *ask)
{
  gboolean is_due = use->asked_at == 0 || now - use->asked_at >= ASK_INTERVAL;
  if (!is_due && !is_urgent (use))
    return FALSE;
  if (is_due)
    use->recent = (use->recent + use->used) / 2;
  double ahead = MAX (use->used, use->recent) * ASK_AHEAD;
  if (!use->is_short)
    ahead = MIN (ahead, use->stock);
  double want = ahead + use->waiting - use->credit;
  use->used = 0;
  double returned = 0;
  if (is_due && !use->is_short && -want > use->stock)
    returned = -want;
  if (want <= 0 && returned <= 0)
    return FALSE;
  use->credit -= returned;
  use->asked_at = now;
  if (use->waiting_since == 0)
    use->waiting_since = now;
  *ask = (DpLimitAsk){ .workspace = use->workspace,
                       .sequence = ++use->sequence,
                       .want = (guint)CLAMP (want, 0, WANT_MAX),
                       .returned = (guint)MIN (returned, WANT_MAX) };
  return TRUE;
}

void
dp_quota_user_due_asks (DpQuotaUser *user, DpUsec now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;
  DpLimitAsk ask;
  g_hash_table_iter_init (&iter, user->uses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (make_ask (value, now, &ask))
      g_array_append_val (out, ask);
}

gboolean
dp_quota_user_due_ask (DpQuotaUser *user, DpName workspace, DpUsec now, DpLimitAsk *ask)
{
  Use *use = g_hash_table_lookup (user->uses, &workspace);
  return use != NULL && is_urgent (use) && make_ask (use, now, ask);
}

void
dp_quota_user_given (DpQuotaUser *user, const DpLimitGiven *given)
{
  Use *use = g_hash_table_lookup (user->uses, &given->workspace);
  if (use == NULL || given->sequence <= use->answered)
    return;
  use->credit += given->given;
  use->answered = given->sequence;
  use->waiting_since = 0;
  use->is_short = given->reason != DP_REASON_NONE;
  /* They are looked at again now. */
  use->waiting = 0;
}

DpQuotaKeeper *
dp_quota_keeper_new (DpUsec fresh_until)
{
  DpQuotaKeeper *keeper = g_new0 (DpQuotaKeeper, 1);
  keeper->fresh_until = fresh_until;
  keeper->buckets = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return keeper;
}

void
dp_quota_keeper_free (DpQuotaKeeper *keeper)
{
  if (keeper == NULL)
    return;
  g_hash_table_unref (keeper->buckets);
  g_free (keeper);
}

static Bucket *
obtain_bucket (DpQuotaKeeper *keeper, DpName workspace, double depth, DpUsec now)
{
  Bucket *bucket = g_hash_table_lookup (keeper->buckets, &workspace);
  if (bucket != NULL)
    return bucket;
  bucket = g_new0 (Bucket, 1);
  bucket->level = now < keeper->fresh_until ? depth : depth * START_PART;
  bucket->at = now;
  g_hash_table_insert (keeper->buckets, g_memdup2 (&workspace, sizeof workspace), bucket);
  return bucket;
}

DpLimitGiven
dp_quota_keeper_ask (DpQuotaKeeper *keeper,
                     const DpQuotaLimit *limit,
                     const DpLimitAsk *ask,
                     double reach,
                     DpUsec now)
{
  double window = MAX ((double)limit->window / (double)DP_USEC_PER_SEC, 1);
  double depth = limit->burst * DEPTH_PART * reach;
  double refill = (limit->per_second + limit->burst * SPREAD_PART / window) * reach;
  Bucket *bucket = obtain_bucket (keeper, ask->workspace, depth, now);
  double seconds = (double)(now - bucket->at) / (double)DP_USEC_PER_SEC;
  bucket->at = now;
  bucket->level = MIN (bucket->level + refill * seconds + ask->returned, depth);
  double given = MIN (ask->want, MAX (bucket->level, 0));
  bucket->level -= given;
  return (DpLimitGiven){ .workspace = ask->workspace,
                         .sequence = ask->sequence,
                         .given = (guint)given,
                         .reason
                         = given + 1 < ask->want ? DP_REASON_RATE_LIMITED : DP_REASON_NONE };
}
