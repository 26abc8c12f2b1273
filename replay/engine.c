#include "replay/engine.h"

#include "common/prefix.h"

/* Fraction of KV memory that holds cached prefixes. */
#define CACHE_FRACTION 0.5
#define EPSILON 1e-9

typedef struct Job
{
  DpEngineWork work;
  guint cached_tokens;        /* prompt tokens found in the prefix cache */
  double prefill_tokens_left; /* negative until prefill starts */
  double prefilled_tokens;    /* prompt tokens computed */
  double output_tokens_left;
  gboolean decoding;
} Job;

struct DpEngineModel
{
  DpTraceEngine engine;
  double slowdown; /* factor; 1: full speed */
  double now;
  GPtrArray *running; /* Job; the first that is not decoding is in prefill */
  GQueue waiting;     /* Job */
  double kv_used;
  double prefilled_tokens;
  GHashTable *cache;    /* block -> GList link in cache_lru */
  GQueue cache_lru;     /* guint64 block hashes, most recently used first */
  GArray *cache_events; /* DpCacheEvent */
};

static double
job_tokens (const Job *job)
{
  return job->work.prompt + job->work.output;
}

static Job *
prefilling_job (const DpEngineModel *model)
{
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *job = g_ptr_array_index (model->running, i);
      if (!job->decoding)
        return job;
    }
  return NULL;
}

static guint
decoding_count (const DpEngineModel *model)
{
  guint count = 0;
  for (guint i = 0; i < model->running->len; i++)
    count += ((Job *)g_ptr_array_index (model->running, i))->decoding;
  return count;
}

static double
stream_rate (const DpEngineModel *model)
{
  double shared = model->engine.decode / (double)MAX (decoding_count (model), 1);
  return MIN (model->engine.stream, shared) / model->slowdown;
}

static double
prefill_rate (const DpEngineModel *model)
{
  return model->engine.prefill / model->slowdown;
}

static void
add_cache_event (DpEngineModel *model, DpCacheEventType type, guint64 block)
{
  DpCacheEvent event = { type, block };
  g_array_append_val (model->cache_events, event);
}

static void
touch_block (DpEngineModel *model, guint64 block)
{
  GList *link = g_hash_table_lookup (model->cache, &block);
  if (link != NULL)
    {
      g_queue_unlink (&model->cache_lru, link);
      g_queue_push_head_link (&model->cache_lru, link);
      return;
    }
  guint64 *key = g_new (guint64, 1);
  *key = block;
  g_queue_push_head (&model->cache_lru, key);
  g_hash_table_insert (model->cache, key, model->cache_lru.head);
  add_cache_event (model, DP_CACHE_STORED, block);
  guint max_blocks = (guint)(model->engine.kv_tokens * CACHE_FRACTION / DP_PREFIX_BLOCK_TOKENS);
  if (model->cache_lru.length <= max_blocks)
    return;
  guint64 *oldest = g_queue_pop_tail (&model->cache_lru);
  add_cache_event (model, DP_CACHE_REMOVED, *oldest);
  g_hash_table_remove (model->cache, oldest);
  g_free (oldest);
}

static void
apply_cache (DpEngineModel *model, Job *job)
{
  guint blocks = 0;
  while (blocks < job->work.prefix_count
         && dp_engine_model_has_block (model, job->work.prefix[blocks]))
    blocks++;
  job->cached_tokens = MIN (blocks * DP_PREFIX_BLOCK_TOKENS, job->work.prompt - 1);
  job->prefill_tokens_left = job->work.prompt - job->cached_tokens;
}

/* The cache is looked up when prefill starts, not when the job is added: jobs ahead in the
 * queue may have filled it by then. */
static void
start_next_prefill (DpEngineModel *model)
{
  Job *job = prefilling_job (model);
  if (job != NULL && job->prefill_tokens_left < 0)
    apply_cache (model, job);
}

static void
admit_waiting (DpEngineModel *model)
{
  while (!g_queue_is_empty (&model->waiting) && model->running->len < model->engine.window)
    {
      Job *job = g_queue_peek_head (&model->waiting);
      gboolean fits = model->kv_used + job_tokens (job) <= model->engine.kv_tokens;
      if (!fits && model->running->len > 0)
        break;
      g_queue_pop_head (&model->waiting);
      model->kv_used += job_tokens (job);
      g_ptr_array_add (model->running, job);
    }
  start_next_prefill (model);
}

static void
append_output (GArray *outputs, DpEngineOutputType type, const Job *job)
{
  DpEngineOutput output = { type, job->work.attempt, job->work.request, job->cached_tokens };
  g_array_append_val (outputs, output);
}

static void
release (DpEngineModel *model, Job *job)
{
  model->kv_used -= job_tokens (job);
  g_ptr_array_remove (model->running, job);
}

/* Accounts the tokens produced up to `now`. Rates must be constant in that span, so
 * dp_engine_model_advance() stops at each change. */
