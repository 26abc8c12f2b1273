/* Starts nodes and fills the stand-in store for tests and the soak, in the formats of the
 * users' platform. */
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
  const char *service; /* NULL: "app" */
  const char *address;
  guint16 port;
  const char *data_centre;
  const char *state;
  gint64 started;      /* Unix milliseconds */
  const char *version; /* of its software; NULL: "v1" */
} NodeKitTarget;

typedef struct NodeKitVm
{
  const char *build;   /* build directory */
  const char *program; /* in the build directory; NULL: the node's */
  const char *folder;  /* for the settings file */
  const char *log;
  const char *name;
  const char *address;
  const char *data_centre;
  guint16 bus_port;
  guint16 tunnel_port; /* 0: not set, as for builds without that setting */
  guint16 operator_port;
  guint16 caller_port;
  guint16 ready_port;
  NodeKitStore store;
  const char *seeds;
  gboolean first_start;
  const char *more_settings; /* members of the settings, each with a comma behind it; or NULL */
} NodeKitVm;

/* Each writes to the store and returns the HTTP status, 0 if there was no answer. `more_routes`
 * is appended to the list of routes: ",{...}" or "". */
int node_kit_put_config (NodeKitStore store, guint version, const char *more_routes);
int node_kit_put_target (NodeKitStore store, const char *method, const NodeKitTarget *target);
int node_kit_remove_target (NodeKitStore store, const char *id);

/* A value for `more_routes`: a safe route with the path prefix /NAME/. */
#define NODE_KIT_ROUTE(name)                                                                   \
  ",{\"name\":\"" name "\",\"host\":\"" NODE_KIT_HOST "\",\"path_prefix\":\"/" name            \
  "/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"service\":\"app\"}"

typedef struct NodeKitRequest
{
  const char *method;
  const char *path;
  const char *id;
  const char *body;
  guint timeout_ms;         /* Deadline-Ms header */
  gboolean is_stream;       /* requests a stream of events */
  const char *resumes;      /* id of the request whose stream it takes up; NULL: none */
  guint last_event;         /* of that stream, if so */
  const char *prompt_parts; /* ids and tokens of the prompt's parts; NULL: none are stated */
} NodeKitRequest;

/* The request as HTTP/1.1 bytes. Free with g_free(). */
char *node_kit_format_request (const NodeKitRequest *request);
/* TRUE if the response head has the Request-Id `id`. */
gboolean node_kit_is_answer_to (const char *head, const char *id);
/* TRUE if the response head has a target's signature. */
gboolean node_kit_is_signed (const char *head);

/* Writes the settings file and starts the node. */
Process *node_kit_start (const NodeKitVm *vm);
