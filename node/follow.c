/* Follows config, targets and VMs in the platform's store: a listing, then watches. */
#include "node/node.h"

#include "common/log.h"
#include "platform/records.h"

#include <string.h>

/* A watch without news returns after this time, so that a connection that has gone silent is
 * noticed well within the time in which a config has to be in force. */
#define WATCH_TIME (2 * DP_USEC_PER_SEC)
/* Answers come within milliseconds; slow days take some hundred. */
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)
/* On slow days a listing may take longer than that; each failure in a row adds as much. */
#define CALL_TIMEOUT_MAX (3 * DP_USEC_PER_SEC)
/* A VM whose relays are silent for so long watches for itself: well within the time in which a
 * config has to be in force. */
#define RELAY_SILENCE (900 * DP_USEC_PER_MSEC)
/* Changes that come together cost one call if the watch is called again a little later. */
#define GATHER_TIME (20 * DP_USEC_PER_MSEC)
/* All VMs start at once; nothing is bound to how soon they know each other. */
#define VMS_GATHER_TIME (300 * DP_USEC_PER_MSEC)
#define RETRY_TIME (150 * DP_USEC_PER_MSEC)
#define BACKOFF_MIN (100 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (400 * DP_USEC_PER_MSEC)
#define CALLS_PER_SECOND 40
#define CALLS_BURST 40
#define CALLS_IN_FLIGHT 8
#define CALLS_QUEUED 32
/* Entries of targets lapse after so many missed heartbeats. */
#define LAPSE_HEARTBEATS 3

typedef enum Kind
{
  KIND_CONFIG,
  KIND_TARGETS,
  KIND_VMS,
  KIND_COUNT,
} Kind;

static const char *const kind_paths[KIND_COUNT] = {
  [KIND_CONFIG] = DP_KIND_CONFIG,
  [KIND_TARGETS] = DP_KIND_TARGETS,
  [KIND_VMS] = DP_KIND_VMS,
};

/* One kind of objects. */
typedef struct Stream
{
  DpFollow *follow;
  Kind kind;
  struct event *next; /* the next call */
  gboolean is_listed; /* watches go on from `revision` */
  gboolean is_parked; /* a relay watches for this VM */
  guint64 revision;
  guint failures; /* in a row */
  /* a listing that comes in pages */
  GPtrArray *pages; /* DpStorePage */
  char *after;
} Stream;

struct DpFollow
{
  DpNode *node;
  Stream streams[KIND_COUNT];
  GHashTable *vms; /* DpName -> DpVm */
  guint64 view_version;
};

static void call_next (Stream *stream);

static void
schedule (struct event *event, DpUsec delay)
{
  struct timeval tv = { .tv_sec = delay / DP_USEC_PER_SEC, .tv_usec = delay % DP_USEC_PER_SEC };
  event_add (event, &tv);
}

static void
log_findings (const char *what, DpFindings *findings)
{
  for (guint i = 0; i < dp_findings_count (findings); i++)
    {
      const DpFinding *finding = dp_findings_get (findings, i);
      dp_log (DP_LOG_WARNING, "store_entry_refused", "kind", what, "entry", finding->file,
              "member", finding->path, "message", finding->message, NULL);
    }
}

static void
log_change (const char *event, const char *name, const char *outcome, guint64 revision)
{
  char text[24];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, revision);
  dp_log (DP_LOG_NOTICE, event, "name", name, "outcome", outcome, "as_of", text, NULL);
}

/* --- config --- */

static void
use_config (DpFollow *follow, struct json_object *spec, const char *source)
{
  DpNode *node = follow->node;
  DpFindings *findings = dp_findings_new ();
  DpManifest *manifest = dp_records_read_config (spec, findings);
  log_findings ("config", findings);
  dp_findings_unref (findings);
  if (manifest == NULL)
    return;
  char version[24];
  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT, manifest->revision);
  if (node->manifest != NULL && manifest->revision <= node->manifest->revision)
    {
      if (manifest->revision < node->manifest->revision)
        dp_log (DP_LOG_NOTICE, "config_ignored", "version", version, "source", source, "reason",
                "older than the one in force", NULL);
      dp_manifest_unref (manifest);
      return;
    }
  dp_log (DP_LOG_NOTICE, "config_in_force", "version", version, "source", source, NULL);
  dp_manifest_unref (node->manifest);
  node->manifest = manifest;
  g_clear_pointer (&node->manifest_text, g_bytes_unref);
  gsize length;
  const char *text = json_object_to_json_string_length (spec, JSON_C_TO_STRING_PLAIN, &length);
  node->manifest_text = g_bytes_new (text, length);
  dp_placement_set_manifest (node);
  dp_front_set_limits (node);
}