static void
progress_until (DpEngineModel *model, double now)
{
  double seconds = now - model->now;
  double rate = stream_rate (model);
  Job *job = prefilling_job (model);
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *other = g_ptr_array_index (model->running, i);
      if (other->decoding)
        other->output_tokens_left -= rate * seconds;
    }
  if (job != NULL)
    {
      double done = MIN (seconds * prefill_rate (model), job->prefill_tokens_left);
      job->prefill_tokens_left -= done;
      job->prefilled_tokens += done;
      model->prefilled_tokens += done;
    }
  model->now = now;
}

static void
finish_prefill (DpEngineModel *model, GArray *outputs)
{
  Job *job = prefilling_job (model);
  if (job == NULL || job->prefill_tokens_left > EPSILON)
    return;
  job->decoding = TRUE;
  for (guint i = job->work.prefix_count; i > 0; i--)
    touch_block (model, job->work.prefix[i - 1]);
  append_output (outputs, DP_ENGINE_FIRST_TOKEN, job);
  start_next_prefill (model);
}

static void
finish_jobs (DpEngineModel *model, GArray *outputs)
{
  for (guint i = model->running->len; i > 0; i--)
    {
      Job *job = g_ptr_array_index (model->running, i - 1);
      if (!job->decoding || job->output_tokens_left > EPSILON * model->engine.stream)
        continue;
      append_output (outputs, DP_ENGINE_FINISHED, job);
      release (model, job);
      g_free (job);
    }
}

static Job *
find_job (const DpEngineModel *model, DpId attempt)
{
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *job = g_ptr_array_index (model->running, i);
      if (dp_id_equal (job->work.attempt, attempt))
        return job;
    }
  return NULL;
}

DpEngineModel *
dp_engine_model_new (const DpTraceEngine *engine)
{
  DpEngineModel *model = g_new0 (DpEngineModel, 1);
  model->engine = *engine;
  model->slowdown = 1;
  model->running = g_ptr_array_new ();
  g_queue_init (&model->waiting);
  model->cache = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&model->cache_lru);
  model->cache_events = g_array_new (FALSE, FALSE, sizeof (DpCacheEvent));
  return model;
}

void
dp_engine_model_free (DpEngineModel *model)
{
  g_ptr_array_set_free_func (model->running, g_free);
  g_ptr_array_unref (model->running);
  g_queue_clear_full (&model->waiting, g_free);
  g_hash_table_unref (model->cache);
  g_queue_clear_full (&model->cache_lru, g_free);
  g_array_unref (model->cache_events);
  g_free (model);
}

void
dp_engine_model_add (DpEngineModel *model, double now, const DpEngineWork *work)
{
  progress_until (model, now);
  Job *job = g_new0 (Job, 1);
  job->work = *work;
  job->prefill_tokens_left = -1;
  job->output_tokens_left = work->output;
  g_queue_push_tail (&model->waiting, job);
  admit_waiting (model);
}

void
dp_engine_model_cancel (DpEngineModel *model, double now, DpId attempt)
{
  progress_until (model, now);
  Job *job = find_job (model, attempt);
  if (job != NULL)
    release (model, job);
  for (GList *link = model->waiting.head; job == NULL && link != NULL; link = link->next)
    {
      Job *other = link->data;
      if (!dp_id_equal (other->work.attempt, attempt))
        continue;
      g_queue_delete_link (&model->waiting, link);
      job = other;
      break;
    }
  g_free (job);
  admit_waiting (model);
}

void
dp_engine_model_set_slowdown (DpEngineModel *model, double now, double factor)
{
  progress_until (model, now);
  model->slowdown = factor;
}

double
dp_engine_model_next_change (const DpEngineModel *model)
{
  double next = G_MAXDOUBLE;
  double rate = stream_rate (model);
  Job *job = prefilling_job (model);
  if (job != NULL)
    next = model->now + MAX (job->prefill_tokens_left, 0) / prefill_rate (model);
  for (guint i = 0; i < model->running->len; i++)
    {
      Job *other = g_ptr_array_index (model->running, i);
      if (other->decoding)
        next = MIN (next, model->now + MAX (other->output_tokens_left, 0) / rate);
    }
  return next;
}

void
dp_engine_model_advance (DpEngineModel *model, double now, GArray *outputs)
{
  while (dp_engine_model_next_change (model) <= now)
    {
      progress_until (model, MAX (dp_engine_model_next_change (model), model->now));
      finish_prefill (model, outputs);
      finish_jobs (model, outputs);
      admit_waiting (model);
    }
  progress_until (model, now);
}

void
dp_engine_model_get_load (const DpEngineModel *model, guint *running, guint *waiting)
{
  *running = model->running->len;
  *waiting = model->waiting.length;
}

double
dp_engine_model_prefilled_tokens (const DpEngineModel *model)
{
  return model->prefilled_tokens;
}

double
dp_engine_model_attempt_prefilled_tokens (const DpEngineModel *model, DpId attempt)
{
  const Job *job = find_job (model, attempt);
  return job != NULL ? job->prefilled_tokens : 0;
}

gboolean
dp_engine_model_has_block (const DpEngineModel *model, guint64 block)
{
  return g_hash_table_contains (model->cache, &block);
}

const GArray *
dp_engine_model_cache_events (const DpEngineModel *model)
{
  return model->cache_events;
}
