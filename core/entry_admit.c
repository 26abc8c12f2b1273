/* Admission: authority, path, model, deadline, key form. Nothing is looked up before the
 * caller's authority is known. */
#include "core/entry_board.h"
#include "core/idempotency_key.h"

#include <string.h>

#define COMPLETIONS_PATH "/v1/chat/completions"
#define SERVICES_PREFIX "/services/"
/* For tiers that state none. */
#define TIMEOUT_DEFAULT (30 * DP_USEC_PER_SEC)

/* What admission finds out, step by step. */
typedef struct Admission
{
  const DpRequestIn *in;
  const DpAccessKey *access;
  int pool;
  DpName model;
  gboolean repeatable;
  DpReason refusal;
  const char *detail;
} Admission;

static gboolean
refuse (Admission *admission, DpReason reason, const char *detail)
{
  admission->refusal = reason;
  admission->detail = detail;
  return FALSE;
}

static gboolean
check_authority (const DpEntryBoard *board, Admission *admission)
{
  const DpManifest *manifest = board->routes->manifest;
  int key = -1;
  if (admission->in->key_sha256 != NULL)
    key = dp_manifest_find_key (manifest, admission->in->key_sha256);
  if (key < 0)
    return refuse (admission, DP_REASON_UNAUTHORIZED, "no valid access key");
  admission->access = DP_MANIFEST_ROW (manifest, keys, DpAccessKey, key);
  return TRUE;
}

static gboolean
pool_serves (const Routes *routes, guint pool, DpName model)
{
  const GArray *groups = routes->pool_groups[pool];
  for (guint i = 0; i < groups->len; i++)
    if (entry_routes_serves (routes, g_array_index (groups, guint, i), model))
      return TRUE;
  return FALSE;
}

static gboolean
find_engine_pool (const DpEntryBoard *board, Admission *admission)
{
  if (strcmp (admission->in->method, "POST") != 0)
    return refuse (admission, DP_REASON_NO_SUCH_PATH, "use POST");
  admission->model = dp_name (admission->in->model);
  if (admission->model == 0)
    return refuse (admission, DP_REASON_BAD_REQUEST, "the body names no model");
  admission->repeatable = TRUE;
  const DpManifest *manifest = board->routes->manifest;
  for (guint i = 0; i < manifest->pools->len; i++)
    {
      const DpPool *pool = DP_MANIFEST_ROW (manifest, pools, DpPool, i);
      if (pool->kind != DP_POOL_ENGINES || !pool_serves (board->routes, i, admission->model))
        continue;
      admission->pool = (int)i;
      return TRUE;
    }
  return refuse (admission, DP_REASON_NO_SUCH_MODEL, "no engine carries this model");
}

/* Splits "/services/NAME/rest?query" into the pool and the call's path "/rest". */
static gboolean
find_service_pool (const DpEntryBoard *board, Admission *admission)
{
  const char *name = admission->in->path + strlen (SERVICES_PREFIX);
  gsize name_length = strcspn (name, "/?");
  char *pool_text = g_strndup (name, name_length);
  char *call_path = g_strndup (name + name_length, strcspn (name + name_length, "?"));
  const DpManifest *manifest = board->routes->manifest;
  const DpCall *call = NULL;
  int index = dp_manifest_find (manifest, DP_MANIFEST_POOL, dp_name (pool_text));
  if (index >= 0)
    {
      const DpPool *pool = DP_MANIFEST_ROW (manifest, pools, DpPool, index);
      if (pool->kind == DP_POOL_SERVICE)
        call = dp_pool_find_call (pool, admission->in->method, call_path);
    }
  g_free (pool_text);
  g_free (call_path);
  if (call == NULL)
    return refuse (admission, DP_REASON_NO_SUCH_PATH, "the service has no such call");
  admission->pool = index;
  admission->repeatable = call->repeatable;
  return TRUE;
}

static gboolean
find_pool (const DpEntryBoard *board, Admission *admission)
{
  const char *path = admission->in->path;
  if (admission->in->outcome_query)
    return TRUE;
  if (strcmp (path, COMPLETIONS_PATH) == 0)
    return find_engine_pool (board, admission);
  if (g_str_has_prefix (path, SERVICES_PREFIX))
    return find_service_pool (board, admission);
  return refuse (admission, DP_REASON_NO_SUCH_PATH, "no such path");
}

static gboolean
needs_claim (const Admission *admission)
{
  return admission->in->outcome_query || !admission->repeatable;
}

static DpUsec
retention (const DpEntryBoard *board, const Admission *admission)
{
  if (admission->in->outcome_query)
    return DP_KEY_RETENTION_MAX;
  const DpPool *pool
    = DP_MANIFEST_ROW (board->routes->manifest, pools, DpPool, admission->pool);
  DpUsec wanted = pool->key_retention > 0 ? pool->key_retention : DP_KEY_RETENTION_DEFAULT;
  return MIN (wanted, DP_KEY_RETENTION_MAX);
}