static void
take_config (DpFollow *follow, const DpStoreObject *object, guint64 revision)
{
  if (!object->is_deleted && strcmp (object->name, DP_CONFIG_NAME) == 0)
    use_config (follow, object->spec, "store");
}

void
dp_follow_take_config_text (DpFollow *follow, GBytes *text)
{
  gsize length;
  const char *data = g_bytes_get_data (text, &length);
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *spec = json_tokener_parse_ex (tokener, data, (int)length);
  json_tokener_free (tokener);
  use_config (follow, spec, "another VM");
  json_object_put (spec);
}

/* --- targets --- */

static void
take_target (DpFollow *follow, const DpStoreObject *object, guint64 revision)
{
  DpNode *node = follow->node;
  DpUsec now = dp_node_now ();
  DpName name = dp_name (object->name);
  if (object->is_deleted)
    {
      dp_directory_remove (node->directory, name, now);
      gboolean is_kept = dp_directory_find (node->directory, name) != NULL;
      log_change ("target_removed", object->name, is_kept ? "kept for a while" : "gone",
                  revision);
      return;
    }
  DpTargetRecord record;
  DpFindings *findings = dp_findings_new ();
  if (!dp_records_read_target (object, &record, findings))
    /* What can't be read names no target to use. */
    dp_directory_remove (node->directory, name, now);
  else if (dp_directory_put (node->directory, &record))
    log_change ("target_known", object->name, record.is_draining ? "draining" : "ready",
                revision);
  log_findings ("target", findings);
  dp_findings_unref (findings);
}

/* Removes what a whole listing does not name. */
static void
drop_unlisted_targets (DpFollow *follow, GHashTable *listed)
{
  DpNode *node = follow->node;
  DpUsec now = dp_node_now ();
  GArray *missing = g_array_new (FALSE, FALSE, sizeof (DpName));
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    if (!g_hash_table_contains (listed, &row->name))
      g_array_append_val (missing, row->name);
  for (guint i = 0; i < missing->len; i++)
    dp_directory_remove (node->directory, g_array_index (missing, DpName, i), now);
  g_array_unref (missing);
}

void
dp_follow_take_targets (DpFollow *follow, const DpTargetRows *targets)
{
  DpNode *node = follow->node;
  Stream *stream = &follow->streams[KIND_TARGETS];
  if (targets->revision < stream->revision)
    return;
  guint64 before = dp_directory_version (node->directory);
  dp_directory_replace (node->directory, (const DpTargetRecord *)targets->rows->data,
                        targets->rows->len, dp_node_now ());
  stream->revision = targets->revision;
  if (dp_directory_version (node->directory) == before)
    return;
  char count[16];
  g_snprintf (count, sizeof count, "%u", targets->rows->len);
  log_change ("targets_from_vm", count, "ok", targets->revision);
  dp_placement_set_targets (node);
}

/* --- VMs --- */

static void
publish_view (DpFollow *follow)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (DpVm));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, follow->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_vals (rows, value, 1);
  DpView *view = dp_view_new (++follow->view_version, (const DpVm *)rows->data, rows->len);
  dp_peers_set_view (follow->node, view);
  dp_view_unref (view);
  g_array_unref (rows);
}

static void
take_vm (DpFollow *follow, const DpStoreObject *object, guint64 revision)
{
  DpName name = dp_name (object->name);
  /* This VM knows best of itself. */
  if (name == follow->node->self)
    {
      if (object->is_deleted)
        dp_enlist_missing (follow->node->enlist);
      return;
    }
  if (object->is_deleted)
    {
      if (g_hash_table_remove (follow->vms, &name))
        log_change ("vm_removed", object->name, "ok", revision);
      return;
    }
  DpVm vm;
  DpFindings *findings = dp_findings_new ();
  if (dp_records_read_vm (object, &vm, findings))
    {
      if (!g_hash_table_contains (follow->vms, &name))
        log_change ("vm_known", object->name, vm.address, revision);
      g_hash_table_insert (follow->vms, g_memdup2 (&name, sizeof name),
                           g_memdup2 (&vm, sizeof vm));
    }
  log_findings ("vm", findings);
  dp_findings_unref (findings);
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer user)
{
  const GHashTable *listed = ((gpointer *)user)[0];
  const DpFollow *follow = ((gpointer *)user)[1];
  const DpName *name = key;
  return *name != follow->node->self && !g_hash_table_contains ((GHashTable *)listed, name);
}

