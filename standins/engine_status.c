/* Status endpoints of a stand-in engine: delayed load reports, orders, counters. */
#include "standins/engine.h"

#include <string.h>

#define EVENTS_PER_REPORT_MAX 1024

static void
append_cache_events (Engine *engine, GString *out, guint64 since)
{
  guint64 first = MAX (since, engine_model_first_event (engine->model));
  guint64 end = engine_model_next_event (engine->model);
  DpUsec newest = engine_now () - engine->cache_event_delay;
  g_string_append_printf (out, "\"cache_first\":%" G_GUINT64_FORMAT ",\"cache_events\":[",
                          first);
  for (guint64 i = first; i < end && i < first + EVENTS_PER_REPORT_MAX; i++)
    {
      const EngineCacheEvent *event = engine_model_event (engine->model, i);
      if (event->time > newest)
        break;
      g_string_append_printf (out, "%s[\"%s\",%" G_GUINT64_FORMAT "]", i > first ? "," : "",
                              event->stored ? "stored" : "removed", event->hash);
    }
  g_string_append_c (out, ']');
}

/* Takes a new report at most once per load_interval; until then the last one is repeated. */
static void
refresh_load (Engine *engine)
{
  DpUsec now = engine_now ();
  if (engine->load != NULL && now - engine->load_taken_at < engine->load_interval)
    return;
  g_free (engine->load);
  engine->load_taken_at = now;
  engine->load = g_strdup_printf (
    "\"boot\":%" G_GUINT64_FORMAT
    ",\"running\":%u,\"waiting\":%u,\"kv_tokens_used\":%" G_GUINT64_FORMAT,
    engine->boot, engine_model_running (engine->model), engine_model_waiting (engine->model),
    engine_model_kv_tokens (engine->model));
}

void
engine_status_load (Engine *engine, struct evhttp_request *req)
{
  refresh_load (engine);
  char *since_text = standin_query_parameter (req, "cache_since");
  guint64 since = since_text != NULL ? g_ascii_strtoull (since_text, NULL, 10) : 0;
  g_free (since_text);
  GString *out = g_string_new ("{");
  g_string_append (out, engine->load);
  g_string_append_c (out, ',');
  append_cache_events (engine, out, since);
  g_string_append_c (out, '}');
  standin_reply (req, 200, "application/json", out->str);
  g_string_free (out, TRUE);
}

static void
handle_order (Engine *engine, struct evhttp_request *req)
{
  char *body = standin_request_body (req, NULL);
  struct json_object *order = json_tokener_parse (body);
  g_free (body);
  struct json_object *fence;
  if (order == NULL || !json_object_object_get_ex (order, "fence", &fence))
    {
      json_object_put (order);
      standin_reply (req, 400, NULL, "");
      return;
    }
  gint64 number = json_object_get_int64 (fence);
  if (engine->check_fence && number < engine->fence)
    {
      engine->stats.orders_refused += 1;
      json_object_put (order);
      standin_reply (req, 409, NULL, "");
      return;
    }
  engine->stats.orders_applied += 1;
  engine->fence = MAX (engine->fence, number);
  json_object_put (engine->order);
  engine->order = order;
  standin_reply (req, 200, "application/json", json_object_to_json_string (order));
}

void
engine_status_orders (Engine *engine, struct evhttp_request *req)
{
  if (evhttp_request_get_command (req) == EVHTTP_REQ_POST)
    {
      handle_order (engine, req);
      return;
    }
  const char *text = engine->order != NULL ? json_object_to_json_string (engine->order) : "{}";
  standin_reply (req, 200, "application/json", text);
}

typedef struct StatRow
{
  const char *name;
  guint64 value;
} StatRow;

void
engine_status_stats (Engine *engine, struct evhttp_request *req)
{
  const EngineModelStats *model = engine_model_stats (engine->model);
  const EngineStats *stats = &engine->stats;
  const StatRow rows[] = {
    { "requests", stats->requests },
    { "finished", stats->finished },
    { "cancelled", stats->cancelled },
    { "closed_by_peer", stats->closed_by_peer },
    { "resumed", stats->resumed },
    { "resume_mismatch", stats->resume_mismatch },
    { "duplicate_attempts", stats->duplicate_attempts },
    { "orders_applied", stats->orders_applied },
    { "orders_refused", stats->orders_refused },
    { "running", engine_model_running (engine->model) },
    { "waiting", engine_model_waiting (engine->model) },
    { "decoded", model->decoded },
    { "prefill_computed", model->prefill_computed },
    { "prefill_cached", model->prefill_cached },
    { "prefill_wasted_before_first", model->prefill_wasted_before_first },
    { "prefill_wasted_unfinished", model->prefill_wasted_unfinished },
    { "prefill_repeated", model->prefill_repeated },
    { "prefill_resumed", model->prefill_resumed },
  };
  GString *out = g_string_new ("{");
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    g_string_append_printf (out, "%s\"%s\":%" G_GUINT64_FORMAT, i > 0 ? "," : "", rows[i].name,
                            rows[i].value);
  g_string_append (out, "}\n");
  standin_reply (req, 200, "application/json", out->str);
  g_string_free (out, TRUE);
}
