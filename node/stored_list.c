/* Reads all objects of a kind from the store when the process starts, or on request, and tries
 * again until it succeeds. */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

/* The store normally answers within milliseconds, under load within some hundred. */
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)
#define RETRY_DELAY (300 * DP_USEC_PER_MSEC)

struct DpStoredList
{
  DpNode *node;
  const char *kind;
  DpStoredListFunc function;
  struct event *timer;
  char *after; /* name of the last object of the last page; NULL: the first page is next */
  gboolean is_read;
  DpUsec began_at;     /* the reading in progress */
  DpUsec read_from;    /* beginning of the last complete one */
  gboolean is_failing; /* the last call did */
  gboolean is_calling;
  gboolean is_outdated; /* the call in progress began before the last start */
  guint64 era;          /* of the store, in the last response */
};

static void
schedule (DpStoredList *list, DpUsec delay)
{
  const struct timeval tv
    = { .tv_sec = delay / DP_USEC_PER_SEC, .tv_usec = delay % DP_USEC_PER_SEC };
  event_add (list->timer, &tv);
}

static DpStorePage *
read_page (DpStoredList *list, const DpPlatformReply *reply)
{
  if (reply->result != DP_PLATFORM_OK)
    return NULL;
  gsize length;
  const char *text = g_bytes_get_data (reply->value, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = dp_records_read_page (text, length, FALSE, diagnostics);
  dp_store_watch_log_diagnostics (list->node->store_watch, list->kind, 0, diagnostics);
  dp_diagnostics_unref (diagnostics);
  return page;
}

static void
apply_object (DpStoredList *list, const DpStoreObject *object)
{
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  list->function (list->node, object, diagnostics);
  dp_store_watch_log_diagnostics (list->node->store_watch, list->kind, object->revision,
                                  diagnostics);
  dp_diagnostics_unref (diagnostics);
}

static void
on_page (const DpPlatformReply *reply, gpointer data)
{
  DpStoredList *list = data;
  list->is_calling = FALSE;
  if (list->is_outdated)
    {
      list->is_outdated = FALSE;
      schedule (list, 0);
      return;
    }
  DpStorePage *page = read_page (list, reply);
  const char *last = page != NULL ? dp_store_page_last_name (page) : NULL;
  if (page != NULL && !page->is_last && (last == NULL || g_strcmp0 (last, list->after) == 0))
    g_clear_pointer (&page, dp_store_page_free);
  list->is_failing = page == NULL;
  if (page == NULL)
    {
      dp_log (DP_LOG_INFO, "stored_list_unread", "kind", list->kind, "outcome",
              dp_platform_result_name (reply->result), NULL);
      schedule (list, RETRY_DELAY);
      return;
    }
  list->era = reply->era;
  for (guint i = 0; i < page->objects->len; i++)
    apply_object (list, &g_array_index (page->objects, DpStoreObject, i));
  list->is_read = page->is_last;
  if (page->is_last)
    list->read_from = list->began_at;
  if (!page->is_last)
    {
      g_free (list->after);
      list->after = g_strdup (last);
      schedule (list, 0);
    }
  dp_store_page_free (page);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  DpStoredList *list = user;
  const DpPlatformCall call = { .type = DP_PLATFORM_LIST_KIND,
                                .path = list->kind,
                                .after = list->after,
                                .timeout = CALL_TIMEOUT };
  list->is_calling = TRUE;
  if (list->after == NULL)
    list->began_at = dp_node_now ();
  dp_platform_client_call (list->node->store, &call, on_page, list);
}

DpStoredList *
dp_stored_list_new (DpNode *node, const char *kind, DpStoredListFunc function)
{
  DpStoredList *list = g_new0 (DpStoredList, 1);
  list->node = node;
  list->kind = kind;
  list->function = function;
  list->timer = evtimer_new (node->base, on_timer, list);
  return list;
}

void
dp_stored_list_start (DpStoredList *list)
{
  g_clear_pointer (&list->after, g_free);
  list->is_read = FALSE;
  list->is_outdated = list->is_calling;
  if (!list->is_calling)
    schedule (list, 0);
}

guint64
dp_stored_list_era (const DpStoredList *list)
{
  return list->era;
}

gboolean
dp_stored_list_is_read (const DpStoredList *list)
{
  return list->is_read;
}

gboolean
dp_stored_list_is_failing (const DpStoredList *list)
{
  return list->is_failing;
}

DpUsec
dp_stored_list_read_from (const DpStoredList *list)
{
  return list->read_from;
}

void
dp_stored_list_free (DpStoredList *list)
{
  event_free (list->timer);
  g_free (list->after);
  g_free (list);
}
