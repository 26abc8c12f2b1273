/* Model of an engine with continuous batching. Prefill is first come, first served at a fixed
 * rate; decoding shares a total rate among the running streams; the prefix cache is an LRU list
 * of blocks.
 *
 * No I/O: the caller passes the current time. The model does not own the runs.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef enum EnginePhase
{
  ENGINE_WAITING,
  ENGINE_PREFILL,
  ENGINE_DECODE,
} EnginePhase;

typedef struct EngineRun
{
  /* set by the caller before engine_model_add() */
  guint prompt_tokens;
  const guint64 *blocks; /* hashes of the prompt's prefix blocks; must outlive the run */
  guint block_count;
  guint resume_tokens; /* output tokens that another engine delivered before */
  guint total_tokens;  /* output tokens of the complete response */
  gpointer user_data;
  /* owned by the model */
  EnginePhase phase;
  guint cached_tokens;
  double prefilled_tokens; /* prompt tokens computed so far */
  guint tokens;            /* output tokens delivered, including resume_tokens */
  double credit;           /* output tokens due but not yet delivered, with the fraction */
} EngineRun;

typedef struct EngineModelOptions
{
  double prefill_rate; /* tokens per second; 0: no limit */
  double decode_rate;  /* tokens per second, all streams together; 0: no limit */
  double stream_rate;  /* tokens per second and stream; 0: no limit */
  guint slots;         /* maximum number of runs in the batch */
  guint cache_blocks;  /* capacity of the prefix cache in blocks */
  /* Called for each output token, `index` counted from 0 in the complete response. Returns
   * FALSE if it has removed the run. */
  gboolean (*on_token) (EngineRun *run, guint index);
} EngineModelOptions;

typedef struct EngineCacheEvent
{
  DpUsec time;
  gboolean stored; /* FALSE: evicted */
  guint64 hash;
} EngineCacheEvent;

/* Counters in tokens. */
typedef struct EngineModelStats
{
  guint64 prefill_computed;
  guint64 prefill_cached;
  guint64 prefill_wasted_before_first; /* of runs removed before their first output token */
  guint64 prefill_wasted_unfinished;   /* of runs removed between first and last output token */
  guint64 prefill_repeated;            /* of blocks that this engine had computed before */
  guint64 prefill_resumed;             /* of responses begun by another engine */
  guint64 decoded;
} EngineModelStats;

typedef struct EngineModel EngineModel;

EngineModel *engine_model_new (const EngineModelOptions *options);
void engine_model_free (EngineModel *model);

/* Divides all rates by `factor`; 1 is the normal speed. */
void engine_model_set_slowdown (EngineModel *model, double factor);

/* Queues a run. */
void engine_model_add (EngineModel *model, EngineRun *run, DpUsec now);

/* Removes a run in any phase. The prefill of an unfinished run counts as wasted. */
void engine_model_remove (EngineModel *model, EngineRun *run);

/* Simulates the time up to `now` and calls `on_token` for each token that is due. */
void engine_model_advance (EngineModel *model, DpUsec now);

guint engine_model_running (const EngineModel *model);
guint engine_model_waiting (const EngineModel *model);
/* Prompt and output tokens of the runs in the batch. */
guint64 engine_model_kv_tokens (const EngineModel *model);
const EngineModelStats *engine_model_stats (const EngineModel *model);

/* Cache events have consecutive numbers; kept are those in [first_event, next_event). */
guint64 engine_model_first_event (const EngineModel *model);
guint64 engine_model_next_event (const EngineModel *model);
const EngineCacheEvent *engine_model_event (const EngineModel *model, guint64 number);
