/* Validates new requests: access key, path, model, idempotency key and load. The access key is
 * checked before anything else is looked up. */
#include "core/entry_private.h"
#include "core/idempotency_key.h"

#include <string.h>

#define COMPLETIONS_PATH "/v1/chat/completions"
#define SERVICES_PREFIX "/services/"
/* For tiers without a timeout. */
#define DEFAULT_TIMEOUT (30 * DP_USEC_PER_SEC)

/* Result of the checks so far. */
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
check_access_key (const DpEntryCore *core, Admission *admission)
{
  const DpManifest *manifest = core->routes->manifest;
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
find_engine_pool (const DpEntryCore *core, Admission *admission)
{
  if (strcmp (admission->in->method, "POST") != 0)
    return refuse (admission, DP_REASON_NO_SUCH_PATH, "use the POST method");
  admission->model = dp_name (admission->in->model);
  if (admission->model == 0)
    return refuse (admission, DP_REASON_BAD_REQUEST, "the request body has no model");
  admission->repeatable = TRUE;
  const DpManifest *manifest = core->routes->manifest;
  for (guint i = 0; i < manifest->pools->len; i++)
    {
      const DpPool *pool = DP_MANIFEST_ROW (manifest, pools, DpPool, i);
      if (pool->kind != DP_POOL_ENGINES || !pool_serves (core->routes, i, admission->model))
        continue;
      admission->pool = (int)i;
      return TRUE;
    }
  return refuse (admission, DP_REASON_NO_SUCH_MODEL, "no engine serves this model");
}

/* Finds the pool and the call for a path "/services/NAME/rest?query"; the call's path is
 * "/rest". */
static gboolean
find_service_pool (const DpEntryCore *core, Admission *admission)
{
  const char *name = admission->in->path + strlen (SERVICES_PREFIX);
  gsize name_length = strcspn (name, "/?");
  char *pool_text = g_strndup (name, name_length);
  char *call_path = g_strndup (name + name_length, strcspn (name + name_length, "?"));
  const DpManifest *manifest = core->routes->manifest;
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
find_pool (const DpEntryCore *core, Admission *admission)
{
  const char *path = admission->in->path;
  if (admission->in->outcome_query)
    return TRUE;
  if (strcmp (path, COMPLETIONS_PATH) == 0)
    return find_engine_pool (core, admission);
  if (g_str_has_prefix (path, SERVICES_PREFIX))
    return find_service_pool (core, admission);
  return refuse (admission, DP_REASON_NO_SUCH_PATH, "no such path");
}

static gboolean
needs_claim (const Admission *admission)
{
  return admission->in->outcome_query || !admission->repeatable;
}

static DpUsec
key_retention (const DpEntryCore *core, const Admission *admission)
{
  if (admission->in->outcome_query)
    return DP_KEY_RETENTION_MAX;
  const DpPool *pool = DP_MANIFEST_ROW (core->routes->manifest, pools, DpPool, admission->pool);
  DpUsec wanted = pool->key_retention > 0 ? pool->key_retention : DP_KEY_RETENTION_DEFAULT;
  return MIN (wanted, DP_KEY_RETENTION_MAX);
}

static gboolean
check_key (const DpEntryCore *core, Admission *admission)
{
  const char *key = admission->in->idempotency_key;
  if (!needs_claim (admission))
    return TRUE;
  if (key == NULL)
    return refuse (admission, DP_REASON_KEY_REQUIRED,
                   "this call must not be repeated: send an Idempotency-Key (UUID version 7)");
  DpUsec created;
  if (!dp_idempotency_key_parse (key, &created))
    return refuse (admission, DP_REASON_KEY_MALFORMED,
                   "the Idempotency-Key is not a UUID of version 7");
  if (created > core->wall + DP_KEY_CLOCK_SKEW_MAX)
    return refuse (admission, DP_REASON_KEY_MALFORMED,
                   "the Idempotency-Key's timestamp is in the future");
  if (created < core->wall - key_retention (core, admission))
    return refuse (admission, DP_REASON_KEY_EXPIRED, "the Idempotency-Key has expired");
  return TRUE;
}

static gboolean
check_load (DpEntryCore *core, Admission *admission)
{
  if (core->stopping)
    return refuse (admission, DP_REASON_STOPPING, "this VM is shutting down");
  if (dp_table_count (core->requests) >= core->options.requests_max)
    return refuse (admission, DP_REASON_OVERLOADED_ENTRY, "too many open requests");
  if (!admission->in->outcome_query && entry_quarantine_blocks (core, admission->in->body_hash))
    return refuse (admission, DP_REASON_QUARANTINED,
                   "this request is quarantined: several targets crashed while they ran it");
  return TRUE;
}

static gboolean
validate (DpEntryCore *core, Admission *admission)
{
  if (core->routes == NULL || core->view == NULL)
    return refuse (admission, DP_REASON_NOT_READY, "no manifest is in force yet");
  return check_access_key (core, admission) && find_pool (core, admission)
         && check_key (core, admission) && check_load (core, admission);
}

static void
fill_grant_ask (Request *request, const Admission *admission)
{
  const DpManifest *manifest = request->routes->manifest;
  const DpRequestIn *in = admission->in;
  DpGrantAsk *grant_ask = &request->grant_ask;
  grant_ask->tier = DP_MANIFEST_ROW (manifest, tiers, DpTier, request->tier)->name;
  grant_ask->workspace
    = DP_MANIFEST_ROW (manifest, workspaces, DpWorkspace, request->workspace)->name;
  grant_ask->model = admission->model;
  grant_ask->prompt_tokens = in->prompt_tokens;
  grant_ask->output_tokens = in->output_tokens;
  grant_ask->repeatable = admission->repeatable;
  grant_ask->prefix_count = MIN (in->prefix_count, DP_PREFIX_BLOCKS_MAX);
  for (guint i = 0; i < grant_ask->prefix_count; i++)
    grant_ask->prefix[i] = in->prefix[i];
}

static DpUsec
compute_deadline (const DpEntryCore *core, const Request *request, const DpRequestIn *in)
{
  DpUsec timeout = in->timeout;
  if (timeout <= 0)
    timeout = entry_tier (request)->timeout;
  if (timeout <= 0)
    timeout = DEFAULT_TIMEOUT;
  return core->now + timeout;
}

static guint64
hash_path (const DpRequestIn *in)
{
  guint64 method = dp_hash_bytes (in->method, strlen (in->method), 0);
  return dp_hash_bytes (in->path, strlen (in->path), method);
}

static Request *
add_request (DpEntryCore *core, const Admission *admission)
{
  const DpRequestIn *in = admission->in;
  void *row;
  DpHandle handle = dp_table_add (core->requests, &row);
  Request *request = row;
  request->handle = handle;
  request->caller = in->caller;
  request->routes = entry_routes_ref (core->routes);
  request->workspace = admission->access->workspace;
  request->tier = admission->access->tier;
  request->pool = (guint)admission->pool;
  request->stream = in->stream;
  request->repeatable = admission->repeatable;
  request->outcome_query = in->outcome_query;
  request->deadline = compute_deadline (core, request, in);
  request->body_hash = in->body_hash;
  request->path_hash = hash_path (in);
  request->group = -1;
  request->tried_groups = g_array_new (FALSE, FALSE, sizeof (guint));
  fill_grant_ask (request, admission);
  g_hash_table_insert (core->callers, g_memdup2 (&in->caller, sizeof in->caller),
                       g_memdup2 (&handle, sizeof handle));
  return request;
}

static void
fill_key (Request *request, const char *key)
{
  DpUsec created = 0;
  dp_idempotency_key_parse (key, &created);
  request->is_keyed = TRUE;
  request->key = dp_idempotency_key_record_id (request->grant_ask.workspace, key);
  request->bucket = dp_idempotency_key_bucket (request->key, created);
}

/* Outcome for a request that is refused before its key's record is looked up: an earlier
 * request with the same key may have run. */
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
entry_admit_proceed (DpEntryCore *core, Request *request)
{
  if (request->is_keyed)
    entry_claims_add_request (core, request, request->key, request->bucket);
  else
    entry_grants_begin (core, request);
}

void
entry_admit (DpEntryCore *core, const DpRequestIn *in)
{
  Admission admission = { .in = in };
  if (!validate (core, &admission))
    {
      entry_answer_unadmitted (core, in, admission.refusal, refusal_outcome (&admission),
                               admission.detail);
      return;
    }
  Request *request = add_request (core, &admission);
  if (needs_claim (&admission))
    fill_key (request, in->idempotency_key);
  if (request->outcome_query)
    entry_admit_proceed (core, request);
  else
    entry_limits_acquire (core, request);
}
