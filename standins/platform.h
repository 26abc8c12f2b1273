/* State of the stand-in platform, shared by its source files. One per process. */
#pragma once

#include "common/id.h"
#include "standins/fault.h"
#include "standins/http.h"
#include "standins/platform_store.h"

#include <glib.h>

/* Fault switches; the counted ones decrease with each use. The switches for lost responses
 * leave the effect of the call in place. */
typedef struct PlatformFaults
{
  char *only;           /* path prefix; NULL: faults apply to all objects */
  gint64 unavailable;   /* 1: all calls get 503 */
  gint64 refuse;        /* 1: connections are refused */
  gint64 silent;        /* 1: calls get no response and have no effect */
  gint64 slow_ms;       /* delay before a call is processed */
  gint64 lose_answers;  /* number of writes and deletes to leave without a response */
  gint64 lose_percent;  /* probability that a write or delete gets no response */
  gint64 late_write_ms; /* writes get no response and are applied after this delay */
  gint64 stale_percent; /* probability that a read returns the previous version */
  gint64 watch_gap;     /* number of changes to hide from waiting watches */
  gint64 watch_repeat;  /* number of watches to answer at once with the unchanged object */
} PlatformFaults;

typedef enum CallKind
{
  CALL_GET,
  CALL_WATCH,
  CALL_PUT,
  CALL_DELETE,
  CALL_LIST,
  CALL_KINDS,
} CallKind;

typedef struct Platform
{
  struct event_base *base;
  StandinServer *server;
  Store *store;
  PlatformFaults faults;
  FaultTable fault_table;
  GRand *random;
  GQueue watches;        /* PendingCall */
  guint rate_limit;      /* calls per second; 0: no limit */
  DpUsec current_second; /* monotonic time in seconds */
  guint64 calls_this_second;
  guint64 peak_calls_per_second;
  guint64 refused;         /* calls over the rate limit */
  guint64 lost_responses;  /* by fault, including late writes */
  GHashTable *call_counts; /* "KIND PREFIX" -> count */
} Platform;

/* A delayed call, a late write or a watch that waits for a change. */
typedef struct PendingCall
{
  struct evhttp_request *req; /* NULL once the peer has disconnected, and for late writes */
  struct event *timer;
  char *path;
  guint64 version; /* known to the watch, or expected by the late write */
  GBytes *value;   /* of the late write */
} PendingCall;

extern Platform platform;

/* Whether the fault switches apply to this object. */
gboolean platform_fault_applies (const char *path);

/* Calls `next` with the new pending call after `msec`; `next` must free it. `req` may be NULL;
 * it is not freed with the pending call. */
PendingCall *platform_pending_new (struct evhttp_request *req,
                                   const char *path,
                                   gint64 msec,
                                   event_callback_fn next);
void platform_pending_free (PendingCall *pending);

/* Executes one call and responds; a watch responds on a change or at its timeout. Takes
 * ownership of `req`. */
void platform_execute_call (struct evhttp_request *req, CallKind kind, const char *path);
