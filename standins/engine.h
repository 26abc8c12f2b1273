/* A stand-in engine's state, shared by its files. One per process. */
#pragma once

#include "standins/engine_model.h"
#include "standins/fault.h"
#include "standins/http.h"

#include <glib.h>
#include <json-c/json.h>

/* Period of the model's clock while requests run. */
#define ENGINE_TICK_USEC 1000

/* Fault switches; FAULT_OFF or NULL: off. Token numbers count from 0 within the whole answer.
 */
typedef struct EngineFaults
{
  gint64 die_at_token;    /* the process exits before this token */
  gint64 silent_at_token; /* nothing is sent from this token on; the connection stays open */
  gint64 cut_at_token;    /* where "mid_chunk" cuts; off: before the second token */
  char *cut;              /* "headers", "mid_chunk", "before_end", "no_done", "no_last_chunk" */
  char *framing;          /* "short_length", "long_length", "close_delimited" */
  gint64 slow_percent;    /* speed in percent of the normal one */
  gint64 crossed;         /* 1: answers carry another attempt's id */
  gint64 error_status;    /* answers are this status */
  char *poison;           /* the process exits on prompts that contain this text */
  gint64 refuse;          /* 1: connections are refused */
  gint64 ignore_cancel;   /* 1: cancels are accepted and not carried out */
} EngineFaults;

typedef struct EngineStats
{
  guint64 requests;
  guint64 finished;
  guint64 cancelled;      /* by DELETE */
  guint64 closed_by_peer; /* the connection was closed before the end */
  guint64 resumed;
  guint64 resume_mismatch;    /* the text so far was not this request's */
  guint64 duplicate_attempts; /* an attempt id that was in use */
  guint64 orders_refused;
  guint64 orders_applied;
} EngineStats;

typedef struct Engine
{
  struct event_base *base;
  StandinServer *server;
  EngineModel *model;
  struct event *tick;
  EngineFaults faults;
  FaultTable fault_table;
  EngineStats stats;
  GHashTable *streams; /* attempt id -> Stream, see engine_stream.c */
  guint64 boot;
  /* last published load */
  char *load;
  DpUsec load_lag;
  DpUsec events_late;
  DpUsec load_time;
  guint64 load_events; /* cache events up to this number are visible */
  /* orders */
  gboolean check_fence;
  gint64 fence;
  struct json_object *order; /* the wanted state, NULL before the first order */
} Engine;

DpUsec engine_now (void);

/* Handles POST /v1/chat/completions and DELETE /v1/attempts/ID. */
void engine_stream_begin (Engine *engine, struct evhttp_request *req);
void engine_stream_cancel (Engine *engine, struct evhttp_request *req, const char *attempt);

/* The model's callback for one token. */
gboolean engine_stream_token (EngineRun *run, guint index);

/* Handles /load, /orders and /stats. */
void engine_status_load (Engine *engine, struct evhttp_request *req);
void engine_status_orders (Engine *engine, struct evhttp_request *req);
void engine_status_stats (Engine *engine, struct evhttp_request *req);
