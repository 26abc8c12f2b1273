/* The manifest: the operators' configuration of the whole system, validated and indexed.
 *
 * A parsed manifest is immutable and reference-counted. Rows refer to each other by index into
 * the manifest's arrays. The arrays are in file order, except for groups, which are derived.
 */
#pragma once

#include "common/diagnostics.h"
#include "common/id.h"

#include <glib.h>

#define DP_MANIFEST_BYTES_MAX ((gsize)1024 * 1024)
#define DP_MANIFEST_DEPTH_MAX 16
#define DP_TIERS_MAX 8
/* Maximum retention of the outcomes of non-repeatable calls. */
#define DP_KEY_RETENTION_HOURS_MAX 168
/* A pool's targets in one data centre are split into groups of at most this many by default. */
#define DP_GROUP_TARGETS_MAX 64

typedef struct DpTier
{
  char *text;
  DpName name;
  DpUsec timeout; /* default for requests without one */
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
  guint weight;              /* relative share of capacity within a tier */
  guint requests_per_second; /* limit across all entries; 0: none */
  guint requests_in_flight;  /* limit across all entries; 0: none */
  guint retry_percent;       /* retry budget, percent of requests served */
  /* Rate limit across all entries, in requests or tokens; 0: none. */
  double rate_per_second;
  double rate_burst;
  gboolean rate_counts_tokens;
  guint plain_tokens; /* charge for a request without token counts */
  int tier;           /* overrides the tier of the route; -1: don't override */
} DpWorkspace;

/* An access key, stored as its hash only. */
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
  guint output_tokens; /* expected answer length until an estimate exists */
} DpModel;

typedef enum DpPoolKind
{
  DP_POOL_ENGINES,
  DP_POOL_SERVICE,
} DpPoolKind;

/* A call that a plain service accepts. */
typedef struct DpCall
{
  char *method; /* "POST" */
  char *path;   /* below the service's prefix; a trailing '*' matches any suffix */
  gboolean repeatable;
} DpCall;

/* A set of interchangeable targets: a pool of engines, or one plain service. */
typedef struct DpPool
{
  char *text; /* for a service also part of its URL: /services/TEXT/... */
  DpName name;
  DpPoolKind kind;
  GArray *calls;        /* DpCall; services only. Other calls are rejected */
  DpUsec key_retention; /* services only: retention of outcomes */
} DpPool;

/* An engine, or one instance of a plain service. */
typedef struct DpTarget
{
  char *text;
  DpName name;
  guint pool;
  guint data_centre;
  char *address; /* IP address */
  guint16 port;
  guint window; /* maximum requests in flight */
  /* Engines only: */
  guint prefill_tokens_per_second;
  guint decode_tokens_per_second; /* all requests combined */
  guint stream_tokens_per_second; /* a single request */
  guint kv_tokens;                /* capacity of the key-value cache */
  gboolean checks_fence;          /* rejects orders with an outdated fencing token */
  GArray *models;                 /* guint: indices into models */
} DpTarget;

/* The targets of one pool in one data centre, or a shard of them. The unit of ownership. */
typedef struct DpGroup
{
  DpName name;
  guint pool;
  guint data_centre;
  GArray *targets; /* guint: indices into targets */
} DpGroup;

/* How often a request of a route may be executed. */
typedef enum DpRouteKind
{
  DP_ROUTE_SAFE,   /* any number of times */
  DP_ROUTE_UNSAFE, /* at most once */
  DP_ROUTE_STREAM, /* server-sent events; at most once unless resumable */
} DpRouteKind;

/* A pool of a route and its share of the requests. */
typedef struct DpRouteShare
{
  DpName pool;
  char *pool_text;
  guint weight;
} DpRouteShare;

/* Matches requests by host and path prefix. Immutable and reference-counted, so that manifests
 * share the routes that a change leaves as they are. */
typedef struct DpRoute
{
  gatomicrefcount refs;
  char *text;
  DpName name;
  char *host;
  char *path_prefix; /* begins and ends with '/' */
  char *match_key;   /* for the index; set by dp_route_new() */
  DpRouteKind kind;
  gboolean resumable; /* streams: may resume elsewhere after the last complete event */
  gboolean is_public; /* needs no access key */
  guint tier;
  guint attempts_max;          /* maximum attempts per request */
  DpUsec timeout;              /* until the end of the answer */
  DpUsec first_byte_objective; /* target time to first byte */
  DpUsec pause_objective;      /* streams: target for the longest pause between events */
  GArray *shares;              /* DpRouteShare, at least one */
} DpRoute;

