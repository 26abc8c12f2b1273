/* HTTP listeners for callers and the balancer: admission of requests, readiness, shutdown. */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

/* Defaults until a config is in force. */
#define HEAD_BYTES_MAX 16384
#define BODY_BYTES_MAX ((gsize)4 * 1024 * 1024)
#define IDLE_TIMEOUT (15 * DP_USEC_PER_SEC)
/* Connections are closed later than the configured timeouts say. Callers reuse idle ones for
 * most of that time, and a request must not cross with the close. */
#define TIMEOUT_FACTOR 1.3
#define REQUEST_TIMEOUT (20 * DP_USEC_PER_SEC)
#define WRITE_TIMEOUT (10 * DP_USEC_PER_SEC)
/* Bytes of an answer buffered for a slow caller. */
#define UNREAD_MAX ((gsize)1024 * 1024)
#define EXCHANGES_MAX 1500
#define READY_CONNECTIONS_MAX 32
#define READY_READ_TIMEOUT (30 * DP_USEC_PER_SEC)
#define READY_HEAD_BYTES_MAX 4096
/* The balancer polls /ready once a second and removes a VM after two failures. New callers
 * still arrive for this long after a stop was requested. */
#define BALANCER_DELAY (2600 * DP_USEC_PER_MSEC)
/* For connections that wait to be accepted when the listener is to be closed. */
#define ACCEPT_TIME (200 * DP_USEC_PER_MSEC)
/* Ends of the stages of a stop, before the process is killed: requests that no target has are
 * refused, all others end, and the process exits once their responses were sent, or anyway. */
#define REFUSE_RESERVE (1000 * DP_USEC_PER_MSEC)
#define END_RESERVE (700 * DP_USEC_PER_MSEC)
#define EXIT_RESERVE (200 * DP_USEC_PER_MSEC)
/* After a pause, what has arrived meanwhile is handled first. */
#define AFTER_PAUSE (100 * DP_USEC_PER_MSEC)
#define RETRY_AFTER_NOT_READY (500 * DP_USEC_PER_MSEC)
#define RETRY_AFTER_MEMORY (500 * DP_USEC_PER_MSEC)

/* State of an admission; each step fills in a part. */
typedef struct Admission
{
  DpNode *node;
  DpHttpExchange *exchange;
  DpCallerRequest caller;
  const DpRoute *route;
  const DpWorkspace *workspace; /* NULL: a public route */
  DpQuotaCharge quota;          /* cost 0: no limit */
  gboolean waits_for_quota;     /* until the quota server answers */
  DpReason refusal;
  DpUsec retry_after;
} Admission;

static gboolean
refuse (Admission *admission, DpReason reason, DpUsec retry_after)
{
  admission->refusal = reason;
  admission->retry_after = retry_after;
  return FALSE;
}

/* Time until a stopping process is killed. */
static DpUsec
stop_time_left (const DpNode *node, DpUsec now)
{
  return node->stop_requested_at + node->params.stop_time - now;
}

static gboolean
check_ready (Admission *admission)
{
  const DpNode *node = admission->node;
  if (node->is_stopping && stop_time_left (node, dp_node_now ()) <= REFUSE_RESERVE)
    return refuse (admission, DP_REASON_STOPPING, 0);
  if (admission->node->manifest == NULL)
    return refuse (admission, DP_REASON_NOT_READY, RETRY_AFTER_NOT_READY);
  if (admission->node->is_memory_short)
    return refuse (admission, DP_REASON_OVERLOADED_ENTRY, RETRY_AFTER_MEMORY);
  return TRUE;
}

static gboolean
find_route (Admission *admission)
{
  char *path = g_strdup (dp_http_exchange_target (admission->exchange));
  path[strcspn (path, "?#")] = '\0';
  admission->route
    = dp_manifest_find_route (admission->node->manifest, admission->caller.host, path);
  g_free (path);
  if (admission->route == NULL)
    return refuse (admission, DP_REASON_NO_SUCH_PATH, 0);
  return TRUE;
}

/* While new connections still arrive, most callers are served best here: a response may be
 * expected to take as long as the slowest one lately. What arrives later is little, and other
 * VMs serve it, so that it must end in time whatever it takes. */