static void
drop_unlisted_vms (DpFollow *follow, GHashTable *listed)
{
  gpointer user[2] = { listed, follow };
  g_hash_table_foreach_remove (follow->vms, is_unlisted, user);
}

/* Drops VMs that a whole list does not name. */
static gboolean
drop_absent_vms (DpFollow *follow, const GArray *vms)
{
  GHashTable *listed = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < vms->len; i++)
    g_hash_table_add (listed, &g_array_index (vms, DpVm, i).name);
  guint before = g_hash_table_size (follow->vms);
  drop_unlisted_vms (follow, listed);
  g_hash_table_unref (listed);
  return g_hash_table_size (follow->vms) != before;
}

void
dp_follow_take_vms (DpFollow *follow, const GArray *vms, guint64 revision)
{
  Stream *stream = &follow->streams[KIND_VMS];
  gboolean changed = FALSE;
  for (guint i = 0; i < vms->len; i++)
    {
      const DpVm *vm = &g_array_index (vms, DpVm, i);
      if (g_hash_table_contains (follow->vms, &vm->name))
        continue;
      g_hash_table_insert (follow->vms, g_memdup2 (&vm->name, sizeof vm->name),
                           g_memdup2 (vm, sizeof *vm));
      changed = TRUE;
    }
  if (revision > stream->revision)
    {
      stream->revision = revision;
      changed |= drop_absent_vms (follow, vms);
    }
  if (changed)
    publish_view (follow);
}

/* --- relays --- */

DpRelay
dp_follow_state (const DpFollow *follow)
{
  const DpNode *node = follow->node;
  DpUsec proof = MIN (MIN (node->manifest_proof, node->view_proof),
                      dp_directory_last_contact_at (node->directory));
  return (DpRelay){ .manifest_revision = node->manifest != NULL ? node->manifest->revision : 0,
                    .targets_revision = follow->streams[KIND_TARGETS].revision,
                    .vms_revision = follow->streams[KIND_VMS].revision,
                    .age = dp_node_now () - proof };
}

gboolean
dp_follow_is_failing (const DpFollow *follow)
{
  for (guint i = 0; i < KIND_COUNT; i++)
    if (follow->streams[i].failures > 0)
      return TRUE;
  return FALSE;
}

void
dp_follow_take_proof (DpFollow *follow, const DpRelay *relay)
{
  DpNode *node = follow->node;
  DpUsec now = dp_node_now ();
  DpUsec proof = now - relay->age;
  node->relay_heard_at = now;
  DpRelay own = dp_follow_state (follow);
  if (own.manifest_revision >= relay->manifest_revision)
    node->manifest_proof = MAX (node->manifest_proof, proof);
  if (own.vms_revision >= relay->vms_revision)
    node->view_proof = MAX (node->view_proof, proof);
  if (own.targets_revision >= relay->targets_revision
      && proof > dp_directory_last_contact_at (node->directory))
    dp_directory_record_contact (node->directory,
                                 LAPSE_HEARTBEATS * node->figures.target_heartbeat, proof);
}

/* --- pages --- */

static void
take_object (Stream *stream, const DpStoreObject *object, guint64 revision)
{
  switch (stream->kind)
    {
    case KIND_CONFIG:
      take_config (stream->follow, object, revision);
      break;
    case KIND_TARGETS:
      take_target (stream->follow, object, revision);
      break;
    case KIND_VMS:
      take_vm (stream->follow, object, revision);
      break;
    case KIND_COUNT:
      break;
    }
}

static void
take_page (Stream *stream, const DpStorePage *page)
{
  for (guint i = 0; i < page->objects->len; i++)
    take_object (stream, &g_array_index (page->objects, DpStoreObject, i), page->revision);
}

static void
drop_unlisted (Stream *stream)
{
  GHashTable *listed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint p = 0; p < stream->pages->len; p++)
    {
      const DpStorePage *page = g_ptr_array_index (stream->pages, p);
      for (guint i = 0; i < page->objects->len; i++)
        {
          DpName name = dp_name (g_array_index (page->objects, DpStoreObject, i).name);
          g_hash_table_add (listed, g_memdup2 (&name, sizeof name));
        }
    }
  if (stream->kind == KIND_TARGETS)
    drop_unlisted_targets (stream->follow, listed);
  else if (stream->kind == KIND_VMS)
    {
      drop_unlisted_vms (stream->follow, listed);
      if (!g_hash_table_contains (listed, &stream->follow->node->self))
        dp_enlist_missing (stream->follow->node->enlist);
    }
  g_hash_table_unref (listed);
}