/* Finds the route of a request in steps that depend on its path, not on the number of routes.
 */
typedef struct DpRouteIndex DpRouteIndex;

/* Limits on the connections and requests of callers; 0: not set. */
typedef struct DpCallerLimits
{
  guint head_bytes;
  guint body_bytes;
  DpUsec head_timeout; /* to send the head of a request */
  DpUsec idle_timeout; /* of keep-alive connections */
} DpCallerLimits;

/* Kinds of rows that dp_manifest_find() finds by name. */
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
  GArray *targets;      /* DpTarget; empty if targets register themselves */
  GPtrArray *routes;    /* DpRoute; may be shared with another manifest */
  DpCallerLimits caller_limits;
  /* Derived by dp_manifest_finish(): */
  guint group_targets_max;   /* may be set before; 0: DP_GROUP_TARGETS_MAX */
  GArray *groups;            /* DpGroup */
  GHashTable *index;         /* kind and name -> index + 1 */
  GHashTable *key_index;     /* SHA-256 -> index + 1 */
  DpRouteIndex *route_index; /* of `routes`, and shared with them */
} DpManifest;

/* Creates an empty manifest. Fill its arrays, then call dp_manifest_finish() once. */
DpManifest *dp_manifest_new (void);

/* Before dp_manifest_finish(): takes the routes of another manifest, with their index. */
void dp_manifest_share_routes (DpManifest *manifest, const DpManifest *other);
/* The same for pools. */
void dp_manifest_share_pools (DpManifest *manifest, const DpManifest *other);
/* The same for workspaces and access keys. */
void dp_manifest_share_workspaces (DpManifest *manifest, const DpManifest *other);

/* Creates an empty array of DpCall that frees its elements. */
GArray *dp_manifest_calls_new (void);

/* Derives groups and indices. The manifest must not be modified afterwards. */
void dp_manifest_finish (DpManifest *manifest);

/* Parses and validates a manifest in JSON with comments. Adds every problem of the text to
 * `diagnostics` with file, line and member path, and returns NULL if there is any. */
DpManifest *dp_manifest_parse (const char *file,
                               const char *text,
                               gsize length,
                               DpDiagnostics *diagnostics);

/* Hash of a manifest text. The algorithm must be the same in every release. */
guint64 dp_manifest_digest (const char *text, gsize length);

DpManifest *dp_manifest_ref (DpManifest *manifest);
void dp_manifest_unref (DpManifest *manifest);

/* Pointer to a row; `index` must be in range. */
#define DP_MANIFEST_ROW(manifest, array, Type, index)                                          \
  (&g_array_index ((manifest)->array, Type, (index)))

/* The same of a route. */
#define DP_MANIFEST_ROUTE(manifest, index)                                                     \
  ((const DpRoute *)g_ptr_array_index ((manifest)->routes, index))

/* Returns the index of the row of this kind and name, or -1. */
int dp_manifest_find (const DpManifest *manifest, DpManifestKind kind, DpName name);

/* Returns the index of the access key with this SHA-256 (lowercase hexadecimal), or -1. */
int dp_manifest_find_key (const DpManifest *manifest, const char *sha256);

/* Returns the route of `host` with the longest prefix of `path`, or NULL. Case and port of
 * `host` are ignored. */
const DpRoute *
dp_manifest_find_route (const DpManifest *manifest, const char *host, const char *path);

/* TRUE if requests of the route may be executed more than once. */
gboolean dp_route_is_repeatable (const DpRoute *route);

/* Returns a pool, chosen by weight; `random_value` is uniformly distributed. */
DpName dp_route_select_pool (const DpRoute *route, guint64 random_value);

/* Takes over the strings and the shares of `row`. */
DpRoute *dp_route_new (const DpRoute *row);
DpRoute *dp_route_ref (DpRoute *route);
void dp_route_unref (DpRoute *route);

/* Creates an empty array of DpRouteShare that frees its elements. */
GArray *dp_route_shares_new (void);

/* Returns the call of the service pool that matches, or NULL. */
const DpCall *dp_pool_find_call (const DpPool *pool, const char *method, const char *path);
