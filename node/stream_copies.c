/* Copies of streams' versions: their messages, the store, logs and metrics.
 *
 * What is sent, asked and stored is decided in core/stream_copies/.
 */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)
/* A take-up doesn't read the store's copies again if they were read this recently. */
#define READ_AGE_MAX DP_USEC_PER_SEC
#define STATUS_INTERVAL DP_USEC_PER_SEC

struct DpNodeCopies
{
  DpNode *node;
  DpStreamCopies *state;
  DpVersions *versions;
  GHashTable *pools; /* DpName: their streams may be taken up */
  DpStoredList *stored;
  DpUsec read_started_at; /* 0: never */
  gboolean is_reading;
  DpUsec read_at; /* start of the last read that succeeded; 0: never */
  guint rows_read;
  /* write in progress */
  char *written_name;
  char *written_body;
  DpPlatformResult written_result; /* of the last write */
  DpUsec reported_at;
  DpStreamCopiesStatus reported; /* last status in logs and metrics */
};

static void
send_message (gpointer user, DpName to, const DpMessage *message)
{
  dp_peers_send (user, to, message);
}

/* --- the store --- */

static void
start_read (DpNodeCopies *copies, DpUsec now)
{
  if (copies->is_reading)
    return;
  copies->is_reading = TRUE;
  copies->read_started_at = now;
  copies->rows_read = 0;
  dp_stored_list_start (copies->stored);
}

static void
on_stored (DpNode *node, const DpStoreObject *object, DpDiagnostics *diagnostics)
{
  GArray *rows = dp_records_read_streams (object, diagnostics);
  if (rows == NULL)
    return;
  node->copies->rows_read += rows->len;
  dp_stream_copies_merge (node->copies->state, (const DpStreamCopy *)rows->data, rows->len,
                          dp_node_now ());
  g_array_unref (rows);
}

static void
end_read (DpNodeCopies *copies)
{
  copies->is_reading = FALSE;
  copies->read_at = copies->read_started_at;
  dp_stream_copies_set_read (copies->state);
  char rows[16];
  g_snprintf (rows, sizeof rows, "%u", copies->rows_read);
  dp_log (DP_LOG_INFO, "stream_copies_read", "rows", rows, NULL);
}

static void write_object (DpNodeCopies *copies, DpPlatformCallType type);

static void
on_written (const DpPlatformReply *reply, gpointer data)
{
  DpNodeCopies *copies = data;
  dp_counters_add (copies->node->counters, "dogwoodplank_stream_copies_writes_total", "outcome",
                   dp_platform_result_name (reply->result), 1);
  if (reply->result == DP_PLATFORM_NOT_FOUND)
    {
      write_object (copies, DP_PLATFORM_CREATE);
      return;
    }
  if (reply->result != copies->written_result)
    dp_log (DP_LOG_NOTICE, "stream_copies_stored", "outcome",
            dp_platform_result_name (reply->result), "object", copies->written_name, NULL);
  copies->written_result = reply->result;
  g_clear_pointer (&copies->written_name, g_free);
  g_clear_pointer (&copies->written_body, g_free);
  dp_stream_copies_end_write (copies->state, reply->result == DP_PLATFORM_OK, dp_node_now ());
}

static void
write_object (DpNodeCopies *copies, DpPlatformCallType type)
{
  const DpPlatformCall call = { .type = type,
                                .path = DP_KIND_STREAMS,
                                .name = copies->written_name,
                                .value = copies->written_body,
                                .length = strlen (copies->written_body),
                                .timeout = CALL_TIMEOUT };
  dp_platform_client_call (copies->node->store, &call, on_written, copies);
}

static void
tick_store (DpNodeCopies *copies, DpUsec now)
{
  if (copies->is_reading && dp_stored_list_is_read (copies->stored))
    end_read (copies);
  if (dp_stream_copies_wants_read (copies->state, now))
    start_read (copies, now);
  GArray *rows = dp_stream_copies_begin_write (copies->state, now);
  if (rows == NULL)
    return;
  copies->written_name = dp_records_key_name (dp_stream_copies_group_key (copies->state));
  copies->written_body = dp_records_write_streams (copies->written_name,
                                                   (const DpStreamCopy *)rows->data, rows->len);
  g_array_unref (rows);
  write_object (copies, DP_PLATFORM_REPLACE);
}

gboolean
dp_node_copies_are_read (DpNode *node, DpUsec since)
{
  DpNodeCopies *copies = node->copies;
  if (copies->read_at != 0 && copies->read_at + READ_AGE_MAX >= since)
    return TRUE;
  start_read (copies, dp_node_now ());
  return FALSE;
}

void
dp_node_copies_on_restored (DpNode *node)
{
  dp_stream_copies_on_restored (node->copies->state, dp_node_now ());
}

/* --- sharing --- */

static void
add_pools (GHashTable *pools, const DpRoute *route)
{
  for (guint i = 0; route->resumable && i < route->shares->len; i++)
    {
      const DpName *name = &g_array_index (route->shares, DpRouteShare, i).pool;
      if (!g_hash_table_contains (pools, name))
        g_hash_table_add (pools, g_memdup2 (name, sizeof *name));
    }
}

