/* Quota server: total use of each limit in the last window, and the credit that clients hold.
 */
#include "core/quota.h"
#include "core/use_window.h"

/* Credit counts as held for this long after the VM's last message: its lifetime at the client
 * plus the longest message delay. */
#define HELD_TIMEOUT (1500 * DP_USEC_PER_MSEC)
#define HELD_SWEEP_INTERVAL (100 * DP_USEC_PER_MSEC)
/* A new server collects the VMs' reports for this long before it gives credit. */
#define COLLECT_DURATION (80 * DP_USEC_PER_MSEC)
/* VMs that have not reported their use are queried again after this time. */
#define QUERY_ALL_INTERVAL (5 * DP_USEC_PER_SEC)
/* Fraction of the reachable VMs whose use may stay unknown without another query. */
#define UNKNOWN_FRACTION_MAX 0.15
/* While VMs disagree on the server of a limit, this keeps the servers from querying all VMs
 * repeatedly. */
#define TERM_DURATION_MIN (5 * DP_USEC_PER_SEC)
/* Fraction of what is left that all VMs together may hold in advance. */
#define PREFETCH_FRACTION 0.3

/* An older value of what was left is ignored. */
#define PREVIOUS_LEFT_AGE_MAX DP_USEC_PER_SEC
/* From this known fraction on, all use counts as known. */
#define COMPLETE_FRACTION 0.99
/* Fraction of the allowance that may be used at one moment; the rest becomes available evenly
 * over the window. This bounds the use that is lost when all VMs restart at once. */
#define INSTANT_FRACTION 0.5
/* Checked for a half, a quarter and an eighth of the window. */
#define SPAN_HALVINGS 3
/* A VM that has just started counts as the known part of its window, times this. */
#define STARTED_VM_FRACTION 0.6
/* Fraction of the slack that is added to that part. */
#define SLACK_FRACTION 0.5
/* A refused amount stays reserved against less urgent requests until its callers may retry, and
 * for this much longer. */
#define RESERVATION_GRACE (300 * DP_USEC_PER_MSEC)
/* Fraction of the allowance that may be reserved in total. */
#define RESERVATION_FRACTION_MAX (1.0 / 16)
/* Requests up to this fraction of the allowance are too small to affect others: they may use
 * reserved credit. */
#define SMALL_REQUEST_FRACTION (1.0 / 1000)

/* A VM that uses the limit. */
typedef struct ClientState
{
  DpName vm;
  guint64 incarnation;
  gboolean is_use_known; /* its use before this server's term has been counted */
  DpUsec known_from;     /* start of the history that the VM reported */
  guint64 spent;
  double held;
  DpUsec held_until;
} ClientState;

/* Allowance reserved for the recently refused requests of one tier. */
typedef struct Reservation
{
  double amount;
  DpUsec until;
} Reservation;

typedef enum TermState
{
  TERM_UNDECIDED,
  TERM_COMPLETE, /* all use was known when the term started */
  TERM_CAPPED,   /* some was unknown: see term_cap() */
} TermState;

typedef struct LimitState
{
  DpUseWindow window;
  GHashTable *clients; /* DpName -> ClientState */
  double held;         /* sum over all clients */
  DpUsec swept_at;
  gboolean is_fresh; /* all use since the system's first start is known */
  DpUsec term_at;
  DpUsec queried_all_at; /* 0: never */
  TermState term;
  double term_base;     /* use known when the term started */
  double previous_left; /* what was left then, by the previous server's newest response */
  DpUsec previous_left_age;
  double known_vms; /* number of clients with known use; can be fractional */
  DpUsec known_vms_at;
  double allowance;
  double previous_allowance; /* applies for one window after the limit was lowered */
  DpUsec lowered_at;         /* 0: never */
  double used_since_lowered;
  Reservation reservations[DP_URGENCY_ROUTE_LEVELS]; /* by tier */
} LimitState;

struct DpQuotaServer
{
  GHashTable *limits; /* DpName -> LimitState */
  DpUsec fresh_until;
};

static void
free_limit_state (gpointer data)
{
  LimitState *state = data;
  g_hash_table_unref (state->clients);
  g_free (state);
}

DpQuotaServer *
dp_quota_server_new (DpUsec fresh_until)
{
  DpQuotaServer *server = g_new0 (DpQuotaServer, 1);
  server->fresh_until = fresh_until;
  server->limits
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_limit_state);
  return server;
}

