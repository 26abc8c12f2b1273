/* Software versions of pools' targets, and which of them can have begun streams.
 *
 * The VM that dispatches a pool's requests keeps the list of its recent versions in the store:
 * when all VMs have restarted at once, it shows whether a single version can have begun the
 * streams. It is written before a version begins any (core/versions/versions.h). Versions of
 * single streams: take_ups.c.
 */
#include "node/node.h"

#include "common/log.h"

#include <string.h>

#define CHECK_INTERVAL (50 * DP_USEC_PER_MSEC)
/* Without word from the store for longer, targets may have come and left unseen. A working
 * watch returns every two seconds. */
#define CONTACT_GAP_MAX (4 * DP_USEC_PER_SEC)
/* About 60 bytes each in each of two generations. */
#define STREAMS_MAX 16384
#define STREAM_LIFETIME_MIN (30 * DP_USEC_PER_SEC)
/* A caller may have begun to wait before the request that brought its first event. */
#define STREAM_LIFETIME_FACTOR 2
#define TICK_INTERVAL DP_USEC_PER_SEC
#define WRITE_RETRY_DELAY (300 * DP_USEC_PER_MSEC)
/* Between two readings while a version is not listed as far as this VM knows: some round trips
 * to the store. */
#define READ_INTERVAL (100 * DP_USEC_PER_MSEC)
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)

struct DpStreamVersions
{
  DpNode *node;
  DpVersions *table;
  DpStoredList *stored;
  gboolean has_begun; /* to read what is stored */
  gboolean is_writing;
  DpUsec ticked_at;
  DpUsec read_from;  /* beginning of the last reading of the stored lists; 0: none */
  DpUsec contact_at; /* the list of targets was last confirmed; 0: never */
  /* check of the list of targets */
  gboolean is_checking;
  DpUsec check_started_at;
  guint64 check_era;
  DpName written_pool;   /* of the write in progress */
  DpVersionList written; /* of the write in progress */
  /* DpName -> guint64: revision of a pool's object in the store, where it is known */
  GHashTable *revisions;
};

/* --- gaps --- */

/* The list of targets was confirmed: its versions are read from the store again if some may
 * have been missed since the last time. */
static void
record_contact (DpStreamVersions *versions, DpUsec contact_at)
{
  DpUsec gap = versions->contact_at != 0 ? contact_at - versions->contact_at : 0;
  versions->contact_at = MAX (versions->contact_at, contact_at);
  if (gap <= CONTACT_GAP_MAX)
    return;
  char gap_ms[24];
  g_snprintf (gap_ms, sizeof gap_ms, "%" G_GINT64_FORMAT, gap / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, "versions_incomplete", "gap_ms", gap_ms, NULL);
  dp_versions_begin_gap (versions->table, contact_at);
  dp_stored_list_start (versions->stored);
}

/* --- check of the list of targets --- */

