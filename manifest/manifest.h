/* The manifest: what the operators want, checked and ready for use.
 *
 * A manifest is immutable once parsed; it is shared by reference count. Rows refer to each
 * other by index into the manifest's arrays. All arrays are ordered as in the file, but for
 * groups, which are derived.
 */
#pragma once

#include "common/findings.h"
#include "common/id.h"

#include <glib.h>

#define DP_MANIFEST_BYTES_MAX ((gsize)1024 * 1024)
#define DP_MANIFEST_DEPTH_MAX 16
#define DP_TIERS_MAX 8
/* Longest time for which outcomes of non-repeatable calls may be kept. */
#define DP_KEY_RETENTION_HOURS_MAX 168
/* A pool's targets in one data centre are split into groups of at most this many. */
#define DP_GROUP_TARGETS_MAX 64

typedef struct DpTier
{
  char *text;
  DpName name;
  DpUsec timeout; /* for requests that bring none */
} DpTier;

typedef struct DpDataCentre
{
  char *text;
  DpName name;
  char *region;
} DpDataCentre;

typedef struct DpWorkspace
{
  char *text;
  DpName name;
  guint weight;              /* share within a tier, relative to other workspaces */
  guint requests_per_second; /* over all entries together; 0: no limit */
  guint requests_in_flight;  /* over all entries together; 0: no limit */
  guint retry_percent;       /* retries allowed, as a share of requests served */
  /* Rate limit over all entries together, in requests or in tokens; 0: no limit */
  double rate_per_second;
  double rate_burst;
  gboolean rate_counts_tokens;
  guint plain_tokens; /* what a request without token counts is charged */
  int tier;           /* goes before the route's; -1: the route's */
} DpWorkspace;

/* An access key. Only the hash of the key is known here. */
typedef struct DpAccessKey
{
  char *sha256; /* 64 lowercase hexadecimal digits */
  guint workspace;
  guint tier;
} DpAccessKey;

typedef struct DpModel
{
  char *text;
  DpName name;
  guint output_tokens; /* expected length of an answer until one has been learned */
} DpModel;

typedef enum DpPoolKind
{
  DP_POOL_ENGINES,
  DP_POOL_SERVICE,
} DpPoolKind;

/* One call of a plain service. */
typedef struct DpCall
{
  char *method; /* "POST" */
  char *path;   /* path below the service's prefix; a trailing '*' matches any rest */
  gboolean repeatable;
} DpCall;

/* A set of targets that stand in for each other: a pool of engines, or one plain service. */
typedef struct DpPool
{
  char *text; /* for a service, the first member of its path: /services/TEXT/... */
  DpName name;
  DpPoolKind kind;
  GArray *calls;        /* DpCall; services only. A call that is not listed is refused */
  DpUsec key_retention; /* services only: how long outcomes are kept */
} DpPool;

/* An engine, or one instance of a plain service. */
typedef struct DpTarget
{
  char *text;
  DpName name;
  guint pool;
  guint data_centre;
  char *address; /* IP number */
  guint16 port;
  guint window; /* requests in flight at most */
  /* engines only */
  guint prefill_tokens_per_second;
  guint decode_tokens_per_second; /* all requests together */
  guint stream_tokens_per_second; /* one request alone */
  guint kv_tokens;                /* tokens that fit in the key-value cache */
  gboolean checks_fence;          /* refuses orders with an old fencing number */
  GArray *models;                 /* guint: indices into models */
} DpTarget;

/* The targets of one pool in one data centre (or a shard of them): the unit of ownership. */
typedef struct DpGroup
{
  DpName name;
  guint pool;
  guint data_centre;
  GArray *targets; /* guint: indices into targets */
} DpGroup;

/* What may be done again with a request of a route. */
typedef enum DpRouteKind
{
  DP_ROUTE_SAFE,   /* any number of times */
  DP_ROUTE_UNSAFE, /* at most once */
  DP_ROUTE_STREAM, /* server-sent events; at most once unless resumable */
} DpRouteKind;

/* One pool of a route that is split over several. */
typedef struct DpRouteShare
{
  guint pool;
  guint weight;
} DpRouteShare;