gboolean
dp_caller_listener_may_finish (const DpNode *node, const DpRoute *route, DpUsec deadline)
{
  if (!node->is_stopping)
    return TRUE;
  DpUsec now = dp_node_now ();
  DpUsec slowest = dp_answer_times_slowest (node->answer_times, route->name, now);
  DpUsec end = deadline;
  if (slowest > 0 && !node->is_listener_closed)
    end = MIN (end, now + slowest);
  return end <= now + stop_time_left (node, now) - END_RESERVE;
}

static DpUsec
request_deadline (const Admission *admission, DpUsec now)
{
  DpUsec timeout = admission->caller.timeout;
  DpUsec route_timeout = admission->route->timeout;
  return now + (timeout > 0 ? MIN (timeout, route_timeout) : route_timeout);
}

static gboolean
check_stop (Admission *admission)
{
  DpUsec deadline = request_deadline (admission, dp_node_now ());
  if (!dp_caller_listener_may_finish (admission->node, admission->route, deadline))
    return refuse (admission, DP_REASON_STOPPING, 0);
  return TRUE;
}

static gboolean
check_key (Admission *admission)
{
  const DpManifest *manifest = admission->node->manifest;
  int key = -1;
  if (admission->caller.access_key != NULL)
    {
      char *sha256
        = g_compute_checksum_for_string (G_CHECKSUM_SHA256, admission->caller.access_key, -1);
      key = dp_manifest_find_key (manifest, sha256);
      g_free (sha256);
    }
  if (key >= 0)
    admission->workspace
      = DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace,
                         DP_MANIFEST_ROW (manifest, keys, DpAccessKey, (guint)key)->workspace);
  if (key < 0 && manifest->workspaces->len > 0 && !admission->route->is_public)
    return refuse (admission, DP_REASON_UNAUTHORIZED, 0);
  return TRUE;
}

/* Cost of the request against its workspace's limit: 1, or its tokens. */
static double
request_cost (const Admission *admission)
{
  const DpWorkspace *workspace = admission->workspace;
  if (!workspace->rate_counts_tokens)
    return 1;
  if (!admission->caller.has_tokens)
    return workspace->plain_tokens;
  return (double)admission->caller.prompt_tokens + (double)admission->caller.output_tokens_max;
}

static gboolean
check_limit (Admission *admission)
{
  DpNode *node = admission->node;
  DpQuotaLimit limit = dp_limits_for_workspace (node, admission->workspace);
  if (limit.per_second <= 0)
    return TRUE;
  admission->quota.cost = request_cost (admission);
  admission->quota.tier = MIN (admission->route->tier, DP_URGENCY_ROUTE_LEVELS - 1);
  admission->quota.vms = dp_peers_vm_count (node);
  DpUsec retry_after = 0;
  switch (dp_quota_client_admit (node->quota_client, &limit, &admission->quota, dp_node_now (),
                                 &retry_after))
    {
    case DP_QUOTA_REFUSED:
      return refuse (admission, DP_REASON_RATE_LIMITED, retry_after);
    case DP_QUOTA_PENDING:
      admission->waits_for_quota = TRUE;
      break;
    case DP_QUOTA_ADMITTED:
      break;
    }
  return TRUE;
}

/* Ranks by the workspace's tier, or the route's if it has none, then by the route's. */
static guint
urgency (const Admission *admission)
{
  guint route = admission->route->tier;
  guint primary = route;
  if (admission->workspace != NULL && admission->workspace->tier >= 0)
    primary = (guint)admission->workspace->tier;
  return MIN (primary * DP_URGENCY_ROUTE_LEVELS + MIN (route, DP_URGENCY_ROUTE_LEVELS - 1),
              DP_URGENCY_LEVELS - 1);
}

static DpNodePool *
choose_pool (const Admission *admission)
{
  DpNode *node = admission->node;
  node->random = dp_hash_bytes (&node->random, sizeof node->random, node->next_attempt);
  DpName pool = dp_route_select_pool (admission->route, node->random);
  return g_hash_table_lookup (node->pools, &pool);
}

