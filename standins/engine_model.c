#include "standins/engine_model.h"

#include "common/prefix.h"

/* Number of cache events kept for later queries. */
#define EVENTS_MAX 8192

struct EngineModel
{
  EngineModelOptions options;
  EngineModelStats stats;
  double slow_factor;
  DpUsec last_advance;
  GQueue waiting; /* EngineRun, in order of arrival */
  GQueue running; /* EngineRun in prefill or decode, in order of admission */
  /* prefix cache, least recently used block first */
  GQueue blocks;               /* guint64 *, owned */
  GHashTable *blocks_by_hash;  /* guint64 * -> link in `blocks` */
  GHashTable *computed_blocks; /* hashes of all blocks ever computed */
  GArray *events;              /* EngineCacheEvent */
  guint64 first_event;
};

static void
add_event (EngineModel *model, gboolean stored, guint64 hash)
{
  EngineCacheEvent event = { .time = model->last_advance, .stored = stored, .hash = hash };
  g_array_append_val (model->events, event);
  if (model->events->len <= EVENTS_MAX)
    return;
  guint dropped = EVENTS_MAX / 4;
  g_array_remove_range (model->events, 0, dropped);
  model->first_event += dropped;
}

static void
evict_oldest (EngineModel *model)
{
  guint64 *hash = g_queue_pop_head (&model->blocks);
  g_hash_table_remove (model->blocks_by_hash, hash);
  add_event (model, FALSE, *hash);
  g_free (hash);
}

static void
store_block (EngineModel *model, guint64 hash)
{
  GList *known = g_hash_table_lookup (model->blocks_by_hash, &hash);
  if (known != NULL)
    {
      g_queue_unlink (&model->blocks, known);
      g_queue_push_tail_link (&model->blocks, known);
      return;
    }
  if (model->options.cache_blocks == 0)
    return;
  if (model->blocks.length >= model->options.cache_blocks)
    evict_oldest (model);
  guint64 *copy = g_new (guint64, 1);
  *copy = hash;
  g_queue_push_tail (&model->blocks, copy);
  g_hash_table_insert (model->blocks_by_hash, copy, model->blocks.tail);
  add_event (model, TRUE, hash);
}

static guint
count_cached_blocks (EngineModel *model, const EngineRun *run)
{
  guint count = 0;
  while (count < run->block_count
         && g_hash_table_contains (model->blocks_by_hash, &run->blocks[count]))
    count++;
  return count;
}

/* The cached blocks before the first miss are reused; the rest of the prompt is computed. */
static void
begin_prefill (EngineModel *model, EngineRun *run)
{
  guint cached = count_cached_blocks (model, run);
  for (guint i = 0; i < cached; i++)
    store_block (model, run->blocks[i]);
  run->cached_tokens = MIN (cached * DP_PREFIX_BLOCK_TOKENS, run->prompt_tokens);
  run->phase = ENGINE_PREFILL;
  model->stats.prefill_cached += run->cached_tokens;
}

static void
end_prefill (EngineModel *model, EngineRun *run)
{
  guint computed = run->prompt_tokens - run->cached_tokens;
  run->prefilled_tokens = computed;
  run->phase = ENGINE_DECODE;
  run->credit = 1.0;
  model->stats.prefill_computed += computed;
  if (run->resume_tokens > 0)
    model->stats.prefill_resumed += computed;
  for (guint i = run->cached_tokens / DP_PREFIX_BLOCK_TOKENS; i < run->block_count; i++)
    {
      if (g_hash_table_contains (model->computed_blocks, &run->blocks[i]))
        model->stats.prefill_repeated += DP_PREFIX_BLOCK_TOKENS;
      else
        g_hash_table_add (model->computed_blocks,
                          g_memdup2 (&run->blocks[i], sizeof (guint64)));
      store_block (model, run->blocks[i]);
    }
}

static void
admit_waiting (EngineModel *model)
{
  while (model->waiting.length > 0 && model->running.length < model->options.slots)
    {
      EngineRun *run = g_queue_pop_head (&model->waiting);
      g_queue_push_tail (&model->running, run);
      begin_prefill (model, run);
    }
}

static void
advance_prefill (EngineModel *model, double seconds)
{
  double rate = model->options.prefill_rate;
  double budget = rate > 0 ? rate * seconds / model->slow_factor : G_MAXDOUBLE;
  for (GList *item = model->running.head; item != NULL && budget > 0; item = item->next)
    {
      EngineRun *run = item->data;
      if (run->phase != ENGINE_PREFILL)
        continue;
      double left = run->prompt_tokens - run->cached_tokens - run->prefilled_tokens;
      if (left > budget)
        {
          run->prefilled_tokens += budget;
          return;
        }
      budget -= left;
      end_prefill (model, run);
    }
}

