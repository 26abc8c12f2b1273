/* Quota client: credit, this VM's own use, and its share of the limit while no server answers.
 */
#include "core/quota.h"
#include "core/use_window.h"

#include <math.h>

/* Interval of credit requests, which also report the use. */
#define REQUEST_INTERVAL (200 * DP_USEC_PER_MSEC)
/* A credit request that admissions wait for is resent after this time. */
#define RESEND_INTERVAL (120 * DP_USEC_PER_MSEC)
/* Delay before the next request to a server that does not know all use yet. */
#define PENDING_RETRY_DELAY (15 * DP_USEC_PER_MSEC)
/* Credit requested in advance: the use of this many intervals. */
#define PREFETCH_INTERVALS 2.0
/* After this time without a response the client falls back to an equal share. */
#define SERVER_TIMEOUT (300 * DP_USEC_PER_MSEC)
/* Credit that was not renewed expires: another VM may serve the limit by now. */
#define CREDIT_LIFETIME DP_USEC_PER_SEC
/* After a refusal, requests of at least the same cost are refused locally for this time. */
#define REFUSAL_CACHE_DURATION (40 * DP_USEC_PER_MSEC)
#define RETRY_AFTER_MIN (100 * DP_USEC_PER_MSEC)
/* Most callers' timeouts expire soon after two seconds. */
#define RETRY_AFTER_MAX (2 * DP_USEC_PER_SEC)
/* How long a server that announced itself is used, until all VMs agree on the owner. */
#define ANNOUNCEMENT_DURATION (500 * DP_USEC_PER_MSEC)
/* Slots of the window in one slot of a report. */
#define SLOTS_PER_SPAN ((DP_USE_SLOTS + DP_USE_REPORT_SLOTS_MAX - 1) / DP_USE_REPORT_SLOTS_MAX)

typedef struct LimitState
{
  DpName workspace;
  gboolean has_window; /* set by the first request */
  DpUseWindow window;  /* this VM's own use */
  guint64 spent;       /* since the process started */
  double credit;
  DpUsec credit_until;
  double refunded;       /* not reported to the server yet */
  DpUsec refunded_since; /* charge time of the oldest request in `refunded` */
  /* demand */
  double interval_use; /* in the current request interval */
  double recent;       /* moving average of the use per interval */
  DpUsec interval_at;
  double waiting;     /* total cost of the requests that wait for a response */
  guint tier;         /* most urgent tier among them */
  double lowest_cost; /* lowest cost within that tier */
  /* last credit request */
  guint64 sequence;
  DpUsec requested_at;
  guint64 requested_spent;
  guint requested_tier;
  double requested_minimum;
  DpUsec request_not_before;
  DpUsec unanswered_since; /* oldest credit request without a response; 0: none */
  /* last response */
  guint64 answered; /* its sequence number */
  DpName server;
  DpName announced; /* VM that announced itself as the new quota server */
  DpUsec announced_until;
  guint64 reported_spent;
  gboolean was_pending;
  DpUsec refuse_until; /* for requests that are not more urgent and not cheaper */
  guint refused_tier;
  double refused_minimum;
  DpUsec retry_at;
  double left; /* of the limit */
  DpUsec left_at;
} LimitState;

struct DpQuotaClient
{
  DpQuotaClientOptions options;
  guint64 draw_count;
  GHashTable *limits; /* DpName -> LimitState */
};

double
dp_quota_allowance (const DpQuotaLimit *limit)
{
  return limit->per_second * (double)limit->window / (double)DP_USEC_PER_SEC + limit->burst;
}

DpQuotaClient *
dp_quota_client_new (const DpQuotaClientOptions *options)
{
  DpQuotaClient *client = g_new0 (DpQuotaClient, 1);
  client->options = *options;
  client->limits = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return client;
}

void
dp_quota_client_free (DpQuotaClient *client)
{
  if (client == NULL)
    return;
  g_hash_table_unref (client->limits);
  g_free (client);
}

static LimitState *
ensure_limit (DpQuotaClient *client, DpName workspace, DpUsec now)
{
  LimitState *state = g_hash_table_lookup (client->limits, &workspace);
  if (state != NULL)
    return state;
  state = g_new0 (LimitState, 1);
  state->workspace = workspace;
  state->interval_at = now;
  g_hash_table_insert (client->limits, &state->workspace, state);
  return state;
}

static void
charge_request (LimitState *state, DpQuotaCharge *charge, DpUsec now)
{
  state->spent += (guint64)ceil (charge->cost);
  dp_use_window_add (&state->window, charge->cost, now, now);
  charge->charged = now;
}

/* Duration for which this VM knows its own use. */
static DpUsec
history_duration (const DpQuotaClient *client, DpUsec now)
{
  return client->options.is_first_start ? G_MAXINT32 * DP_USEC_PER_SEC
                                        : now - client->options.started;
}

/* Without a server each VM uses an equal share of the limit. A request that is larger than what
 * is left of the share is admitted at random, so that all VMs together admit as much as their
 * shares. */