static void
begin_request (const Admission *admission)
{
  DpNode *node = admission->node;
  const DpRoute *route = admission->route;
  void *row;
  DpHandle handle = dp_table_add (node->requests, &row);
  DpNodeRequest *request = row;
  DpUsec now = dp_node_now ();
  request->self = handle;
  request->node = node;
  request->exchange = admission->exchange;
  request->manifest = dp_manifest_ref (node->manifest);
  request->route = route;
  request->workspace = admission->workspace;
  request->id = g_strdup (admission->caller.id);
  request->pool = choose_pool (admission);
  request->caller = admission->caller;
  request->urgency = urgency (admission);
  request->is_repeatable = dp_route_is_repeatable (route);
  request->quota = admission->quota;
  request->arrived = now;
  request->objective_at = now + route->first_byte_objective;
  request->deadline = request_deadline (admission, now);
  request->stage
    = admission->waits_for_quota ? DP_STAGE_AWAITING_QUOTA : DP_STAGE_AWAITING_GRANT;
  node->awaiting_quota += admission->waits_for_quota;
  dp_request_begin (request);
  /* Comes last: if this VM is the quota server, its answer is handled within the call. */
  if (admission->workspace != NULL)
    dp_limits_ask (node, admission->workspace->name, now);
}

static void
admit_request (DpNode *node, DpHttpExchange *exchange)
{
  Admission admission = { .node = node, .exchange = exchange };
  if (!dp_wire_read_request (exchange, &admission.caller))
    refuse (&admission, DP_REASON_BAD_REQUEST, 0);
  else if (check_ready (&admission) && find_route (&admission) && check_key (&admission)
           && check_stop (&admission) && check_limit (&admission))
    {
      begin_request (&admission);
      return;
    }
  dp_request_refuse_exchange (admission.node, exchange, admission.caller.id,
                              admission.workspace != NULL ? admission.workspace->text : NULL,
                              admission.refusal, admission.retry_after);
}

static void
on_request (gpointer user, DpHttpExchange *exchange)
{
  DpNode *node = user;
  DpUsec begun_at = dp_node_now ();
  admit_request (node, exchange);
  dp_work_meter_add (dp_process_meter (node->process), "request", 0, begun_at, dp_node_now ());
}

/* --- readiness --- */

static gboolean
is_ready (const DpNode *node)
{
  return !node->is_stopping && node->manifest != NULL
         && dp_directory_count (node->directory) > 0 && dp_http_server_has_room (node->callers);
}

static void
on_readiness_request (gpointer user, DpHttpExchange *exchange)
{
  const DpNode *node = user;
  const char *text = is_ready (node) ? "ready\n" : "not ready\n";
  dp_http_exchange_reply (exchange, is_ready (node) ? 200 : 503, text, strlen (text));
}

/* --- lifecycle --- */

static DpHttpServer *
create_caller_server (DpNode *node)
{
  const DpHttpServerOptions options
    = { .base = node->base,
        .address = node->params.caller_address,
        .port = node->params.caller_port,
        .name = "callers",
        .head_max = HEAD_BYTES_MAX,
        .body_max = BODY_BYTES_MAX,
        .budgets = node->client_budgets,
        .read_timeout = REQUEST_TIMEOUT,
        .idle_timeout = (DpUsec)((double)IDLE_TIMEOUT * TIMEOUT_FACTOR),
        .write_timeout = WRITE_TIMEOUT,
        .write_buffer_max = UNREAD_MAX,
        .exchanges_max = EXCHANGES_MAX,
        .connections_max = node->params.connections_max,
        .request_timeout = REQUEST_TIMEOUT,
        .counters = node->counters,
        .handler = on_request,
        .user = node };
  return dp_http_server_new (&options);
}

static DpHttpServer *
create_readiness_server (DpNode *node)
{
  const DpHttpServerOptions options = { .base = node->base,
                                        .address = node->params.ready_address,
                                        .port = node->params.ready_port,
                                        .name = "ready",
                                        .head_max = READY_HEAD_BYTES_MAX,
                                        .body_max = READY_HEAD_BYTES_MAX,
                                        .budgets = node->client_budgets,
                                        .read_timeout = READY_READ_TIMEOUT,
                                        .write_timeout = READY_READ_TIMEOUT,
                                        .write_buffer_max = UNREAD_MAX,
                                        .exchanges_max = READY_CONNECTIONS_MAX,
                                        .connections_max = READY_CONNECTIONS_MAX,
                                        .request_timeout = READY_READ_TIMEOUT,
                                        .counters = node->counters,
                                        .handler = on_readiness_request,
                                        .user = node };
  return dp_http_server_new (&options);
}

gboolean
dp_caller_listener_start (DpNode *node, DpDiagnostics *diagnostics)
{
  node->callers = create_caller_server (node);
  node->ready = create_readiness_server (node);
  if (node->callers == NULL)
    dp_diagnostics_add (diagnostics, "settings", 0, "caller_listen", "can't listen on %s:%u",
                        node->params.caller_address, node->params.caller_port);
  if (node->ready == NULL)
    dp_diagnostics_add (diagnostics, "settings", 0, "ready_listen", "can't listen on %s:%u",
                        node->params.ready_address, node->params.ready_port);
  return dp_diagnostics_count (diagnostics) == 0;
}