void
dp_node_copies_set_manifest (DpNode *node)
{
  DpNodeCopies *copies = node->copies;
  g_hash_table_remove_all (copies->pools);
  for (guint i = 0; i < node->manifest->routes->len; i++)
    add_pools (copies->pools, DP_MANIFEST_ROUTE (node->manifest, i));
}

void
dp_node_copies_update (DpNode *node, DpUsec now)
{
  gboolean is_needed = FALSE;
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, node->copies->pools);
  while (!is_needed && g_hash_table_iter_next (&iter, &pool, NULL))
    is_needed = dp_versions_may_differ (node->copies->versions, *(const DpName *)pool, now);
  dp_stream_copies_set_sharing (node->copies->state, is_needed, now);
}

/* --- logs and metrics --- */

static void
count (DpNodeCopies *copies, const DpStreamCopiesStatus *status)
{
  const DpStreamCopiesStatus *last = &copies->reported;
  DpCounters *counters = copies->node->counters;
  dp_counters_add (counters, "dogwoodplank_stream_copies_sent_total", NULL, NULL,
                   status->rows_sent - last->rows_sent);
  dp_counters_add (counters, "dogwoodplank_stream_copies_received_total", NULL, NULL,
                   status->rows_received - last->rows_received);
  dp_counters_add (counters, "dogwoodplank_stream_copies_gaps_total", NULL, NULL,
                   status->gaps - last->gaps);
  dp_counters_add (counters, "dogwoodplank_stream_copies_questions_total", NULL, NULL,
                   status->inquiries - last->inquiries);
  dp_counters_set (counters, "dogwoodplank_stream_copies_complete", NULL, NULL,
                   status->is_complete);
}

static void
log_status (const DpStreamCopiesStatus *status)
{
  char vms[16], groups[16], gaps[24], tables[24];
  g_snprintf (vms, sizeof vms, "%u", status->group_vms);
  g_snprintf (groups, sizeof groups, "%u", status->groups);
  g_snprintf (gaps, sizeof gaps, "%" G_GUINT64_FORMAT, status->gaps);
  g_snprintf (tables, sizeof tables, "%" G_GUINT64_FORMAT, status->tables);
  dp_log (DP_LOG_NOTICE, "stream_copies", "sharing", status->is_sharing ? "on" : "off",
          "complete", status->is_complete ? "yes" : "no", "vms", vms, "groups", groups, "gaps",
          gaps, "tables_asked", tables, NULL);
}

static void
tick_status (DpNodeCopies *copies, DpUsec now)
{
  if (now - copies->reported_at < STATUS_INTERVAL)
    return;
  copies->reported_at = now;
  const DpStreamCopiesStatus last = copies->reported;
  DpStreamCopiesStatus status = dp_stream_copies_status (copies->state, now);
  count (copies, &status);
  if (status.is_sharing != last.is_sharing || status.is_complete != last.is_complete
      || status.groups != last.groups)
    log_status (&status);
  copies->reported = status;
}

/* --- interface --- */

gboolean
dp_node_copies_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  if (!dp_stream_copies_receive (node->copies->state, from, message, dp_node_now ()))
    return FALSE;
  if (message->type == DP_MESSAGE_STREAM_COPIES)
    dp_take_ups_resolve_known (node);
  return TRUE;
}

void
dp_node_copies_set_view (DpNode *node)
{
  dp_stream_copies_set_view (node->copies->state, node->view);
}

void
dp_node_copies_tick (DpNode *node, DpUsec now)
{
  tick_store (node->copies, now);
  dp_stream_copies_tick (node->copies->state, now);
  tick_status (node->copies, now);
}

void
dp_node_copies_stop (DpNode *node)
{
  dp_stream_copies_leave (node->copies->state, dp_node_now ());
}

DpStreamCopies *
dp_node_copies_state (const DpNode *node)
{
  return node->copies->state;
}

DpNodeCopies *
dp_node_copies_new (DpNode *node, DpVersions *versions)
{
  DpNodeCopies *copies = g_new0 (DpNodeCopies, 1);
  const DpStreamCopiesOptions options
    = { .self = node->self,
        .incarnation = dp_process_incarnation (node->process),
        .started_at = node->started_at,
        .is_first_start = g_strcmp0 (node->settings->first_start, "true") == 0,
        .versions = versions,
        .owners = node->owners,
        .send = send_message,
        .user = node };
  copies->node = node;
  copies->versions = versions;
  copies->state = dp_stream_copies_new (&options);
  copies->pools = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  copies->stored = dp_stored_list_new (node, DP_KIND_STREAMS, on_stored);
  return copies;
}

void
dp_node_copies_free (DpNodeCopies *copies)
{
  dp_stored_list_free (copies->stored);
  dp_stream_copies_free (copies->state);
  g_hash_table_unref (copies->pools);
  g_free (copies->written_name);
  g_free (copies->written_body);
  g_free (copies);
}