/* Records the versions of targets that have changed since the list was last updated. */
static gboolean
observe_changes (DpStreamVersions *versions, const DpPlatformReply *reply)
{
  gsize length;
  const char *text = g_bytes_get_data (reply->value, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = dp_records_read_page (text, length, TRUE, diagnostics);
  for (guint i = 0; page != NULL && i < page->objects->len; i++)
    {
      const DpStoreObject *object = &g_array_index (page->objects, DpStoreObject, i);
      DpTargetRecord record;
      if (!object->is_deleted && dp_records_read_target (object, &record, diagnostics))
        dp_versions_observe (versions->table, dp_name (record.pool), &record.version,
                             dp_node_now ());
    }
  gboolean ok = page != NULL;
  dp_store_page_free (page);
  /* The watch of targets logs them. */
  dp_diagnostics_unref (diagnostics);
  return ok;
}

DpName
dp_stream_versions_single (const DpNode *node, DpName pool)
{
  return dp_versions_single (node->stream_versions->table, pool, dp_node_now ());
}

static void
on_checked (const DpPlatformReply *reply, gpointer data)
{
  DpStreamVersions *versions = data;
  versions->is_checking = FALSE;
  if (reply->result != DP_PLATFORM_OK || reply->era != versions->check_era
      || !observe_changes (versions, reply))
    return;
  record_contact (versions, versions->check_started_at);
  dp_take_ups_on_checked (versions->node, versions->check_started_at);
}

void
dp_stream_versions_start_check (DpNode *node, DpUsec now)
{
  DpStreamVersions *versions = node->stream_versions;
  if (versions->is_checking || now - versions->check_started_at < CHECK_INTERVAL
      || !dp_store_watch_has_listed_targets (node->store_watch))
    return;
  DpStoreVersion listed = dp_store_watch_state (versions->node->store_watch).targets;
  versions->is_checking = TRUE;
  versions->check_started_at = now;
  versions->check_era = listed.era;
  const DpPlatformCall call = { .type = DP_PLATFORM_WATCH_KIND,
                                .path = DP_KIND_TARGETS,
                                .version = listed.revision,
                                .watch_time = DP_USEC_PER_MSEC,
                                .timeout = CALL_TIMEOUT };
  dp_platform_client_call (versions->node->store, &call, on_checked, versions);
}

/* --- versions of pools --- */

static void store_lists (DpStreamVersions *versions, DpUsec now);

void
dp_stream_versions_observe (DpNode *node)
{
  DpStreamVersions *versions = node->stream_versions;
  DpUsec now = dp_node_now ();
  DpHandle at = 0;
  const DpDirectoryRow *row;
  record_contact (versions, dp_directory_last_contact_at (node->directory));
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    dp_versions_observe (versions->table, row->pool, &row->record.version, now);
  /* Not before, so that the lists are as new as what this VM knows of targets. */
  if (!versions->has_begun && versions->contact_at != 0)
    {
      versions->has_begun = TRUE;
      dp_stored_list_start (versions->stored);
    }
  dp_node_copies_update (node, now);
  store_lists (versions, now);
}

void
dp_stream_versions_set_manifest (DpNode *node)
{
  DpUsec lifetime = STREAM_LIFETIME_MIN;
  for (guint i = 0; i < node->manifest->routes->len; i++)
    lifetime
      = MAX (lifetime, STREAM_LIFETIME_FACTOR * DP_MANIFEST_ROUTE (node->manifest, i)->timeout);
  dp_versions_set_lifetime (node->stream_versions->table, lifetime);
}

/* For logs. */
static char *
join_labels (const GArray *list)
{
  GString *joined = g_string_new (NULL);
  for (guint i = 0; i < list->len; i++)
    g_string_append_printf (joined, "%s%s", i > 0 ? "," : "",
                            g_array_index (list, DpSoftwareVersion, i).label);
  return g_string_free (joined, FALSE);
}

static void
log_list (const char *name, const DpVersionList *list, guint64 era, gboolean is_complete)
{
  char written_era[24], read_era[24];
  char *text = join_labels (list->versions);
  g_snprintf (written_era, sizeof written_era, "%" G_GUINT64_FORMAT, list->era);
  g_snprintf (read_era, sizeof read_era, "%" G_GUINT64_FORMAT, era);
  dp_log (DP_LOG_NOTICE, "stored_versions", "pool", name, "versions", text, "written_era",
          written_era, "store_era", read_era, "complete", is_complete ? "yes" : "no", NULL);
  g_free (text);
}

/* `revision` 0: not known. */
static void
set_revision (DpStreamVersions *versions, DpName pool, guint64 revision)
{
  if (revision != 0)
    g_hash_table_insert (versions->revisions, g_memdup2 (&pool, sizeof pool),
                         g_memdup2 (&revision, sizeof revision));
  else
    g_hash_table_remove (versions->revisions, &pool);
}

/* Applies a list that was read from the store in its era `era`. */
static void
apply_object (DpStreamVersions *versions,
              const DpStoreObject *object,
              guint64 era,
              DpDiagnostics *diagnostics)
{
  DpUsec now = dp_node_now ();
  DpName pool;
  DpVersionList list;
  if (!dp_records_read_versions (object, &pool, &list, diagnostics))
    return;
  gboolean is_complete = dp_versions_apply_list (versions->table, pool, &list, era, now);
  dp_node_copies_update (versions->node, now);
  log_list (object->name, &list, era, is_complete);
  set_revision (versions, pool, object->revision);
  g_array_unref (list.versions);
}

static void
on_stored (DpNode *node, const DpStoreObject *object, DpDiagnostics *diagnostics)
{
  DpStreamVersions *versions = node->stream_versions;
  apply_object (versions, object, dp_stored_list_era (versions->stored), diagnostics);
}

/* Decodes the object in the reply to a write. NULL if there is none that can be read. */
static DpStorePage *
read_object (DpStreamVersions *versions, const DpPlatformReply *reply)
{
  if (reply->value == NULL)
    return NULL;
  gsize length;
  const char *text = g_bytes_get_data (reply->value, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = dp_records_read_object (text, length, diagnostics);
  dp_store_watch_log_diagnostics (versions->node->store_watch, DP_KIND_VERSIONS, 0,
                                  diagnostics);
  dp_diagnostics_unref (diagnostics);
  return page;
}

/* The list is in the store. */
static void
record_written (DpStreamVersions *versions, const DpPlatformReply *reply)
{
  DpStorePage *page = read_object (versions, reply);
  guint64 revision
    = page != NULL ? g_array_index (page->objects, DpStoreObject, 0).revision : 0;
  dp_store_page_free (page);
  set_revision (versions, versions->written_pool, revision);
  if (revision == 0)
    dp_stored_list_start (versions->stored);
  dp_versions_set_stored (versions->table, versions->written_pool, &versions->written,
                          reply->era);
  dp_placement_set_targets (versions->node);
}

/* Another VM has written the list: the next write has its versions, too. */
static void
apply_conflict (DpStreamVersions *versions, const DpPlatformReply *reply)
{
  DpStorePage *page = read_object (versions, reply);
  if (page == NULL)
    {
      dp_stored_list_start (versions->stored);
      return;
    }
  const DpStoreObject *object = &g_array_index (page->objects, DpStoreObject, 0);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  apply_object (versions, object, reply->era, diagnostics);
  dp_store_watch_log_diagnostics (versions->node->store_watch, DP_KIND_VERSIONS,
                                  object->revision, diagnostics);
  dp_diagnostics_unref (diagnostics);
  dp_store_page_free (page);
}

static void
on_written (const DpPlatformReply *reply, gpointer data)
{
  DpStreamVersions *versions = data;
  versions->is_writing = FALSE;
  char *text = join_labels (versions->written.versions);
  dp_log (DP_LOG_NOTICE, "versions_stored", "versions", text, "outcome",
          dp_platform_result_name (reply->result), NULL);
  g_free (text);
  switch (reply->result)
    {
    case DP_PLATFORM_OK:
      record_written (versions, reply);
      return;
    case DP_PLATFORM_CONFLICT:
      apply_conflict (versions, reply);
      break;
    case DP_PLATFORM_NOT_FOUND:
      set_revision (versions, versions->written_pool, 0);
      break;
    default:
      break;
    }
  versions->ticked_at = dp_node_now () - TICK_INTERVAL + WRITE_RETRY_DELAY;
}

/* Writes versions->written as the list of versions->written_pool. */
static void
write_list (DpStreamVersions *versions)
{
  const guint64 *revision = g_hash_table_lookup (versions->revisions, &versions->written_pool);
  char *name = dp_records_key_name (versions->written_pool);
  char *body = dp_records_write_versions (versions->written_pool, &versions->written,
                                          revision != NULL ? *revision : 0);
  const DpPlatformCall call
    = { .type = revision != NULL ? DP_PLATFORM_REPLACE : DP_PLATFORM_CREATE,
        .path = DP_KIND_VERSIONS,
        .name = name,
        .value = body,
        .length = strlen (body),
        .timeout = CALL_TIMEOUT };
  versions->is_writing = TRUE;
  dp_platform_client_call (versions->node->store, &call, on_written, versions);
  g_free (body);
  g_free (name);
}

/* TRUE if this VM keeps the pool's list in the store: as its owner, or while it dispatches
 * requests that wait for a version to be listed. */
static gboolean
keeps_list (const DpNode *node, const DpNodePool *pool, DpUsec now)
{
  return pool->kind == DP_POOL_ENGINES
         && (dp_owners_choose (node->owners, pool->name, now) == node->self
             || dp_dispatcher_awaits_version (pool->dispatcher));
}

/* Writes the list of a pool if it has changed. What the store has must be known, so that no
 * version of another VM's list is lost. */
static void
store_list (DpStreamVersions *versions, const DpNodePool *pool, DpUsec now)
{
  DpNode *node = versions->node;
  if (versions->is_writing || !dp_stored_list_is_read (versions->stored)
      || !keeps_list (node, pool, now))
    return;
  GArray *list = dp_versions_list_to_store (versions->table, pool->name, now);
  if (list == NULL)
    return;
  g_clear_pointer (&versions->written.versions, g_array_unref);
  versions->written_pool = pool->name;
  versions->written
    = (DpVersionList){ .versions = list, .era = dp_store_watch_state (node->store_watch).era };
  write_list (versions);
}

static void
store_lists (DpStreamVersions *versions, DpUsec now)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, versions->node->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    store_list (versions, value, now);
}

/* This VM dispatches requests, and a version is not listed as far as it knows: reads the lists
 * again, which another VM may have written since, and then writes what is missing. */
static void
update_for_dispatchers (DpStreamVersions *versions, DpUsec now)
{
  gboolean is_awaited = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, versions->node->pools);
  while (!is_awaited && g_hash_table_iter_next (&iter, NULL, &value))
    is_awaited = dp_dispatcher_awaits_version (((DpNodePool *)value)->dispatcher);
  if (is_awaited && !versions->is_writing && dp_stored_list_is_read (versions->stored)
      && now - versions->read_from > READ_INTERVAL)
    dp_stored_list_start (versions->stored);
}