static gboolean
check_key (const DpEntryBoard *board, Admission *admission)
{
  const char *key = admission->in->idempotency_key;
  if (!needs_claim (admission))
    return TRUE;
  if (key == NULL)
    return refuse (admission, DP_REASON_KEY_REQUIRED,
                   "this call may not be repeated: send an Idempotency-Key (UUID version 7)");
  DpUsec created;
  if (!dp_idempotency_key_parse (key, &created))
    return refuse (admission, DP_REASON_KEY_MALFORMED,
                   "the Idempotency-Key is not a UUID of version 7");
  if (created > board->wall + DP_KEY_AHEAD_MAX)
    return refuse (admission, DP_REASON_KEY_MALFORMED,
                   "the Idempotency-Key's time lies in the future");
  if (created < board->wall - retention (board, admission))
    return refuse (admission, DP_REASON_KEY_EXPIRED, "the Idempotency-Key is too old");
  return TRUE;
}

static gboolean
check_load (DpEntryBoard *board, Admission *admission)
{
  if (board->stopping)
    return refuse (admission, DP_REASON_STOPPING, "this VM is leaving");
  if (dp_table_count (board->requests) >= board->options.requests_max)
    return refuse (admission, DP_REASON_OVERLOADED_ENTRY, "too many open requests");
  if (!admission->in->outcome_query && entry_quarantine_holds (board, admission->in->body_hash))
    return refuse (admission, DP_REASON_QUARANTINED, "targets died under this request");
  return TRUE;
}

static gboolean
check_all (DpEntryBoard *board, Admission *admission)
{
  if (board->routes == NULL || board->view == NULL)
    return refuse (admission, DP_REASON_NOT_READY, "no manifest in force yet");
  return check_authority (board, admission) && find_pool (board, admission)
         && check_key (board, admission) && check_load (board, admission);
}

static void
fill_ask (Request *request, const Admission *admission)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpRequestIn *in = admission->in;
  DpGrantAsk *ask = &request->ask;
  ask->tier = DP_MANIFEST_ROW (manifest, tiers, DpTier, request->tier)->name;
  ask->workspace
    = DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace, request->workspace)->name;
  ask->model = admission->model;
  ask->prompt_tokens = in->prompt_tokens;
  ask->output_tokens = in->output_tokens;
  ask->repeatable = admission->repeatable;
  ask->prefix_count = MIN (in->prefix_count, DP_PREFIX_BLOCKS_MAX);
  for (guint i = 0; i < ask->prefix_count; i++)
    ask->prefix[i] = in->prefix[i];
}

static DpUsec
deadline (const DpEntryBoard *board, const Request *request, const DpRequestIn *in)
{
  DpUsec timeout = in->timeout;
  if (timeout <= 0)
    timeout = entry_tier (request)->timeout;
  if (timeout <= 0)
    timeout = TIMEOUT_DEFAULT;
  return board->now + timeout;
}

static guint64
hash_path (const DpRequestIn *in)
{
  guint64 method = dp_hash_bytes (in->method, strlen (in->method), 0);
  return dp_hash_bytes (in->path, strlen (in->path), method);
}

static Request *
add_request (DpEntryBoard *board, const Admission *admission)
{
  const DpRequestIn *in = admission->in;
  void *row;
  DpHandle handle = dp_table_add (board->requests, &row);
  Request *request = row;
  request->handle = handle;
  request->caller = in->caller;
  request->routes = entry_routes_ref (board->routes);
  request->workspace = admission->access->workspace;
  request->tier = admission->access->tier;
  request->pool = (guint)admission->pool;
  request->stream = in->stream;
  request->repeatable = admission->repeatable;
  request->outcome_query = in->outcome_query;
  request->deadline = deadline (board, request, in);
  request->body_hash = in->body_hash;
  request->path_hash = hash_path (in);
  request->group = -1;
  request->tried_groups = g_array_new (FALSE, FALSE, sizeof (guint));
  fill_ask (request, admission);
  g_hash_table_insert (board->callers, g_memdup2 (&in->caller, sizeof in->caller),
                       g_memdup2 (&handle, sizeof handle));
  return request;
}

static void
fill_key (Request *request, const char *key)
{
  DpUsec created = 0;
  dp_idempotency_key_parse (key, &created);
  request->is_keyed = TRUE;
  request->key = dp_idempotency_key_record (request->ask.workspace, key);
  request->bucket = dp_idempotency_key_bucket (request->key, created);
}

/* What may be said of a request that is refused before its key's record is known: an earlier
 * request under the key may have run. */
static DpOutcome
refusal_outcome (const Admission *admission)
{
  DpUsec created;
  if (admission->repeatable || admission->in->idempotency_key == NULL
      || !dp_idempotency_key_parse (admission->in->idempotency_key, &created))
    return DP_OUTCOME_NOT_RUN;
  return DP_OUTCOME_UNKNOWN;
}

void
entry_admit_proceed (DpEntryBoard *board, Request *request)
{
  if (request->is_keyed)
    entry_claims_begin (board, request, request->key, request->bucket);
  else
    entry_grants_begin (board, request);
}

void
entry_admit (DpEntryBoard *board, const DpRequestIn *in)
{
  Admission admission = { .in = in };
  if (!check_all (board, &admission))
    {
      entry_answer_refuse (board, in, admission.refusal, refusal_outcome (&admission),
                           admission.detail);
      return;
    }
  Request *request = add_request (board, &admission);
  if (needs_claim (&admission))
    fill_key (request, in->idempotency_key);
  if (request->outcome_query)
    entry_admit_proceed (board, request);
  else
    entry_limits_begin (board, request);
}