static DpQuotaDecision
admit_from_share (DpQuotaClient *client,
                  LimitState *state,
                  const DpQuotaLimit *limit,
                  DpQuotaCharge *charge,
                  DpUsec now,
                  DpUsec *retry_after)
{
  double known = MIN ((double)history_duration (client, now) / (double)limit->window, 1);
  double share = dp_quota_allowance (limit) / MAX (charge->vms, 1) * known;
  double room = share - dp_use_window_sum (&state->window, now);
  const guint64 draw[2] = { client->options.seed, ++client->draw_count };
  double chance = (double)(dp_hash_bytes (draw, sizeof draw, 0) % 10000) / 10000;
  if (room > 0 && room >= charge->cost * chance)
    {
      charge_request (state, charge, now);
      return DP_QUOTA_ADMITTED;
    }
  *retry_after = RETRY_AFTER_MAX / 2;
  return DP_QUOTA_REFUSED;
}

static DpQuotaDecision
refuse (const LimitState *state, DpUsec now, DpUsec *retry_after)
{
  *retry_after = CLAMP (state->retry_at - now, RETRY_AFTER_MIN, RETRY_AFTER_MAX);
  return DP_QUOTA_REFUSED;
}

static void
add_to_waiting (LimitState *state, DpQuotaCharge *charge)
{
  if (state->waiting <= 0 || charge->tier < state->tier)
    {
      state->tier = charge->tier;
      state->lowest_cost = charge->cost;
    }
  else if (charge->tier == state->tier)
    state->lowest_cost = MIN (state->lowest_cost, charge->cost);
  state->waiting += charge->cost;
  charge->waiting_epoch = state->answered + 1;
  charge->request_sequence = state->sequence + 1;
}

DpQuotaDecision
dp_quota_client_admit (DpQuotaClient *client,
                       const DpQuotaLimit *limit,
                       DpQuotaCharge *charge,
                       DpUsec now,
                       DpUsec *retry_after)
{
  if (limit->per_second <= 0)
    return DP_QUOTA_ADMITTED;
  LimitState *state = ensure_limit (client, limit->workspace, now);
  if (!state->has_window)
    dp_use_window_init (&state->window, limit->window, now);
  state->has_window = TRUE;
  gboolean is_first_attempt = charge->waiting_epoch == 0;
  if (is_first_attempt)
    state->interval_use += charge->cost;
  if (now >= state->credit_until)
    state->credit = 0;
  if (state->credit >= charge->cost)
    {
      state->credit -= charge->cost;
      charge_request (state, charge, now);
      return DP_QUOTA_ADMITTED;
    }
  if (state->unanswered_since != 0 && now - state->unanswered_since > SERVER_TIMEOUT)
    return admit_from_share (client, state, limit, charge, now, retry_after);
  if (is_first_attempt && now < state->refuse_until && charge->tier >= state->refused_tier
      && charge->cost >= state->refused_minimum)
    return refuse (state, now, retry_after);
  if (!is_first_attempt && charge->request_sequence <= state->answered && !state->was_pending)
    return refuse (state, now, retry_after);
  if (charge->waiting_epoch != state->answered + 1)
    add_to_waiting (state, charge);
  return DP_QUOTA_PENDING;
}

void
dp_quota_client_refund (DpQuotaClient *client,
                        DpName workspace,
                        const DpQuotaCharge *charge,
                        DpUsec now)
{
  LimitState *state = g_hash_table_lookup (client->limits, &workspace);
  if (state == NULL || charge->charged == 0)
    return;
  dp_use_window_subtract (&state->window, charge->cost, charge->charged, now);
  state->refunded_since
    = state->refunded > 0 ? MIN (state->refunded_since, charge->charged) : charge->charged;
  state->refunded += charge->cost;
}

/* --- credit requests --- */

static void
fade_demand (LimitState *state, DpUsec now)
{
  if (now - state->interval_at < REQUEST_INTERVAL)
    return;
  state->interval_at = now;
  state->recent = (state->recent + state->interval_use) / 2;
  state->interval_use = 0;
}

static gboolean
is_request_urgent (const LimitState *state, DpUsec now)
{
  return state->waiting > 0 && now >= state->request_not_before
         && (state->unanswered_since == 0 || now - state->requested_at >= RESEND_INTERVAL);
}