/* The store has answered: what is known is the newest as of now. */
static void
note_proof (Stream *stream)
{
  DpFollow *follow = stream->follow;
  DpNode *node = follow->node;
  DpUsec now = dp_node_now ();
  switch (stream->kind)
    {
    case KIND_CONFIG:
      node->manifest_proof = now;
      break;
    case KIND_TARGETS:
      dp_directory_record_contact (node->directory,
                                   LAPSE_HEARTBEATS * node->figures.target_heartbeat, now);
      break;
    case KIND_VMS:
      node->view_proof = now;
      break;
    case KIND_COUNT:
      break;
    }
}

static void
publish (Stream *stream)
{
  DpNode *node = stream->follow->node;
  if (stream->kind == KIND_VMS)
    publish_view (stream->follow);
  else if (stream->kind == KIND_TARGETS)
    dp_placement_set_targets (node);
}

static void
end_listing (Stream *stream, guint64 revision)
{
  for (guint i = 0; i < stream->pages->len; i++)
    take_page (stream, g_ptr_array_index (stream->pages, i));
  drop_unlisted (stream);
  publish (stream);
  stream->is_listed = TRUE;
  stream->revision = revision;
  g_ptr_array_set_size (stream->pages, 0);
  g_clear_pointer (&stream->after, g_free);
}

/* --- calls --- */

static void
note_failure (Stream *stream, const char *outcome)
{
  if (stream->failures++ == 0)
    dp_log (DP_LOG_WARNING, "store_lost", "kind", kind_paths[stream->kind], "outcome", outcome,
            NULL);
  schedule (stream->next, RETRY_TIME);
}

static void
note_success (Stream *stream)
{
  if (stream->failures > 0)
    {
      char text[16];
      g_snprintf (text, sizeof text, "%u", stream->failures);
      dp_log (DP_LOG_NOTICE, "store_regained", "kind", kind_paths[stream->kind], "failures",
              text, NULL);
    }
  stream->failures = 0;
}

static DpStorePage *
read_page (Stream *stream, const DpPlatformReply *reply, gboolean is_watch)
{
  gsize length;
  const char *text = g_bytes_get_data (reply->value, &length);
  DpFindings *findings = dp_findings_new ();
  DpStorePage *page
    = dp_records_read_page (text != NULL ? text : "", length, is_watch, findings);
  log_findings (kind_paths[stream->kind], findings);
  dp_findings_unref (findings);
  return page;
}

static void
on_listed (const DpPlatformReply *reply, gpointer data)
{
  Stream *stream = data;
  DpStorePage *page = reply->result == DP_PLATFORM_OK ? read_page (stream, reply, FALSE) : NULL;
  if (page == NULL)
    {
      g_ptr_array_set_size (stream->pages, 0);
      g_clear_pointer (&stream->after, g_free);
      note_failure (stream, dp_platform_result_name (reply->result));
      return;
    }
  note_success (stream);
  note_proof (stream);
  g_ptr_array_add (stream->pages, page);
  if (page->is_last || page->objects->len == 0)
    {
      /* Watching from the first page's revision misses nothing that changed between pages. */
      const DpStorePage *first = g_ptr_array_index (stream->pages, 0);
      end_listing (stream, first->revision);
    }
  else
    {
      const DpStoreObject *last
        = &g_array_index (page->objects, DpStoreObject, page->objects->len - 1);
      g_free (stream->after);
      stream->after = g_strdup (last->name);
    }
  call_next (stream);
}

static void
on_watched (const DpPlatformReply *reply, gpointer data)
{
  Stream *stream = data;
  if (reply->result == DP_PLATFORM_HISTORY_GONE || reply->result == DP_PLATFORM_BROKEN)
    {
      dp_log (DP_LOG_NOTICE, "store_history_gone", "kind", kind_paths[stream->kind], NULL);
      stream->is_listed = FALSE;
      call_next (stream);
      return;
    }
  DpStorePage *page = reply->result == DP_PLATFORM_OK ? read_page (stream, reply, TRUE) : NULL;
  if (page == NULL)
    {
      /* A watch may be cut off; what it missed is read by a listing. */
      stream->is_listed = stream->is_listed && reply->result != DP_PLATFORM_OK;
      note_failure (stream, dp_platform_result_name (reply->result));
      return;
    }
  note_success (stream);
  note_proof (stream);
  take_page (stream, page);
  if (page->objects->len > 0)
    publish (stream);
  stream->revision = MAX (stream->revision, page->revision);
  gboolean had_news = page->objects->len > 0;
  dp_store_page_free (page);
  if (had_news)
    schedule (stream->next, stream->kind == KIND_VMS ? VMS_GATHER_TIME : GATHER_TIME);
  else
    call_next (stream);
}