/* Requests of one host below one path prefix. */
typedef struct DpRoute
{
  char *text;
  DpName name;
  char *host;
  char *path_prefix; /* begins and ends with '/' */
  DpRouteKind kind;
  gboolean resumable; /* streams: may go on at another target after the last whole event */
  gboolean is_public; /* needs no access key */
  guint tier;
  guint attempts_max;          /* targets that one request may be sent to */
  DpUsec timeout;              /* for the whole answer */
  DpUsec first_byte_objective; /* an answer that begins later is late */
  DpUsec pause_objective;      /* streams: longest pause between events of an answer on time */
  GArray *shares;              /* DpRouteShare, at least one */
} DpRoute;

/* Bounds on what callers send; 0: none stated. */
typedef struct DpCallerLimits
{
  guint head_bytes;
  guint body_bytes;
  DpUsec idle_timeout; /* of kept connections */
} DpCallerLimits;

/* Kinds of named rows. */
typedef enum DpManifestKind
{
  DP_MANIFEST_TIER = 1,
  DP_MANIFEST_DATA_CENTRE,
  DP_MANIFEST_WORKSPACE,
  DP_MANIFEST_MODEL,
  DP_MANIFEST_POOL,
  DP_MANIFEST_TARGET,
  DP_MANIFEST_GROUP,
} DpManifestKind;

typedef struct DpManifest
{
  gatomicrefcount refs;
  guint64 revision;
  guint64 digest;       /* hash of the text */
  GArray *tiers;        /* DpTier, most urgent first */
  GArray *data_centres; /* DpDataCentre */
  GArray *workspaces;   /* DpWorkspace */
  GArray *keys;         /* DpAccessKey */
  GArray *models;       /* DpModel */
  GArray *pools;        /* DpPool */
  GArray *targets;      /* DpTarget; none where targets register themselves */
  GArray *routes;       /* DpRoute */
  DpCallerLimits caller_limits;
  /* derived by dp_manifest_finish() */
  guint group_targets_max; /* 0: DP_GROUP_TARGETS_MAX */
  GArray *groups;          /* DpGroup */
  GHashTable *index;       /* kind and name -> index + 1 */
  GHashTable *key_index;   /* SHA-256 -> index + 1 */
  GHashTable *host_index; /* host in lower case -> GPtrArray of DpRoute, longest prefix first */
} DpManifest;

/* An empty manifest, for the parser and for tests that build one row by row: fill the arrays,
 * then call dp_manifest_finish() once. */
DpManifest *dp_manifest_new (void);
GArray *dp_manifest_calls_new (void);

/* Derives groups and indices; the manifest must not be changed after it. */
void dp_manifest_finish (DpManifest *manifest);

/* Parses and checks a manifest: JSON with comments. On any finding, returns NULL; all findings
 * of the text are added to `findings` with file, line and member path. */
DpManifest *
dp_manifest_parse (const char *file, const char *text, gsize length, DpFindings *findings);

/* Hash of a manifest's text; every release computes the same. */
guint64 dp_manifest_digest (const char *text, gsize length);

DpManifest *dp_manifest_ref (DpManifest *manifest);
void dp_manifest_unref (DpManifest *manifest);

/* Typed access; `index` must be in range. */
#define DP_MANIFEST_ROW(manifest, array, Type, index)                                          \
  (&g_array_index ((manifest)->array, Type, (index)))

/* Index of the row of that kind and name, or -1. */
int dp_manifest_find (const DpManifest *manifest, DpManifestKind kind, DpName name);

/* Index of the access key with that SHA-256 (64 lowercase hexadecimal digits), or -1. */
int dp_manifest_find_key (const DpManifest *manifest, const char *sha256);

/* The route of that host (in any case, without a port) with the longest prefix that begins
 * `path`, or NULL. */
const DpRoute *
dp_manifest_find_route (const DpManifest *manifest, const char *host, const char *path);

/* TRUE if the route's requests may run more than once. */
gboolean dp_route_is_repeatable (const DpRoute *route);

/* Index of the pool for a request, by weight; `draw` is a random number. */
guint dp_route_choose_pool (const DpRoute *route, guint64 draw);

/* An empty array of DpRouteShare. */
GArray *dp_route_shares_new (void);

/* The call of the service pool that matches, or NULL. */
const DpCall *dp_pool_find_call (const DpPool *pool, const char *method, const char *path);