void
dp_quota_server_free (DpQuotaServer *server)
{
  if (server == NULL)
    return;
  g_hash_table_unref (server->limits);
  g_free (server);
}

static LimitState *
ensure_limit (DpQuotaServer *server, const DpQuotaLimit *limit, DpUsec now)
{
  LimitState *state = g_hash_table_lookup (server->limits, &limit->workspace);
  if (state != NULL)
    return state;
  state = g_new0 (LimitState, 1);
  dp_use_window_init (&state->window, limit->window, now);
  state->clients = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  state->is_fresh = now < server->fresh_until;
  state->term_at = now;
  state->previous_left_age = G_MAXINT64;
  state->allowance = dp_quota_allowance (limit);
  g_hash_table_insert (server->limits, g_memdup2 (&limit->workspace, sizeof (DpName)), state);
  return state;
}

static void
update_allowance (LimitState *state, const DpQuotaLimit *limit, DpUsec now)
{
  double allowance = dp_quota_allowance (limit);
  if (allowance < state->allowance)
    {
      state->previous_allowance = state->allowance;
      state->lowered_at = now;
      state->used_since_lowered = 0;
    }
  state->allowance = allowance;
}

static ClientState *
ensure_client (LimitState *state, DpName vm)
{
  ClientState *client = g_hash_table_lookup (state->clients, &vm);
  if (client != NULL)
    return client;
  client = g_new0 (ClientState, 1);
  client->vm = vm;
  client->is_use_known = state->is_fresh;
  g_hash_table_insert (state->clients, &client->vm, client);
  return client;
}

static void
add_use (LimitState *state, double amount, DpUsec at, DpUsec now)
{
  dp_use_window_add (&state->window, amount, at, now);
  if (at >= state->lowered_at)
    state->used_since_lowered += amount;
}

static void
set_held (LimitState *state, ClientState *client, double held, DpUsec now)
{
  state->held += held - client->held;
  client->held = held;
  client->held_until = now + HELD_TIMEOUT;
}

/* The previous process may have spent all the credit it held. */
static void
update_incarnation (LimitState *state, ClientState *client, guint64 incarnation, DpUsec now)
{
  if (client->incarnation == incarnation)
    return;
  add_use (state, client->held, now, now);
  set_held (state, client, 0, now);
  client->incarnation = incarnation;
  client->spent = 0;
}

static void
expire_held (LimitState *state, DpUsec now)
{
  if (now - state->swept_at < HELD_SWEEP_INTERVAL)
    return;
  state->swept_at = now;
  state->held = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->clients);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ClientState *client = value;
      if (now >= client->held_until)
        client->held = 0;
      state->held += client->held;
    }
}

/* Called after another VM has served this limit for a while. */
static void
start_term (LimitState *state, DpUsec now)
{
  state->term_at = now;
  state->is_fresh = FALSE;
  state->queried_all_at = 0;
  state->term = TERM_UNDECIDED;
  state->previous_left_age = G_MAXINT64;
  state->known_vms_at = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->clients);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((ClientState *)value)->is_use_known = FALSE;
}

/* A VM that has just started does not know its use of the whole window. It counts for the part
 * that it knows, and for its part of the slack. */
static double
known_fraction_of_client (const ClientState *client, const DpQuotaLimit *limit, DpUsec now)
{
  double known = (double)(now - client->known_from) / (double)limit->window;
  if (known >= 1)
    return 1;
  double slack = limit->slack * SLACK_FRACTION / MAX (dp_quota_allowance (limit), 1);
  return MIN (known * STARTED_VM_FRACTION + slack, 1);
}

static double
count_known_vms (LimitState *state, const DpQuotaLimit *limit, DpUsec now)
{
  if (state->known_vms_at != 0 && now - state->known_vms_at < HELD_SWEEP_INTERVAL)
    return state->known_vms;
  state->known_vms_at = now;
  state->known_vms = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->clients);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ClientState *client = value;
      if (client->is_use_known)
        state->known_vms += known_fraction_of_client (client, limit, now);
    }
  return state->known_vms;
}

/* Fraction of the limit that the clients of this server may use. */
static double
known_fraction (LimitState *state,
                const DpQuotaLimit *limit,
                const DpQuotaFleet *fleet,
                DpUsec now)
{
  if (state->is_fresh)
    return fleet->reachable_fraction;
  return MIN (count_known_vms (state, limit, now) / MAX (fleet->vms, 1),
              fleet->reachable_fraction);
}