void
dp_stream_versions_tick (DpNode *node, DpUsec now)
{
  DpStreamVersions *versions = node->stream_versions;
  DpUsec read_from = dp_stored_list_read_from (versions->stored);
  if (dp_stored_list_is_failing (versions->stored))
    dp_versions_set_unreadable (versions->table);
  else if (read_from != versions->read_from)
    {
      versions->read_from = read_from;
      dp_versions_set_read (versions->table, read_from);
      store_lists (versions, now);
    }
  update_for_dispatchers (versions, now);
  if (now - versions->ticked_at < TICK_INTERVAL)
    return;
  versions->ticked_at = now;
  dp_stream_versions_observe (node);
}

void
dp_stream_versions_on_restored (DpNode *node)
{
  DpStreamVersions *versions = node->stream_versions;
  DpUsec now = dp_node_now ();
  g_hash_table_remove_all (versions->revisions);
  /* A target may have served between this VM's last news and the restore, and left before it
   * could register again. */
  dp_versions_begin_gap (versions->table, now);
  dp_stored_list_start (versions->stored);
  dp_node_copies_update (node, now);
}

DpStreamVersions *
dp_stream_versions_new (DpNode *node)
{
  DpStreamVersions *versions = g_new0 (DpStreamVersions, 1);
  versions->node = node;
  const DpVersionsOptions options
    = { .stream_lifetime = STREAM_LIFETIME_MIN,
        .started_at = node->started_at,
        .is_first_start = g_strcmp0 (node->settings->first_start, "true") == 0,
        .streams_max = STREAMS_MAX };
  versions->table = dp_versions_new (&options);
  versions->stored = dp_stored_list_new (node, DP_KIND_VERSIONS, on_stored);
  versions->revisions = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return versions;
}

DpVersions *
dp_stream_versions_table (const DpNode *node)
{
  return node->stream_versions->table;
}

void
dp_stream_versions_free (DpStreamVersions *versions)
{
  dp_stored_list_free (versions->stored);
  dp_versions_free (versions->table);
  g_hash_table_unref (versions->revisions);
  g_clear_pointer (&versions->written.versions, g_array_unref);
  g_free (versions);
}
