/* The stand-in platform's state, shared by its files. One per process. */
#pragma once

#include "common/id.h"
#include "standins/fault.h"
#include "standins/http.h"
#include "standins/platform_store.h"

#include <glib.h>

typedef struct PlatformFaults
{
  char *only;           /* faults concern only paths that start so */
  gint64 unavailable;   /* 1: 503 to each call */
  gint64 refuse;        /* 1: connections are refused */
  gint64 silent;        /* 1: calls get no answer and no effect */
  gint64 slow_ms;       /* delay of each answer */
  gint64 lose_answers;  /* that many writes take effect and get no answer */
  gint64 lose_percent;  /* chance that a write does so */
  gint64 late_write_ms; /* writes lose their connection and take effect so much later */
  gint64 stale_percent; /* chance that a read gets the value before */
  gint64 watch_gap;     /* that many changes wake no watch */
  gint64 watch_repeat;  /* that many watches answer at once with what is known */
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
  GQueue watches; /* Pending */
  /* calls of the current second, and of the busiest one */
  guint rate; /* 0: no limit */
  DpUsec second;
  guint64 calls_now;
  guint64 calls_peak;
  guint64 refused;
  guint64 lost;
  GHashTable *calls; /* "KIND PREFIX" -> count */
} Platform;

/* A call that waits: for its slow answer, its late effect or its watch's change. */
typedef struct Pending
{
  struct evhttp_request *req; /* NULL once the peer has gone */
  struct event *timer;
  char *path;
  guint64 version; /* of the watch, or expected by the late write */
  GBytes *value;   /* of the late write */
} Pending;

extern Platform platform;

/* Do the fault switches concern this object? */
gboolean platform_concerns (const char *path);

/* A call that waits `msec` for `next`, which has to free it. */
Pending *platform_pending_new (struct evhttp_request *req,
                               const char *path,
                               gint64 msec,
                               event_callback_fn next);
void platform_pending_free (Pending *pending);

/* Carries out one call and answers it. */
void platform_run_call (struct evhttp_request *req, CallKind kind, const char *path);
