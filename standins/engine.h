/* State of a stand-in engine, shared by its source files. One engine per process. */
#pragma once

#include "standins/engine_model.h"
#include "standins/fault.h"
#include "standins/http.h"

#include <glib.h>
#include <json-c/json.h>

/* Interval at which the model advances while it has requests. */
#define ENGINE_TICK_USEC 1000

/* Values of the fault switches; FAULT_OFF or NULL: off. Tokens are counted from 0 in the
 * complete response. */
typedef struct EngineFaults
{
  gint64 die_at_token;    /* the process exits before sending this token */
  gint64 silent_at_token; /* stops sending at this token; the connection stays open */
  gint64 cut_at_token;    /* token at which "mid_chunk" closes; off: token 1 */
  /* closes early: "headers", "mid_chunk", "before_end", "no_done", "no_last_chunk" */
  char *cut;
  char *framing;        /* "short_length", "long_length", "close_delimited" */
  gint64 slow_percent;  /* speed in percent of normal */
  gint64 crossed;       /* 1: X-Attempt-Id is another attempt's */
  gint64 error_status;  /* HTTP status of the responses */
  char *poison;         /* the process exits if a request's body contains this text */
  gint64 refuse;        /* 1: connections are refused */
  gint64 ignore_cancel; /* 1: cancels are acknowledged but have no effect */
} EngineFaults;

typedef struct EngineStats
{
  guint64 requests;
  guint64 finished;
  guint64 cancelled;      /* by DELETE */
  guint64 closed_by_peer; /* before the response was complete */
  guint64 resumed;
  guint64 resume_mismatch;    /* resume_text is not a prefix of the response */
  guint64 duplicate_attempts; /* attempt id already in use */
  guint64 orders_refused;
  guint64 orders_applied;
} EngineStats;

typedef struct Engine
{
  struct event_base *base;
  StandinServer *server;
  EngineModel *model;
  struct event *tick_timer;
  EngineFaults faults;
  FaultTable fault_table;
  EngineStats stats;
  GHashTable *streams; /* attempt id -> Stream (engine_stream.c) */
  guint64 boot;        /* start time as Unix time in usec; identifies this run of the process */
  /* load report */
  char *load; /* JSON members of the last report */
  DpUsec load_interval;
  DpUsec cache_event_delay;
  DpUsec load_taken_at;
  guint64 load_events; /* cache events up to this number are visible */
  /* orders */
  gboolean check_fence;      /* refuse orders with a lower fencing number than `fence` */
  gint64 fence;              /* highest fencing number accepted */
  struct json_object *order; /* desired state; NULL before the first order */
} Engine;

/* Monotonic time. */
DpUsec engine_now (void);

/* Handles POST /v1/chat/completions and DELETE /v1/attempts/ID. */
void engine_stream_begin (Engine *engine, struct evhttp_request *req);
void engine_stream_cancel (Engine *engine, struct evhttp_request *req, const char *attempt);

/* EngineModelOptions.on_token: sends one token. */
gboolean engine_stream_token (EngineRun *run, guint index);

/* Handles /load, /orders and /stats. */
void engine_status_load (Engine *engine, struct evhttp_request *req);
void engine_status_orders (Engine *engine, struct evhttp_request *req);
void engine_status_stats (Engine *engine, struct evhttp_request *req);
