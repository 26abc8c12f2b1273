#include "agent/orders.h"

#include "agent/orders_text.h"
#include "common/clock.h"
#include "common/log.h"
#include "net/http_call.h"

#include <string.h>

#define RESPONSE_BYTES_MAX ((gsize)16 * 1024)
#define ENGINE_CONNECT_TIMEOUT (1 * DP_USEC_PER_SEC)
#define ENGINE_RESPONSE_TIMEOUT (3 * DP_USEC_PER_SEC)

struct DpOrdersShell
{
  /* set at creation */
  struct event_base *base;
  DpPlatformClient *platform;
  char *lease_path;
  DpOrdersCore *core;
  GHashTable *names; /* DpName -> text of the model's name */
  GHashTable *calls; /* set of EngineCall, in progress */
  /* last passed to the core */
  guint64 manifest_digest;
  guint64 view_version;
  gboolean has_manifest;
  gboolean has_view;
};

/* HTTP request to an engine: an order, or a read of its state. */
typedef struct EngineCall
{
  DpOrdersShell *shell;
  DpName target;
  gboolean is_order;
  DpHttpCall *call;
  int status;
  GString *body;
} EngineCall;

static void handle_event (DpOrdersShell *shell, DpOrdersEvent *event);

/* --- lease --- */

static DpStoreResult
to_store_result (DpPlatformResult result)
{
  switch (result)
    {
    case DP_PLATFORM_OK:
      return DP_STORE_OK;
    case DP_PLATFORM_NOT_FOUND:
      return DP_STORE_ABSENT;
    case DP_PLATFORM_CONFLICT:
      return DP_STORE_CONFLICT;
    case DP_PLATFORM_LOST:
      return DP_STORE_LOST;
    case DP_PLATFORM_BROKEN:
      return DP_STORE_BROKEN;
    default:
      return DP_STORE_UNAVAILABLE;
    }
}

static void
on_lease_read (const DpPlatformReply *reply, gpointer user)
{
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_LEASE_REPLY };
  event.lease.result = to_store_result (reply->result);
  event.lease.version = reply->version;
  if (reply->result == DP_PLATFORM_OK)
    {
      gsize length;
      const char *text = g_bytes_get_data (reply->value, &length);
      if (!dp_lease_parse (text, length, &event.lease.lease))
        event.lease.result = DP_STORE_BROKEN;
    }
  handle_event (user, &event);
}

static void
on_lease_written (const DpPlatformReply *reply, gpointer user)
{
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_LEASE_REPLY };
  event.lease.is_write = TRUE;
  event.lease.result = to_store_result (reply->result);
  event.lease.version = reply->version;
  handle_event (user, &event);
}

static void
read_lease (DpOrdersShell *shell)
{
  const DpPlatformCall call = { .type = DP_PLATFORM_READ, .path = shell->lease_path };
  dp_platform_client_call (shell->platform, &call, on_lease_read, shell);
}

static void
write_lease (DpOrdersShell *shell, const DpLeaseWrite *write)
{
  char *text = dp_lease_format (&write->lease);
  const DpPlatformCall call = { .type = DP_PLATFORM_WRITE,
                                .path = shell->lease_path,
                                .version = write->expected_version,
                                .value = text,
                                .length = strlen (text) };
  dp_platform_client_call (shell->platform, &call, on_lease_written, shell);
  g_free (text);
}

/* --- engines --- */

static void
engine_call_free (gpointer data)
{
  EngineCall *call = data;
  if (call->call != NULL)
    dp_http_call_cancel (call->call);
  g_string_free (call->body, TRUE);
  g_free (call);
}

static void
on_engine_head (gpointer user, DpHttpCall *http_call, int status)
{
  EngineCall *call = user;
  call->status = status;
}

static void
on_engine_data (gpointer user, const void *data, gsize length)
{
  EngineCall *call = user;
  g_string_append_len (call->body, data, (gssize)length);
}

static void
handle_state_response (EngineCall *call, DpHttpCallResult result)
{
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_ENGINE_STATE };
  event.state.target = call->target;
  gboolean is_ok = result == DP_HTTP_COMPLETE && call->status == 200;
  event.state.reachable = is_ok
                          && dp_engine_state_parse (call->body->str, call->body->len,
                                                    &event.state, call->shell->names);
  handle_event (call->shell, &event);
}

static DpOrderResult
to_order_result (const EngineCall *call, DpHttpCallResult result, gboolean nothing_sent)
{
  if (nothing_sent)
    return DP_ORDER_FAILED;
  if (result != DP_HTTP_COMPLETE)
    return DP_ORDER_LOST;
  if (call->status == 409)
    return DP_ORDER_STALE_FENCE;
  return call->status == 200 ? DP_ORDER_ACCEPTED : DP_ORDER_FAILED;
}

static void
handle_order_response (EngineCall *call, DpHttpCallResult result, gboolean nothing_sent)
{
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_ORDER_REPLY };
  event.order.target = call->target;
  event.order.result = to_order_result (call, result, nothing_sent);
  handle_event (call->shell, &event);
}

static void
on_engine_end (gpointer user, DpHttpCallResult result, gboolean nothing_sent)
{
  EngineCall *call = user;
  call->call = NULL;
  g_hash_table_steal (call->shell->calls, call);
  if (call->is_order)
    handle_order_response (call, result, nothing_sent);
  else
    handle_state_response (call, result);
  engine_call_free (call);
}