static void
log_limits (const DpCallerLimits *limits)
{
  char head_bytes[16], body_bytes[16], head_ms[24], idle_ms[24];
  g_snprintf (head_bytes, sizeof head_bytes, "%u", limits->head_bytes);
  g_snprintf (body_bytes, sizeof body_bytes, "%u", limits->body_bytes);
  g_snprintf (head_ms, sizeof head_ms, "%" G_GINT64_FORMAT,
              limits->head_timeout / DP_USEC_PER_MSEC);
  g_snprintf (idle_ms, sizeof idle_ms, "%" G_GINT64_FORMAT,
              limits->idle_timeout / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, "caller_limits", "head_bytes", head_bytes, "body_bytes", body_bytes,
          "head_ms", head_ms, "idle_ms", idle_ms, NULL);
}

void
dp_caller_listener_set_limits (DpNode *node)
{
  const DpCallerLimits *configured = &node->manifest->caller_limits;
  const DpHttpServerLimits limits
    = { .head_max = configured->head_bytes,
        .body_max = configured->body_bytes,
        .head_timeout = (DpUsec)((double)configured->head_timeout * TIMEOUT_FACTOR),
        .idle_timeout = (DpUsec)((double)configured->idle_timeout * TIMEOUT_FACTOR) };
  dp_http_server_set_limits (node->callers, &limits);
  log_limits (configured);
}

void
dp_caller_listener_stop (DpNode *node)
{
  node->is_stopping = TRUE;
  node->stop_requested_at = dp_node_now ();
  dp_http_server_close_after_responses (node->callers);
  dp_peers_announce_leaving (node);
  dp_node_copies_stop (node);
}

static gboolean
has_open_requests (const DpNode *node)
{
  return !dp_http_server_is_idle (node->callers) || dp_table_count (node->requests) > 0
         || dp_tunnels_open (node->tunnels) > 0;
}

/* A VM that is paused again and again handles its input all the same. */
static void
record_pause (DpNode *node, DpUsec now, gboolean was_paused)
{
  if (was_paused && !node->was_paused)
    node->resumed_at = now;
  node->was_paused = was_paused;
}

/* Requests accepted this late could not be answered in time; another VM should take them.
 * Callers retry immediately when a connection closes before their request was read. Connections
 * that wait to be accepted would be reset, so they are accepted first. */
static void
close_listener (DpNode *node, DpUsec now)
{
  DpUsec due_at = MAX (node->stop_requested_at + BALANCER_DELAY, node->resumed_at);
  if (node->is_listener_closed
      || (now - due_at < ACCEPT_TIME && dp_http_server_has_unaccepted (node->callers)))
    return;
  node->is_listener_closed = TRUE;
  dp_http_server_stop_accepting (node->callers);
  dp_http_server_close_idle (node->callers);
  dp_tunnels_stop_accepting (node->tunnels);
}

/* Refuses and ends what is left as the time for the stop runs out. Returns TRUE once there is
 * nothing left. */
static gboolean
end_requests (DpNode *node, DpUsec now)
{
  DpUsec left = stop_time_left (node, now);
  if (left <= REFUSE_RESERVE)
    dp_request_refuse_waiting (node);
  if (node->is_listener_closed && !has_open_requests (node))
    return TRUE;
  if (left > END_RESERVE || (left > EXIT_RESERVE && now - node->resumed_at < AFTER_PAUSE))
    return FALSE;
  dp_request_end_all (node);
  /* The responses are sent after this tick. */
  gboolean is_first = !node->is_ending;
  node->is_ending = TRUE;
  return !is_first && (left <= EXIT_RESERVE || dp_http_server_is_flushed (node->callers));
}

gboolean
dp_caller_listener_may_exit (DpNode *node, DpUsec now, gboolean was_paused)
{
  if (!node->is_stopping)
    return FALSE;
  record_pause (node, now, was_paused);
  if (now - node->stop_requested_at >= BALANCER_DELAY)
    close_listener (node, now);
  if (!end_requests (node, now))
    return FALSE;
  dp_registration_delete_own (node->registration);
  return dp_registration_is_deleted (node->registration)
         || stop_time_left (node, now) <= EXIT_RESERVE;
}
