/* A node and its store for tests and the soak: config, targets and settings as the users'
 * platform has them. */
#pragma once

#include "tests/process.h"

#define NODE_KIT_HOST "site.example"
#define NODE_KIT_KEY "letmein"

/* Where the stand-in store listens. */
typedef struct NodeKitStore
{
  const char *address;
  guint16 port;
} NodeKitStore;

typedef struct NodeKitTarget
{
  const char *id;
  const char *address;
  guint16 port;
  const char *data_centre;
  const char *state;
  gint64 started; /* Unix milliseconds */
} NodeKitTarget;

typedef struct NodeKitVm
{
  const char *build; /* build folder */
  const char *folder;
  const char *log;
  const char *name;
  const char *address;
  const char *data_centre;
  guint16 bus;
  guint16 operators;
  guint16 callers;
  guint16 ready;
  NodeKitStore store;
  const char *seeds;
  gboolean first_start;
} NodeKitVm;

/* Writes; each returns the HTTP status, 0 if there was no answer. `more_routes` is appended to
 * the list of routes, ",{...}" or "". */
int node_kit_put_config (NodeKitStore store, guint version, const char *more_routes);
int node_kit_put_target (NodeKitStore store, const char *method, const NodeKitTarget *target);
int node_kit_remove_target (NodeKitStore store, const char *id);

/* A route for `more_routes`, under /NAME/. */
#define NODE_KIT_ROUTE(name)                                                                   \
  ",{\"name\":\"" name "\",\"host\":\"" NODE_KIT_HOST "\",\"path_prefix\":\"/" name            \
  "/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"service\":\"app\"}"

/* A caller's request. */
typedef struct NodeKitRequest
{
  const char *method;
  const char *path;
  const char *id;
  const char *body;
  guint timeout_ms; /* how long the caller waits */
  gboolean is_stream;
} NodeKitRequest;

/* Its bytes. Free with g_free(). */
char *node_kit_format_request (const NodeKitRequest *request);
/* TRUE if the head of an answer names the request. */
gboolean node_kit_answers (const char *head, const char *id);
/* TRUE if the head bears a target's signature. */
gboolean node_kit_is_signed (const char *head);

/* Writes the settings and starts the process. */
Process *node_kit_start (const NodeKitVm *vm);