static const DpHttpCallbacks engine_callbacks = {
  .head = on_engine_head,
  .data = on_engine_data,
  .end = on_engine_end,
};

static void
call_engine (DpOrdersShell *shell, const DpOrder *order, gboolean is_order)
{
  EngineCall *call = g_new0 (EngineCall, 1);
  call->shell = shell;
  call->target = order->target;
  call->is_order = is_order;
  call->body = g_string_new (NULL);
  char *text = is_order ? dp_order_format (order, shell->names) : NULL;
  const DpHttpHeader headers[] = { { "Content-Type", "application/json" } };
  const DpHttpCallOptions options = {
    .base = shell->base,
    .address = order->address,
    .port = order->port,
    .method = is_order ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
    .path = "/orders",
    .headers = headers,
    .header_count = is_order ? G_N_ELEMENTS (headers) : 0,
    .body = text,
    .body_length = text != NULL ? strlen (text) : 0,
    .connect_timeout = ENGINE_CONNECT_TIMEOUT,
    .first_byte_timeout = ENGINE_RESPONSE_TIMEOUT,
    .idle_timeout = ENGINE_RESPONSE_TIMEOUT,
    .response_body_max = RESPONSE_BYTES_MAX,
    .callbacks = &engine_callbacks,
    .user = call,
  };
  g_hash_table_add (shell->calls, call);
  call->call = dp_http_call_start (&options);
  g_free (text);
}

static void
log_order (const DpOrdersShell *shell, const DpOrder *order)
{
  char fence[24];
  g_snprintf (fence, sizeof fence, "%" G_GUINT64_FORMAT, order->fence);
  GString *models = g_string_new (NULL);
  for (guint i = 0; i < order->model_count; i++)
    {
      const char *text = g_hash_table_lookup (shell->names, &order->models[i]);
      g_string_append_printf (models, "%s%s", i > 0 ? "," : "", text != NULL ? text : "?");
    }
  dp_log (DP_LOG_NOTICE, "engine_ordered", "address", order->address, "fence", fence, "models",
          models->str, NULL);
  g_string_free (models, TRUE);
}

/* --- events and actions --- */

static void
perform_action (DpOrdersShell *shell, const DpOrdersAction *action)
{
  switch (action->type)
    {
    case DP_ORDERS_ACTION_LEASE_READ:
      read_lease (shell);
      break;
    case DP_ORDERS_ACTION_LEASE_WRITE:
      write_lease (shell, &action->lease_write);
      break;
    case DP_ORDERS_ACTION_READ_STATE:
      call_engine (shell, &action->order, FALSE);
      break;
    case DP_ORDERS_ACTION_ORDER:
      log_order (shell, &action->order);
      call_engine (shell, &action->order, TRUE);
      break;
    }
}

static void
handle_event (DpOrdersShell *shell, DpOrdersEvent *event)
{
  event->now = dp_clock_now ();
  GArray *actions = g_array_new (FALSE, TRUE, sizeof (DpOrdersAction));
  dp_orders_handle (shell->core, event, actions);
  for (guint i = 0; i < actions->len; i++)
    perform_action (shell, &g_array_index (actions, DpOrdersAction, i));
  g_array_unref (actions);
}

static void
update_manifest (DpOrdersShell *shell, const DpManifest *manifest)
{
  if (manifest == NULL || (shell->has_manifest && shell->manifest_digest == manifest->digest))
    return;
  shell->has_manifest = TRUE;
  shell->manifest_digest = manifest->digest;
  for (guint i = 0; i < manifest->models->len; i++)
    dp_model_names_add (shell->names, DP_MANIFEST_ROW (manifest, models, DpModel, i)->text);
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_MANIFEST };
  event.manifest = (DpManifest *)manifest;
  handle_event (shell, &event);
}

static void
update_view (DpOrdersShell *shell, DpView *view)
{
  if (view == NULL || (shell->has_view && shell->view_version == view->version))
    return;
  shell->has_view = TRUE;
  shell->view_version = view->version;
  DpOrdersEvent event = { .type = DP_ORDERS_EVENT_VIEW };
  event.view = view;
  handle_event (shell, &event);
}

void
dp_orders_shell_tick (DpOrdersShell *shell, const DpManifest *manifest, DpView *view)
{
  update_manifest (shell, manifest);
  update_view (shell, view);
  handle_event (shell, &(DpOrdersEvent){ .type = DP_ORDERS_EVENT_TICK });
}

/* --- creation and destruction --- */

DpOrdersShell *
dp_orders_shell_new (const DpOrdersShellOptions *options)
{
  DpOrdersShell *shell = g_new0 (DpOrdersShell, 1);
  shell->base = options->base;
  shell->platform = dp_platform_client_ref (options->platform);
  shell->lease_path = g_strdup_printf ("leases/orders/%s", options->data_centre);
  shell->core = dp_orders_core_new (&options->core);
  shell->names = dp_model_names_new ();
  shell->calls = g_hash_table_new_full (NULL, NULL, engine_call_free, NULL);
  return shell;
}

void
dp_orders_shell_free (DpOrdersShell *shell)
{
  if (shell == NULL)
    return;
  g_hash_table_unref (shell->calls);
  dp_orders_core_unref (shell->core);
  dp_platform_client_unref (shell->platform);
  g_hash_table_unref (shell->names);
  g_free (shell->lease_path);
  g_free (shell);
}