/* VMs that can't reach this server may have used more than their fraction, unknown to it.
 * Unless all use was known at the start of its term, it gives at most its fraction of what was
 * left then, for one window. */
static double
term_cap (LimitState *state, double fraction, double used)
{
  if (state->term == TERM_UNDECIDED)
    {
      gboolean knows_all
        = fraction >= COMPLETE_FRACTION || state->previous_left_age >= PREVIOUS_LEFT_AGE_MAX;
      state->term = knows_all ? TERM_COMPLETE : TERM_CAPPED;
      state->term_base = used;
    }
  if (state->term == TERM_COMPLETE)
    return state->allowance;
  return state->term_base + state->previous_left * fraction;
}

/* Limits short spans, so that none of them takes most of the window's allowance. */
static double
available_by_span (LimitState *state, const DpQuotaLimit *limit, DpUsec now)
{
  double allowance = state->allowance;
  if (state->lowered_at != 0 && now - state->lowered_at < limit->window)
    allowance = state->previous_allowance;
  double minimum = allowance;
  for (guint i = 1; i <= SPAN_HALVINGS; i++)
    {
      DpUsec span = limit->window >> i;
      double share = INSTANT_FRACTION + (1 - INSTANT_FRACTION) / (double)(1 << i);
      double used = dp_use_window_recent (&state->window, span, now) + state->held;
      minimum = MIN (minimum, allowance * share - used);
    }
  return minimum;
}

static double
available (LimitState *state, const DpQuotaLimit *limit, double fraction, DpUsec now)
{
  double by_span = available_by_span (state, limit, now);
  double used = dp_use_window_sum (&state->window, now) + state->held;
  double whole = state->allowance * fraction;
  if (!state->is_fresh && now - state->term_at < limit->window)
    whole = MIN (whole, term_cap (state, fraction, used));
  if (state->lowered_at == 0 || now - state->lowered_at >= limit->window)
    return MIN (whole - used, by_span);
  double before = state->previous_allowance * fraction - used;
  double after = state->allowance * fraction - state->used_since_lowered - state->held;
  return MIN (MIN (before, after), by_span);
}

static void
record_request (LimitState *state, ClientState *client, const DpCreditAsk *request, DpUsec now)
{
  if (request->spent > client->spent)
    add_use (state, (double)(request->spent - client->spent), now, now);
  client->spent = MAX (client->spent, request->spent);
  if (request->returned > 0)
    dp_use_window_subtract (&state->window, request->returned, now - request->returned_age,
                            now);
  set_held (state, client, request->held, now);
}

/* Amount reserved for tiers that are more urgent than `tier`. */
static double
reserved_for_more_urgent (const LimitState *state, guint tier, DpUsec now)
{
  double reserved = 0;
  for (guint i = 0; i < MIN (tier, DP_URGENCY_ROUTE_LEVELS); i++)
    if (now < state->reservations[i].until)
      reserved += state->reservations[i].amount;
  return MIN (reserved, state->allowance * RESERVATION_FRACTION_MAX);
}

static void
reserve_refused (LimitState *state, guint tier, double amount, DpUsec retry_after, DpUsec now)
{
  Reservation *reservation = &state->reservations[MIN (tier, DP_URGENCY_ROUTE_LEVELS - 1)];
  if (now >= reservation->until)
    reservation->amount = 0;
  reservation->amount += amount;
  reservation->until = MAX (reservation->until, now + retry_after + RESERVATION_GRACE);
}

static void
release_reserved (LimitState *state, guint tier, double amount)
{
  Reservation *reservation = &state->reservations[MIN (tier, DP_URGENCY_ROUTE_LEVELS - 1)];
  reservation->amount = MAX (reservation->amount - amount, 0);
}