static gboolean
must_watch (const Stream *stream)
{
  const DpNode *node = stream->follow->node;
  return !stream->is_listed || dp_owners_is_relay (node->owners)
         || dp_node_now () - node->relay_heard_at > RELAY_SILENCE;
}

static void
call_next (Stream *stream)
{
  const DpFollow *follow = stream->follow;
  stream->is_parked = !must_watch (stream);
  if (stream->is_parked)
    return;
  DpUsec timeout = MIN (CALL_TIMEOUT * (stream->failures + 1), CALL_TIMEOUT_MAX);
  DpPlatformCall call = { .path = kind_paths[stream->kind], .timeout = timeout };
  if (stream->is_listed)
    {
      call.type = DP_PLATFORM_WATCH_KIND;
      call.version = stream->revision;
      call.watch_time = WATCH_TIME;
      /* After a failure the store's return is to be seen at once, also if it has no news. */
      if (stream->failures > 0)
        call.watch_time = DP_USEC_PER_MSEC;
      dp_platform_client_call (follow->node->store, &call, on_watched, stream);
      return;
    }
  call.type = DP_PLATFORM_LIST_KIND;
  call.after = stream->after;
  dp_platform_client_call (follow->node->store, &call, on_listed, stream);
}

static void
on_next (evutil_socket_t fd, short what, void *user)
{
  call_next (user);
}

/* --- life --- */

static DpPlatformClient *
make_client (DpNode *node)
{
  const DpPlatformOptions options = { .base = node->base,
                                      .address = node->figures.store_address,
                                      .port = node->figures.store_port,
                                      .calls_per_second = CALLS_PER_SECOND,
                                      .burst = CALLS_BURST,
                                      .in_flight_max = CALLS_IN_FLIGHT,
                                      .queue_max = CALLS_QUEUED,
                                      .timeout = CALL_TIMEOUT,
                                      .backoff_min = BACKOFF_MIN,
                                      .backoff_max = BACKOFF_MAX,
                                      .seed = node->random,
                                      .counters = node->counters };
  return dp_platform_client_new (&options);
}

static void
page_free (gpointer page)
{
  dp_store_page_free (page);
}

DpFollow *
dp_follow_new (DpNode *node)
{
  DpFollow *follow = g_new0 (DpFollow, 1);
  follow->node = node;
  node->store = make_client (node);
  follow->vms = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  for (guint i = 0; i < KIND_COUNT; i++)
    {
      Stream *stream = &follow->streams[i];
      stream->follow = follow;
      stream->kind = (Kind)i;
      stream->next = evtimer_new (node->base, on_next, stream);
      stream->pages = g_ptr_array_new_with_free_func (page_free);
    }
  DpVm self = dp_enlist_row (node);
  g_hash_table_insert (follow->vms, g_memdup2 (&self.name, sizeof self.name),
                       g_memdup2 (&self, sizeof self));
  publish_view (follow);
  return follow;
}

void
dp_follow_start (DpFollow *follow)
{
  for (guint i = 0; i < KIND_COUNT; i++)
    call_next (&follow->streams[i]);
  dp_enlist_start (follow->node->enlist);
}

void
dp_follow_tick (DpFollow *follow, DpUsec now)
{
  DpNode *node = follow->node;
  for (guint i = 0; i < KIND_COUNT; i++)
    if (follow->streams[i].is_parked && must_watch (&follow->streams[i]))
      call_next (&follow->streams[i]);
  /* While the store is away, nothing that is missing is known to be gone. */
  if (follow->streams[KIND_TARGETS].failures > 0)
    return;
  dp_directory_expire (node->directory, now);
  if (dp_directory_version (node->directory) != node->directory_applied)
    dp_placement_set_targets (node);
}

void
dp_follow_free (DpFollow *follow)
{
  if (follow == NULL)
    return;
  g_clear_pointer (&follow->node->store, dp_platform_client_unref);
  for (guint i = 0; i < KIND_COUNT; i++)
    {
      event_free (follow->streams[i].next);
      g_ptr_array_unref (follow->streams[i].pages);
      g_free (follow->streams[i].after);
    }
  g_hash_table_unref (follow->vms);
  g_free (follow);
}