static double
tokens_per_stream (const EngineModel *model, double seconds)
{
  const EngineModelOptions *options = &model->options;
  double rate = G_MAXDOUBLE;
  if (options->stream_rate > 0)
    rate = options->stream_rate;
  if (options->decode_rate > 0)
    rate = MIN (rate, options->decode_rate / MAX (model->running.length, 1));
  if (rate >= G_MAXDOUBLE)
    return G_MAXUINT;
  return rate * seconds / model->slow_factor;
}

/* Delivers the tokens that are due. The callback may remove this run but no other. */
static void
decode_run (EngineModel *model, EngineRun *run)
{
  while (run->credit >= 1.0 && run->tokens < run->total_tokens)
    {
      run->credit -= 1.0;
      run->tokens += 1;
      model->stats.decoded += 1;
      if (!model->options.on_token (run, run->tokens - 1))
        return;
    }
}

static void
advance_decode (EngineModel *model, double seconds)
{
  double share = tokens_per_stream (model, seconds);
  GList *item = model->running.head;
  while (item != NULL)
    {
      GList *next = item->next;
      EngineRun *run = item->data;
      if (run->phase == ENGINE_DECODE)
        {
          run->credit += share;
          decode_run (model, run);
        }
      item = next;
    }
}

EngineModel *
engine_model_new (const EngineModelOptions *options)
{
  EngineModel *model = g_new0 (EngineModel, 1);
  model->options = *options;
  model->slow_factor = 1.0;
  g_queue_init (&model->waiting);
  g_queue_init (&model->running);
  g_queue_init (&model->blocks);
  model->blocks_by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  model->computed_blocks = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  model->events = g_array_new (FALSE, FALSE, sizeof (EngineCacheEvent));
  return model;
}

void
engine_model_free (EngineModel *model)
{
  g_queue_clear (&model->waiting);
  g_queue_clear (&model->running);
  g_queue_clear_full (&model->blocks, g_free);
  g_hash_table_unref (model->blocks_by_hash);
  g_hash_table_unref (model->computed_blocks);
  g_array_unref (model->events);
  g_free (model);
}

void
engine_model_set_slowdown (EngineModel *model, double factor)
{
  model->slow_factor = factor;
}

void
engine_model_add (EngineModel *model, EngineRun *run, DpUsec now)
{
  /* The time before its arrival must not count for the new run. */
  engine_model_advance (model, now);
  run->phase = ENGINE_WAITING;
  run->tokens = run->resume_tokens;
  g_queue_push_tail (&model->waiting, run);
  engine_model_advance (model, now);
}

static void
count_wasted_prefill (EngineModel *model, const EngineRun *run)
{
  guint64 computed = (guint64)run->prefilled_tokens;
  if (run->phase == ENGINE_PREFILL)
    model->stats.prefill_computed += computed;
  if (run->tokens == run->resume_tokens)
    model->stats.prefill_wasted_before_first += computed;
  else if (run->tokens < run->total_tokens)
    model->stats.prefill_wasted_unfinished += computed;
}

void
engine_model_remove (EngineModel *model, EngineRun *run)
{
  if (run->phase == ENGINE_WAITING)
    g_queue_remove (&model->waiting, run);
  else
    g_queue_remove (&model->running, run);
  count_wasted_prefill (model, run);
}

void
engine_model_advance (EngineModel *model, DpUsec now)
{
  double seconds = (double)(now - model->last_advance) / DP_USEC_PER_SEC;
  model->last_advance = now;
  admit_waiting (model);
  advance_prefill (model, seconds);
  advance_decode (model, seconds);
  admit_waiting (model);
}

guint
engine_model_running (const EngineModel *model)
{
  return model->running.length;
}

guint
engine_model_waiting (const EngineModel *model)
{
  return model->waiting.length;
}

guint64
engine_model_kv_tokens (const EngineModel *model)
{
  guint64 tokens = 0;
  for (GList *item = model->running.head; item != NULL; item = item->next)
    {
      const EngineRun *run = item->data;
      tokens += run->prompt_tokens + run->tokens;
    }
  return tokens;
}

const EngineModelStats *
engine_model_stats (const EngineModel *model)
{
  return &model->stats;
}

guint64
engine_model_first_event (const EngineModel *model)
{
  return model->first_event;
}

guint64
engine_model_next_event (const EngineModel *model)
{
  return model->first_event + model->events->len;
}

const EngineCacheEvent *
engine_model_event (const EngineModel *model, guint64 number)
{
  return &g_array_index (model->events, EngineCacheEvent, number - model->first_event);
}