static void
grant_credit (LimitState *state,
              ClientState *client,
              const DpCreditAsk *request,
              const DpQuotaFleet *fleet,
              double fraction,
              double left,
              DpUsec now,
              DpCreditGiven *given)
{
  double amount = 0;
  gboolean is_small = request->want <= state->allowance * SMALL_REQUEST_FRACTION;
  double room = is_small ? left : left - reserved_for_more_urgent (state, request->tier, now);
  if (request->want <= room)
    amount = request->want;
  else if (request->minimum <= room)
    amount = request->minimum;
  if (amount < request->want)
    {
      given->reason = DP_REASON_RATE_LIMITED;
      given->retry_after
        = dp_use_window_time_until (&state->window, request->minimum - room, now);
      reserve_refused (state, request->tier, request->want - amount, given->retry_after, now);
    }
  release_reserved (state, request->tier, amount);
  double surplus
    = left - amount - reserved_for_more_urgent (state, DP_URGENCY_ROUTE_LEVELS, now);
  if (given->reason == DP_REASON_NONE && surplus > 0)
    amount += MIN (request->prefetch, surplus * PREFETCH_FRACTION / MAX (fleet->vms, 1));
  given->given = (guint)amount;
  given->has_left = fraction >= COMPLETE_FRACTION;
  given->left = (guint)MAX (left - amount, 0);
  set_held (state, client, request->held + given->given, now);
}

/* A query costs two messages per VM. It is not sent for a single unknown VM, which reports by
 * itself. */
static gboolean
must_query_all (LimitState *state, const DpQuotaFleet *fleet, DpUsec now)
{
  if (state->is_fresh)
    return FALSE;
  if (state->queried_all_at != 0)
    {
      guint reported = 0;
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, state->clients);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        reported += ((const ClientState *)value)->is_use_known;
      double missing = fleet->reachable_fraction - (double)reported / MAX (fleet->vms, 1);
      if (missing <= UNKNOWN_FRACTION_MAX || now - state->queried_all_at < QUERY_ALL_INTERVAL)
        return FALSE;
    }
  state->queried_all_at = now;
  return TRUE;
}

DpQuotaResponse
dp_quota_server_on_request (DpQuotaServer *server,
                            const DpQuotaLimit *limit,
                            const DpCreditAsk *request,
                            DpName from,
                            const DpQuotaFleet *fleet,
                            DpUsec now)
{
  DpQuotaResponse response
    = { .given = { .workspace = request->workspace, .sequence = request->sequence } };
  LimitState *state = ensure_limit (server, limit, now);
  update_allowance (state, limit, now);
  expire_held (state, now);
  ClientState *client = ensure_client (state, from);
  gboolean is_same_incarnation = client->incarnation == request->incarnation;
  if (is_same_incarnation && client->is_use_known && request->is_new
      && now - state->term_at > TERM_DURATION_MIN)
    start_term (state, now);
  update_incarnation (state, client, request->incarnation, now);
  double fraction = known_fraction (state, limit, fleet, now);
  gboolean is_collecting = !state->is_fresh && now - state->term_at < COLLECT_DURATION
                           && fraction + 0.5 / MAX (fleet->vms, 1) < fleet->reachable_fraction;
  if (!client->is_use_known || is_collecting)
    {
      response.given.is_pending = TRUE;
      response.query_all = must_query_all (state, fleet, now);
      return response;
    }
  record_request (state, client, request, now);
  double left = available (state, limit, fraction, now);
  grant_credit (state, client, request, fleet, fraction, left, now, &response.given);
  return response;
}

/* Adds what the client spent since its last message, at the times given in the report. */
static void
add_reported (LimitState *state, const DpUseReport *report, double amount, DpUsec now)
{
  for (guint i = 0; i < MIN (report->count, DP_USE_REPORT_SLOTS_MAX) && amount > 0; i++)
    {
      double use = MIN (report->slots[i], amount);
      add_use (state, use, now - i * report->slot, now);
      amount -= use;
    }
}

void
dp_quota_server_on_report (DpQuotaServer *server,
                           const DpQuotaLimit *limit,
                           const DpUseReport *report,
                           DpName from,
                           DpUsec now)
{
  LimitState *state = ensure_limit (server, limit, now);
  ClientState *client = ensure_client (state, from);
  update_incarnation (state, client, report->incarnation, now);
  if (report->left_age < state->previous_left_age && now - state->term_at < COLLECT_DURATION)
    {
      state->previous_left_age = report->left_age;
      state->previous_left = report->left;
    }
  if (state->term == TERM_CAPPED && report->spent > client->spent)
    state->term_base += (double)(report->spent - client->spent);
  if (report->spent > client->spent)
    add_reported (state, report, (double)(report->spent - client->spent), now);
  client->spent = MAX (client->spent, report->spent);
  if (!client->is_use_known)
    client->known_from = now - MIN (report->history_duration, limit->window);
  client->is_use_known = TRUE;
  state->known_vms_at = 0;
  set_held (state, client, report->held, now);
}