/* Returns FALSE if there is nothing to request or to report. */
static gboolean
make_request (const DpQuotaClient *client, LimitState *state, DpUsec now, DpCreditAsk *request)
{
  fade_demand (state, now);
  if (now >= state->credit_until)
    state->credit = 0;
  double prefetch = now < state->refuse_until
                      ? 0
                      : MAX (state->interval_use, state->recent) * PREFETCH_INTERVALS;
  gboolean is_due = now - state->requested_at >= REQUEST_INTERVAL
                    && (state->spent != state->reported_spent || state->refunded >= 1
                        || (prefetch >= 1 && state->credit < prefetch / 2));
  if (!is_due && !is_request_urgent (state, now))
    return FALSE;
  *request = (DpCreditAsk){
    .workspace = state->workspace,
    .sequence = ++state->sequence,
    .incarnation = client->options.incarnation,
    .want = (guint)ceil (MAX (state->waiting - state->credit, 0)),
    .tier = state->waiting > 0 ? state->tier : 0,
    .minimum
    = (guint)ceil (state->waiting > 0 ? MAX (state->lowest_cost - state->credit, 0) : 0),
    .prefetch = (guint)MAX (prefetch - state->credit, 0),
    .held = (guint)ceil (state->credit),
    .spent = state->spent,
    .returned = (guint)state->refunded,
    .returned_age = state->refunded > 0 ? now - state->refunded_since : 0,
  };
  state->refunded = 0;
  state->requested_at = now;
  state->requested_spent = state->spent;
  state->requested_tier = state->tier;
  state->requested_minimum = state->lowest_cost;
  if (state->unanswered_since == 0)
    state->unanswered_since = now;
  return TRUE;
}

void
dp_quota_client_take_due_requests (DpQuotaClient *client, DpUsec now, GArray *out)
{
  GHashTableIter iter;
  gpointer value;
  DpCreditAsk request;
  g_hash_table_iter_init (&iter, client->limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (make_request (client, value, now, &request))
      g_array_append_val (out, request);
}

gboolean
dp_quota_client_take_due_request (DpQuotaClient *client,
                                  DpName workspace,
                                  DpUsec now,
                                  DpCreditAsk *request)
{
  LimitState *state = g_hash_table_lookup (client->limits, &workspace);
  return state != NULL && is_request_urgent (state, now)
         && make_request (client, state, now, request);
}

void
dp_quota_client_on_new_server (DpQuotaClient *client,
                               DpName workspace,
                               DpName server,
                               DpUsec now)
{
  LimitState *state = ensure_limit (client, workspace, now);
  state->announced = server;
  state->announced_until = now + ANNOUNCEMENT_DURATION;
}

DpName
dp_quota_client_choose_server (const DpQuotaClient *client,
                               DpName workspace,
                               DpName owner,
                               DpUsec now)
{
  const LimitState *state = g_hash_table_lookup (client->limits, &workspace);
  gboolean answers
    = state != NULL
      && (state->unanswered_since == 0 || now - state->unanswered_since < RESEND_INTERVAL);
  return answers && now < state->announced_until ? state->announced : owner;
}

gboolean
dp_quota_client_is_new_server (const DpQuotaClient *client, DpName workspace, DpName server)
{
  const LimitState *state = g_hash_table_lookup (client->limits, &workspace);
  return state == NULL || state->server != server;
}

void
dp_quota_client_on_given (DpQuotaClient *client,
                          const DpCreditGiven *given,
                          DpName server,
                          DpUsec now)
{
  LimitState *state = g_hash_table_lookup (client->limits, &given->workspace);
  if (state == NULL || given->sequence != state->sequence || given->sequence <= state->answered)
    return;
  if (now < state->announced_until && server != state->announced)
    {
      /* This VM's report to the new server did not include this credit: drop it and request
       * again. */
      state->requested_at = 0;
      return;
    }
  state->answered = given->sequence;
  state->unanswered_since = 0;
  state->was_pending = given->is_pending;
  /* The caller retries all pending requests after this. */
  state->waiting = 0;
  state->request_not_before = given->is_pending ? now + PENDING_RETRY_DELAY : 0;
  if (given->is_pending)
    return;
  state->server = server;
  state->reported_spent = state->requested_spent;
  state->left = given->left;
  state->left_at = given->has_left ? now : 0;
  state->credit += given->given;
  state->credit_until = state->requested_at + CREDIT_LIFETIME;
  state->retry_at = now + given->retry_after;
  state->refused_tier = state->requested_tier;
  state->refused_minimum = state->requested_minimum;
  state->refuse_until = given->reason != DP_REASON_NONE ? now + REFUSAL_CACHE_DURATION : 0;
}

void
dp_quota_client_make_report (DpQuotaClient *client,
                             DpName workspace,
                             DpUsec now,
                             DpUseReport *report)
{
  *report = (DpUseReport){ .workspace = workspace,
                           .incarnation = client->options.incarnation,
                           .history_duration = history_duration (client, now),
                           .left_age = G_MAXINT64 };
  LimitState *state = g_hash_table_lookup (client->limits, &workspace);
  if (state == NULL || !state->has_window)
    return;
  report->spent = state->spent;
  report->left = (guint)state->left;
  report->left_age = state->left_at != 0 ? now - state->left_at : G_MAXINT64;
  report->held = (guint)ceil (now < state->credit_until ? state->credit : 0);
  report->slot = state->window.slot_length * SLOTS_PER_SPAN;
  report->count = dp_use_window_read (&state->window, SLOTS_PER_SPAN, report->slots,
                                      DP_USE_REPORT_SLOTS_MAX, now);
}
