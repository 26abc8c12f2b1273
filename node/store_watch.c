/* Reads config, targets and VMs from the platform's store: lists each kind of objects once,
 * then watches it for changes. */
#include "node/node.h"

#include "common/log.h"
#include "platform/records.h"

#include <string.h>

/* A watch without changes returns after this time, so that a dead connection is detected well
 * before the time in which a new config must be in force. */
#define WATCH_TIMEOUT (2 * DP_USEC_PER_SEC)
/* The store normally answers within milliseconds, under load within some hundred. */
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)
/* Listings may take longer under load: the timeout grows by CALL_TIMEOUT with each consecutive
 * failure, up to this. */
#define CALL_TIMEOUT_MAX (3 * DP_USEC_PER_SEC)
/* Without a list of orders from a relay for this long, the VM watches them itself. Well below
 * the time in which a new config must be in force. */
#define ROLLOUTS_TIMEOUT (900 * DP_USEC_PER_MSEC)
/* Delay before the next watch after a change, so that one call returns several changes. */
#define BATCH_DELAY (20 * DP_USEC_PER_MSEC)
/* All VMs may start at once, and it is not urgent that they learn of each other. */
#define VMS_BATCH_DELAY (300 * DP_USEC_PER_MSEC)
#define RETRY_DELAY (150 * DP_USEC_PER_MSEC)
#define BACKOFF_MIN (100 * DP_USEC_PER_MSEC)
#define BACKOFF_MAX (400 * DP_USEC_PER_MSEC)
#define CALLS_PER_SECOND 40
#define CALLS_BURST 40
#define CALLS_IN_FLIGHT 8
#define CALLS_QUEUED 32
/* A store without eras that keeps listing an older revision was restored from an older copy. */
#define OLD_LISTINGS_MAX 3
/* A change without a readable name may be of a known object: a listing shows which one is left
 * out. Another writer may make such changes again and again. */
#define UNNAMED_DELAY (2 * DP_USEC_PER_SEC)
/* A target's entry expires after this many missed heartbeats. */
#define EXPIRY_HEARTBEATS 3
/* After a restore, entries of VMs are written again within two seconds. */
#define VMS_SETTLE_TIME (2500 * DP_USEC_PER_MSEC)
/* After a restore, entries of targets that are gone expire within EXPIRY_HEARTBEATS and this.
 */
#define TARGETS_SETTLE_TIME (500 * DP_USEC_PER_MSEC)
/* Diagnostics of one reading that are logged. */
#define DIAGNOSTICS_LOGGED_MAX 16
/* Diagnostics that are not logged again; about 60 bytes each. */
#define DIAGNOSTICS_KNOWN_MAX 1024

typedef enum Kind
{
  KIND_CONFIG,
  KIND_TARGETS,
  KIND_VMS,
  KIND_ROLLOUTS, /* only with staged roll-outs */
  KIND_COUNT,
} Kind;

static const char *const kind_paths[KIND_COUNT] = {
  [KIND_CONFIG] = DP_KIND_CONFIG,
  [KIND_TARGETS] = DP_KIND_TARGETS,
  [KIND_VMS] = DP_KIND_VMS,
  [KIND_ROLLOUTS] = DP_KIND_ROLLOUTS,
};

/* Where the changes of a kind come from, and why. */
typedef enum FeedSource
{
  SOURCE_NONE, /* before the first call */
  SOURCE_RELAYS,
  SOURCE_STORE_FIRST,       /* there is no complete listing */
  SOURCE_STORE_AS_RELAY,    /* this VM watches for others */
  SOURCE_STORE_UNCONFIRMED, /* no relay has confirmed this VM's state lately */
  SOURCE_STORE_STUCK,       /* a newer state does not arrive from other VMs */
} FeedSource;

static const char *const source_names[] = {
  [SOURCE_NONE] = "none",
  [SOURCE_RELAYS] = "relays",
  [SOURCE_STORE_FIRST] = "store_first",
  [SOURCE_STORE_AS_RELAY] = "store_as_relay",
  [SOURCE_STORE_UNCONFIRMED] = "store_unconfirmed",
  [SOURCE_STORE_STUCK] = "store_stuck",
};

/* Listing and watch of one kind of objects. */
typedef struct ObjectFeed
{
  DpStoreWatch *watch;
  Kind kind;
  struct event *timer; /* starts the next call */
  gboolean is_listed;  /* listing complete: watch from `version` */
  gboolean is_relayed; /* no calls: a relay sends the changes */
  FeedSource source;   /* of the last call, or SOURCE_RELAYS */
  DpStoreVersion version;
  guint64 seen_revision; /* highest of the pages that were applied in the current era */
  guint failures;        /* consecutive */
  guint old_listings;    /* consecutive */
  /* The store was restored: the next listing may lack entries that will be written again, and
   * have ones that are out of date. */
  gboolean is_restored;
  DpUsec relist_at; /* when the listing is repeated; 0: never */
  /* listing in progress */
  guint64 listing_era;
  GPtrArray *pages; /* DpStorePage */
  DpUsec first_page_at;
  char *after; /* name of the last object of the last page */
} ObjectFeed;

struct DpStoreWatch
{
  DpNode *node;
  ObjectFeed feeds[KIND_COUNT];
  GHashTable *vms;    /* DpName -> DpVm */
  GHashTable *logged; /* guint64: hashes of diagnostics */
  guint64 view_version;
  guint64 era; /* highest known of the store; 0: unknown */
  gboolean is_checking_rollouts;
  DpUsec rollouts_checked_at;
};

static void start_next_call (ObjectFeed *feed);

static void
schedule (struct event *event, DpUsec delay)
{
  struct timeval tv = { .tv_sec = delay / DP_USEC_PER_SEC, .tv_usec = delay % DP_USEC_PER_SEC };
  event_add (event, &tv);
}

static guint64
hash_diagnostic (const DpDiagnostic *diagnostic, const char *kind, guint64 revision)
{
  guint64 hash = dp_hash_bytes (kind, strlen (kind) + 1, revision);
  hash = dp_hash_bytes (diagnostic->file, strlen (diagnostic->file) + 1, hash);
  hash = dp_hash_bytes (diagnostic->path, strlen (diagnostic->path) + 1, hash);
  return dp_hash_bytes (diagnostic->message, strlen (diagnostic->message), hash);
}

/* FALSE if the diagnostic was logged before. */
static gboolean
mark_logged (DpStoreWatch *watch, guint64 hash)
{
  if (g_hash_table_size (watch->logged) >= DIAGNOSTICS_KNOWN_MAX)
    g_hash_table_remove_all (watch->logged);
  return g_hash_table_add (watch->logged, g_memdup2 (&hash, sizeof hash));
}

void
dp_store_watch_log_diagnostics (DpStoreWatch *watch,
                                const char *kind,
                                guint64 revision,
                                const DpDiagnostics *diagnostics)
{
  guint count = dp_diagnostics_count (diagnostics);
  for (guint i = 0; i < MIN (count, DIAGNOSTICS_LOGGED_MAX); i++)
    {
      const DpDiagnostic *diagnostic = dp_diagnostics_get (diagnostics, i);
      if (!mark_logged (watch, hash_diagnostic (diagnostic, kind, revision)))
        continue;
      char text[24];
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, revision);
      dp_log (DP_LOG_WARNING, "store_entry_refused", "kind", kind, "entry", diagnostic->file,
              "revision", text, "member", diagnostic->path, "message", diagnostic->message,
              NULL);
    }
}

static void
log_change (const char *event, const char *name, const char *outcome, guint64 revision)
{
  char text[24];
  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, revision);
  dp_log (DP_LOG_NOTICE, event, "name", name, "outcome", outcome, "as_of", text, NULL);
}

/* --- restores --- */

static void
log_restore (const DpStoreWatch *watch, guint64 era, const char *source)
{
  char era_text[24], before[24], targets[24], vms[24];
  g_snprintf (era_text, sizeof era_text, "%" G_GUINT64_FORMAT, era);
  g_snprintf (before, sizeof before, "%" G_GUINT64_FORMAT, watch->era);
  g_snprintf (targets, sizeof targets, "%" G_GUINT64_FORMAT,
              watch->feeds[KIND_TARGETS].version.revision);
  g_snprintf (vms, sizeof vms, "%" G_GUINT64_FORMAT, watch->feeds[KIND_VMS].version.revision);
  dp_log (DP_LOG_WARNING, "store_restored", "era", era_text, "before", before,
          "targets_revision", targets, "vms_revision", vms, "source", source, NULL);
}

/* The store has stated an era. A higher one than before means that it was restored from an
 * older copy: what was written since is missing, and revisions are given out again. */
static void
apply_era (DpStoreWatch *watch, guint64 era, const char *source)
{
  DpNode *node = watch->node;
  if (era <= watch->era)
    return;
  gboolean is_restored = watch->era != 0;
  if (is_restored)
    log_restore (watch, era, source);
  watch->era = era;
  dp_counters_set (node->counters, "dogwoodplank_store_era", NULL, NULL, era);
  if (!is_restored)
    return;
  dp_counters_add (node->counters, "dogwoodplank_store_restores_total", NULL, NULL, 1);
  dp_directory_begin_grace_period (node->directory, dp_node_now ());
  for (guint i = 0; i < KIND_COUNT; i++)
    {
      ObjectFeed *feed = &watch->feeds[i];
      feed->is_listed = feed->is_listed && feed->is_relayed;
      feed->is_restored = TRUE;
      feed->seen_revision = 0;
    }
  dp_registration_on_restored (node->registration);
  dp_stream_versions_on_restored (node);
  dp_node_copies_on_restored (node);
  dp_node_quarantine_on_restored (node);
}

/* Data of the restored store came from a VM that has listed it. */
static void
set_version (ObjectFeed *feed, DpStoreVersion version)
{
  feed->version = version;
  feed->is_restored = feed->is_restored && version.era != feed->watch->era;
}

/* --- config --- */

static void
apply_config (DpStoreWatch *watch, const DpStoreObject *object)
{
  if (!object->is_deleted && strcmp (object->name, DP_CONFIG_NAME) == 0)
    dp_node_config_put_text (watch->node, &object->spec, object->revision, "store");
}

/* --- targets --- */

/* TRUE if the record is of a target that was gone already before the store was restored. If it
 * is not gone after all, the next listing has it again. */
static gboolean
is_restored_in_error (const DpStoreWatch *watch, const DpTargetRecord *record)
{
  return watch->feeds[KIND_TARGETS].is_restored
         && dp_directory_is_gone (watch->node->directory, dp_name (record->id),
                                  record->started);
}

static void
apply_target (DpStoreWatch *watch, const DpStoreObject *object, guint64 revision)
{
  DpNode *node = watch->node;
  DpUsec now = dp_node_now ();
  DpName name = dp_name (object->name);
  if (object->is_deleted)
    {
      dp_directory_remove (node->directory, name, now);
      gboolean is_kept = dp_directory_find (node->directory, name) != NULL;
      log_change ("target_removed", object->name,
                  is_kept ? "kept for the grace period" : "gone", revision);
      return;
    }
  DpTargetRecord record;
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  if (!dp_records_read_target (object, &record, diagnostics))
    /* A target with an invalid record must not be used. */
    dp_directory_remove (node->directory, name, now);
  else if (!is_restored_in_error (watch, &record)
           && dp_directory_put (node->directory, &record))
    log_change ("target_known", object->name, record.is_draining ? "draining" : "ready",
                revision);
  dp_store_watch_log_diagnostics (watch, "target", object->revision, diagnostics);
  dp_diagnostics_unref (diagnostics);
}

/* Removes targets that are not in a complete listing. */
static void
drop_unlisted_targets (DpStoreWatch *watch, GHashTable *listed)
{
  DpNode *node = watch->node;
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
dp_store_watch_apply_targets (DpStoreWatch *watch, const DpTargetRows *targets)
{
  DpNode *node = watch->node;
  ObjectFeed *feed = &watch->feeds[KIND_TARGETS];
  if (dp_store_version_compare (targets->version, feed->version) < 0)
    return;
  apply_era (watch, targets->version.era, "another VM");
  guint64 version_before = dp_directory_version (node->directory);
  dp_directory_replace (node->directory, (const DpTargetRecord *)targets->rows->data,
                        targets->rows->len, dp_node_now ());
  set_version (feed, targets->version);
  if (dp_directory_version (node->directory) == version_before)
    return;
  char count[16];
  g_snprintf (count, sizeof count, "%u", targets->rows->len);
  log_change ("targets_from_vm", count, "ok", targets->version.revision);
  dp_placement_set_targets (node);
}

/* --- VMs --- */

static void
publish_view (DpStoreWatch *watch)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (DpVm));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, watch->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_vals (rows, value, 1);
  DpView *view = dp_view_new (++watch->view_version, (const DpVm *)rows->data, rows->len);
  dp_peers_set_view (watch->node, view);
  dp_view_unref (view);
  g_array_unref (rows);
}

static void
apply_vm (DpStoreWatch *watch, const DpStoreObject *object, guint64 revision)
{
  DpName name = dp_name (object->name);
  gboolean is_own = name == watch->node->self;
  if (object->is_deleted && is_own)
    {
      dp_registration_on_missing (watch->node->registration);
      return;
    }
  if (object->is_deleted)
    {
      if (g_hash_table_remove (watch->vms, &name))
        log_change ("vm_removed", object->name, "ok", revision);
      return;
    }
  DpVm vm;
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  gboolean is_valid = dp_records_read_vm (object, &vm, diagnostics);
  if (is_own)
    dp_registration_on_read (watch->node->registration, is_valid ? &vm : NULL);
  else if (is_valid)
    {
      if (!g_hash_table_contains (watch->vms, &name))
        log_change ("vm_known", object->name, vm.address, revision);
      g_hash_table_insert (watch->vms, g_memdup2 (&name, sizeof name),
                           g_memdup2 (&vm, sizeof vm));
    }
  dp_store_watch_log_diagnostics (watch, "vm", object->revision, diagnostics);
  dp_diagnostics_unref (diagnostics);
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer user)
{
  const GHashTable *listed = ((gpointer *)user)[0];
  const DpStoreWatch *watch = ((gpointer *)user)[1];
  const DpName *name = key;
  return *name != watch->node->self && !g_hash_table_contains ((GHashTable *)listed, name);
}

static void
drop_unlisted_vms (DpStoreWatch *watch, GHashTable *listed)
{
  gpointer user[2] = { listed, watch };
  g_hash_table_foreach_remove (watch->vms, is_unlisted, user);
}

/* Removes VMs that are not in a complete list. Returns TRUE if there were any. */
static gboolean
drop_absent_vms (DpStoreWatch *watch, const GArray *vms)
{
  GHashTable *listed = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < vms->len; i++)
    g_hash_table_add (listed, &g_array_index (vms, DpVm, i).name);
  guint count_before = g_hash_table_size (watch->vms);
  drop_unlisted_vms (watch, listed);
  g_hash_table_unref (listed);
  return g_hash_table_size (watch->vms) != count_before;
}

/* A VM of level 0 passes an entry on without its level, which is no change. */
static gboolean
has_vm_changed (const DpVm *known, const DpVm *vm)
{
  return known->weight != vm->weight || strcmp (known->address, vm->address) != 0
         || (vm->rules != 0 && known->rules != vm->rules);
}

void
dp_store_watch_apply_vms (DpStoreWatch *watch, const GArray *vms, const DpStoreVersion *version)
{
  ObjectFeed *feed = &watch->feeds[KIND_VMS];
  if (version != NULL)
    apply_era (watch, version->era, "another VM");
  gboolean is_newer = version != NULL && dp_store_version_compare (*version, feed->version) > 0;
  gboolean changed = FALSE;
  for (guint i = 0; i < vms->len; i++)
    {
      const DpVm *vm = &g_array_index (vms, DpVm, i);
      const DpVm *known = g_hash_table_lookup (watch->vms, &vm->name);
      if (known != NULL
          && (!is_newer || vm->name == watch->node->self || !has_vm_changed (known, vm)))
        continue;
      g_hash_table_insert (watch->vms, g_memdup2 (&vm->name, sizeof vm->name),
                           g_memdup2 (vm, sizeof *vm));
      changed = TRUE;
    }
  if (is_newer)
    {
      set_version (feed, *version);
      changed |= drop_absent_vms (watch, vms);
    }
  if (changed)
    publish_view (watch);
}

/* --- relays --- */

DpRelay
dp_store_watch_state (const DpStoreWatch *watch)
{
  const DpNode *node = watch->node;
  DpUsec confirmed_at = MIN (MIN (node->manifest_confirmed_at, node->view_confirmed_at),
                             dp_directory_last_contact_at (node->directory));
  DpRelay state = { .manifest_revision = node->manifest != NULL ? node->manifest->revision : 0,
                    .targets = watch->feeds[KIND_TARGETS].version,
                    .vms = watch->feeds[KIND_VMS].version,
                    .age = dp_node_now () - confirmed_at,
                    .era = watch->era };
  /* While a newer version is being read, the one in force is not that of the feed's version. */
  if (!dp_node_config_is_reading (node))
    state.config = watch->feeds[KIND_CONFIG].version;
  return state;
}

gboolean
dp_store_watch_has_listed_targets (const DpStoreWatch *watch)
{
  return watch->feeds[KIND_TARGETS].is_listed;
}

gboolean
dp_store_watch_is_failing (const DpStoreWatch *watch)
{
  for (guint i = 0; i < KIND_COUNT; i++)
    if (i != KIND_ROLLOUTS && watch->feeds[i].failures > 0)
      return TRUE;
  return FALSE;
}

DpStoreVersion
dp_store_watch_targets_seen (const DpStoreWatch *watch)
{
  const ObjectFeed *feed = &watch->feeds[KIND_TARGETS];
  gboolean is_current = feed->version.era == watch->era || feed->version.era == 0;
  guint64 listed = is_current ? feed->version.revision : 0;
  return (DpStoreVersion){ .era = watch->era, .revision = MAX (listed, feed->seen_revision) };
}

gboolean
dp_store_watch_has_rollouts (const DpStoreWatch *watch)
{
  const ObjectFeed *feed = &watch->feeds[KIND_ROLLOUTS];
  return feed->is_listed && !feed->is_relayed && feed->failures == 0;
}

/* This VM has the relay's config. If it watches the store later, it gets changes since the
 * relay's version instead of the whole config once more. */
static void
confirm_config (DpStoreWatch *watch, const DpRelay *relay)
{
  ObjectFeed *feed = &watch->feeds[KIND_CONFIG];
  if (feed->is_listed && feed->is_relayed && relay->config.revision != 0
      && dp_store_version_compare (relay->config, feed->version) > 0)
    set_version (feed, relay->config);
}

void
dp_store_watch_confirm (DpStoreWatch *watch, DpRowKind kind, DpStoreVersion version)
{
  ObjectFeed *feed = &watch->feeds[kind == DP_ROWS_TARGETS ? KIND_TARGETS : KIND_VMS];
  if (kind == DP_ROWS_CONFIG || dp_store_version_compare (version, feed->version) <= 0)
    return;
  apply_era (watch, version.era, "another VM");
  set_version (feed, version);
}

void
dp_store_watch_apply_relay (DpStoreWatch *watch, const DpRelay *relay)
{
  DpNode *node = watch->node;
  DpUsec now = dp_node_now ();
  DpUsec confirmed_at = now - relay->age;
  apply_era (watch, relay->era, "relay");
  DpRelay own = dp_store_watch_state (watch);
  if (own.manifest_revision >= relay->manifest_revision)
    {
      node->manifest_confirmed_at = MAX (node->manifest_confirmed_at, confirmed_at);
      confirm_config (watch, relay);
    }
  if (dp_store_version_compare (own.vms, relay->vms) >= 0)
    node->view_confirmed_at = MAX (node->view_confirmed_at, confirmed_at);
  if (dp_store_version_compare (own.targets, relay->targets) >= 0
      && confirmed_at > dp_directory_last_contact_at (node->directory))
    dp_directory_record_contact (
      node->directory, EXPIRY_HEARTBEATS * node->params.target_heartbeat, confirmed_at);
}

/* --- orders of roll-outs --- */

/* `revision`: of the store, that the pages correspond to. Replies of an older era, or that are
 * older than what is known, say nothing new. */
static void
publish_rollouts (DpStoreWatch *watch,
                  const DpStorePage *const *pages,
                  guint count,
                  gboolean is_complete,
                  guint64 revision)
{
  const DpStoreVersion version = { .era = watch->era, .revision = revision };
  dp_rollouts_apply_changes (watch->node, pages, count, is_complete, version);
}

/* --- pages --- */

static void
apply_object (ObjectFeed *feed, const DpStoreObject *object, guint64 revision)
{
  switch (feed->kind)
    {
    case KIND_CONFIG:
      apply_config (feed->watch, object);
      break;
    case KIND_TARGETS:
      apply_target (feed->watch, object, revision);
      break;
    case KIND_VMS:
      apply_vm (feed->watch, object, revision);
      break;
    case KIND_ROLLOUTS: /* by pages, see publish_rollouts() */
    case KIND_COUNT:
      break;
    }
}

static void
apply_page (ObjectFeed *feed, const DpStorePage *page)
{
  feed->seen_revision = MAX (feed->seen_revision, page->revision);
  for (guint i = 0; i < page->objects->len; i++)
    apply_object (feed, &g_array_index (page->objects, DpStoreObject, i), page->revision);
}

static void
drop_unlisted (ObjectFeed *feed)
{
  GHashTable *listed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint p = 0; p < feed->pages->len; p++)
    {
      const DpStorePage *page = g_ptr_array_index (feed->pages, p);
      for (guint i = 0; i < page->objects->len; i++)
        {
          DpName name = dp_name (g_array_index (page->objects, DpStoreObject, i).name);
          g_hash_table_add (listed, g_memdup2 (&name, sizeof name));
        }
    }
  if (feed->kind == KIND_TARGETS)
    drop_unlisted_targets (feed->watch, listed);
  else if (feed->kind == KIND_VMS && !feed->is_restored)
    {
      drop_unlisted_vms (feed->watch, listed);
      if (!g_hash_table_contains (listed, &feed->watch->node->self))
        dp_registration_on_missing (feed->watch->node->registration);
    }
  g_hash_table_unref (listed);
}

/* What this VM has is all that the store had at that time. */
static void
record_confirmation (ObjectFeed *feed, DpUsec at)
{
  DpNode *node = feed->watch->node;
  switch (feed->kind)
    {
    case KIND_CONFIG:
      /* Otherwise when the version that is being read is in force. */
      if (!dp_node_config_is_reading (node))
        node->manifest_confirmed_at = MAX (node->manifest_confirmed_at, at);
      break;
    case KIND_TARGETS:
      if (at > dp_directory_last_contact_at (node->directory))
        dp_directory_record_contact (node->directory,
                                     EXPIRY_HEARTBEATS * node->params.target_heartbeat, at);
      break;
    case KIND_VMS:
      node->view_confirmed_at = MAX (node->view_confirmed_at, at);
      break;
    case KIND_ROLLOUTS:
    case KIND_COUNT:
      break;
    }
}

static void
publish (ObjectFeed *feed)
{
  DpNode *node = feed->watch->node;
  if (feed->kind == KIND_VMS)
    publish_view (feed->watch);
  else if (feed->kind == KIND_TARGETS)
    dp_placement_set_targets (node);
}

static void
clear_listing (ObjectFeed *feed)
{
  g_ptr_array_set_size (feed->pages, 0);
  g_clear_pointer (&feed->after, g_free);
}

/* Schedules a further listing after one of a store that was just restored. */
static void
schedule_relisting (ObjectFeed *feed)
{
  DpUsec now = dp_node_now ();
  feed->relist_at = 0;
  if (!feed->is_restored)
    return;
  DpUsec heartbeat = feed->watch->node->params.target_heartbeat;
  feed->relist_at
    = now
      + (feed->kind == KIND_TARGETS ? EXPIRY_HEARTBEATS * heartbeat + TARGETS_SETTLE_TIME
                                    : VMS_SETTLE_TIME);
  feed->is_restored = FALSE;
}

static void
finish_listing (ObjectFeed *feed, guint64 revision)
{
  for (guint i = 0; i < feed->pages->len; i++)
    apply_page (feed, g_ptr_array_index (feed->pages, i));
  drop_unlisted (feed);
  publish (feed);
  if (feed->kind == KIND_ROLLOUTS)
    publish_rollouts (feed->watch, (const DpStorePage *const *)feed->pages->pdata,
                      feed->pages->len, TRUE, revision);
  feed->is_listed = TRUE;
  feed->version = (DpStoreVersion){ .era = feed->listing_era, .revision = revision };
  feed->old_listings = 0;
  schedule_relisting (feed);
  clear_listing (feed);
}

/* --- calls --- */

static void
record_failure (ObjectFeed *feed, const char *outcome)
{
  if (feed->failures++ == 0)
    dp_log (DP_LOG_WARNING, "store_lost", "kind", kind_paths[feed->kind], "outcome", outcome,
            NULL);
  schedule (feed->timer, RETRY_DELAY);
}

static void
record_success (ObjectFeed *feed)
{
  if (feed->failures > 0)
    {
      char text[16];
      g_snprintf (text, sizeof text, "%u", feed->failures);
      dp_log (DP_LOG_NOTICE, "store_regained", "kind", kind_paths[feed->kind], "failures", text,
              NULL);
    }
  feed->failures = 0;
}

static DpStorePage *
read_page (ObjectFeed *feed, const DpPlatformReply *reply, gboolean is_watch)
{
  gsize length;
  const char *text = g_bytes_get_data (reply->value, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpStorePage *page = dp_records_read_page (text, length, is_watch, diagnostics);
  dp_store_watch_log_diagnostics (feed->watch, kind_paths[feed->kind], 0, diagnostics);
  dp_diagnostics_unref (diagnostics);
  return page;
}

static void
count_old_reply (const ObjectFeed *feed)
{
  dp_counters_add (feed->watch->node->counters, "dogwoodplank_store_old_replies_total", "kind",
                   kind_paths[feed->kind], 1);
}

/* TRUE if the page is older than what was known when it was asked for: a response to an earlier
 * call that the store has sent once more. */
static gboolean
is_old_listing (ObjectFeed *feed, const DpStorePage *page)
{
  guint64 known = feed->version.era == feed->listing_era ? feed->version.revision : 0;
  if (feed->pages->len > 0)
    {
      const DpStorePage *before = g_ptr_array_index (feed->pages, feed->pages->len - 1);
      known = MAX (known, before->revision);
    }
  if (page->revision >= known
      || (feed->listing_era == 0 && feed->old_listings >= OLD_LISTINGS_MAX))
    return FALSE;
  feed->old_listings++;
  count_old_reply (feed);
  return TRUE;
}

/* Takes what was listed; starts the next call. */
static void
handle_listing (ObjectFeed *feed, const DpPlatformReply *reply)
{
  apply_era (feed->watch, reply->era, "store");
  gboolean is_first = feed->pages->len == 0;
  if ((reply->era != 0 && reply->era < feed->watch->era)
      || (!is_first && reply->era != feed->listing_era))
    {
      clear_listing (feed);
      schedule (feed->timer, RETRY_DELAY);
      return;
    }
  feed->listing_era = reply->era;
  DpStorePage *page = reply->result == DP_PLATFORM_OK ? read_page (feed, reply, FALSE) : NULL;
  const char *last = page != NULL ? dp_store_page_last_name (page) : NULL;
  /* Without a further name, nothing tells where the next page begins. */
  if (page != NULL && !page->is_last && (last == NULL || g_strcmp0 (last, feed->after) == 0))
    g_clear_pointer (&page, dp_store_page_free);
  gboolean is_old = page != NULL && is_old_listing (feed, page);
  if (is_old)
    g_clear_pointer (&page, dp_store_page_free);
  if (page == NULL)
    {
      clear_listing (feed);
      record_failure (feed, is_old ? "old_reply" : dp_platform_result_name (reply->result));
      return;
    }
  if (is_first)
    feed->first_page_at = dp_node_now ();
  g_ptr_array_add (feed->pages, page);
  if (page->is_last)
    {
      record_success (feed);
      record_confirmation (feed, feed->first_page_at);
      /* The watch starts at the first page's revision to get changes made between pages. */
      const DpStorePage *first = g_ptr_array_index (feed->pages, 0);
      finish_listing (feed, first->revision);
    }
  else
    {
      g_free (feed->after);
      feed->after = g_strdup (last);
    }
  start_next_call (feed);
}

/* Takes the changes; starts the next call. */
static void
handle_watch (ObjectFeed *feed, const DpPlatformReply *reply)
{
  apply_era (feed->watch, reply->era, "store");
  /* Revisions of another era say nothing about the changes since the last response. */
  feed->is_listed
    = feed->is_listed && (feed->version.era == 0 || feed->version.era == feed->watch->era);
  if (!feed->is_listed)
    {
      start_next_call (feed);
      return;
    }
  if (reply->result == DP_PLATFORM_HISTORY_GONE || reply->result == DP_PLATFORM_BROKEN)
    {
      dp_log (DP_LOG_NOTICE, "store_history_gone", "kind", kind_paths[feed->kind], NULL);
      feed->is_listed = FALSE;
      start_next_call (feed);
      return;
    }
  DpStorePage *page = reply->result == DP_PLATFORM_OK ? read_page (feed, reply, TRUE) : NULL;
  if (page == NULL)
    {
      /* An unreadable answer may have lost changes: list again. */
      feed->is_listed = feed->is_listed && reply->result != DP_PLATFORM_OK;
      record_failure (feed, dp_platform_result_name (reply->result));
      return;
    }
  if (page->revision < feed->version.revision)
    {
      dp_store_page_free (page);
      count_old_reply (feed);
      feed->is_listed = FALSE;
      record_failure (feed, "old_reply");
      return;
    }
  record_success (feed);
  record_confirmation (feed, dp_node_now ());
  apply_page (feed, page);
  if (page->objects->len > 0)
    publish (feed);
  if (feed->kind == KIND_ROLLOUTS)
    publish_rollouts (feed->watch, (const DpStorePage *const *)&page, 1, FALSE, page->revision);
  if (page->unnamed > 0 && feed->relist_at == 0)
    feed->relist_at = dp_node_now () + UNNAMED_DELAY;
  feed->version.revision = MAX (feed->version.revision, page->revision);
  gboolean had_changes = page->objects->len > 0;
  dp_store_page_free (page);
  if (had_changes)
    schedule (feed->timer, feed->kind == KIND_VMS ? VMS_BATCH_DELAY : BATCH_DELAY);
  else
    start_next_call (feed);
}

/* Handles a reply of the store. */
static void
handle_reply (ObjectFeed *feed,
              const DpPlatformReply *reply,
              void (*handle) (ObjectFeed *feed, const DpPlatformReply *reply))
{
  const char *kind = kind_paths[feed->kind];
  gsize bytes = reply->value != NULL ? g_bytes_get_size (reply->value) : 0;
  DpUsec begun_at = dp_node_now ();
  handle (feed, reply);
  dp_work_meter_add (dp_process_meter (feed->watch->node->process), kind, bytes, begun_at,
                     dp_node_now ());
}

static void
on_listed (const DpPlatformReply *reply, gpointer data)
{
  handle_reply (data, reply, handle_listing);
}

static void
on_watched (const DpPlatformReply *reply, gpointer data)
{
  handle_reply (data, reply, handle_watch);
}

/* Kinds that other VMs send as rows. */
static const DpRowKind row_kinds[] = {
  [KIND_CONFIG] = DP_ROWS_CONFIG, [KIND_TARGETS] = DP_ROWS_TARGETS, [KIND_VMS] = DP_ROWS_VMS
};

static FeedSource
choose_row_source (const DpNode *node, DpRowKind kind)
{
  switch (dp_peer_sync_standing (node, kind))
    {
    case DP_ROW_STANDING_UNCONFIRMED:
      return SOURCE_STORE_UNCONFIRMED;
    case DP_ROW_STANDING_STUCK:
      return SOURCE_STORE_STUCK;
    case DP_ROW_STANDING_CONFIRMED:
    case DP_ROW_STANDING_FETCHING:
      break;
    }
  return SOURCE_RELAYS;
}

static FeedSource
choose_source (const ObjectFeed *feed)
{
  const DpNode *node = feed->watch->node;
  if (!feed->is_listed)
    return SOURCE_STORE_FIRST;
  if (dp_peer_sync_is_relay (node))
    return SOURCE_STORE_AS_RELAY;
  if (feed->kind < G_N_ELEMENTS (row_kinds))
    return choose_row_source (node, row_kinds[feed->kind]);
  gboolean is_silent = dp_node_now () - node->rollouts_received_at > ROLLOUTS_TIMEOUT;
  return is_silent ? SOURCE_STORE_UNCONFIRMED : SOURCE_RELAYS;
}

static void
log_source (const ObjectFeed *feed)
{
  const DpNode *node = feed->watch->node;
  DpUsec confirmed_at = feed->kind < G_N_ELEMENTS (row_kinds)
                          ? dp_peer_sync_confirmed_at (node, row_kinds[feed->kind])
                          : node->rollouts_received_at;
  char revision[24], age[24];
  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT, feed->version.revision);
  g_snprintf (age, sizeof age, "%" G_GINT64_FORMAT,
              (dp_node_now () - confirmed_at) / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, "feed_source", "kind", kind_paths[feed->kind], "source",
          source_names[feed->source], "as_of", revision, "confirmed_ms",
          confirmed_at != 0 ? age : "never", NULL);
}

static void
start_next_call (ObjectFeed *feed)
{
  const DpStoreWatch *watch = feed->watch;
  FeedSource source = choose_source (feed);
  feed->is_relayed = source == SOURCE_RELAYS;
  if (source != feed->source)
    {
      feed->source = source;
      log_source (feed);
    }
  if (feed->is_relayed)
    return;
  DpUsec timeout = MIN (CALL_TIMEOUT * (feed->failures + 1), CALL_TIMEOUT_MAX);
  DpPlatformCall call = { .path = kind_paths[feed->kind], .timeout = timeout };
  if (feed->is_listed)
    {
      call.type = DP_PLATFORM_WATCH_KIND;
      call.version = feed->version.revision;
      call.watch_time = WATCH_TIMEOUT;
      /* After a failure, a short watch detects soon that the store is reachable again. */
      if (feed->failures > 0)
        call.watch_time = DP_USEC_PER_MSEC;
      dp_platform_client_call (watch->node->store, &call, on_watched, feed);
      return;
    }
  call.type = DP_PLATFORM_LIST_KIND;
  call.after = feed->after;
  dp_platform_client_call (watch->node->store, &call, on_listed, feed);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  start_next_call (user);
}

/* The pending watch goes on; what it returns later is not older than the changes here. */
static void
on_rollouts_checked (const DpPlatformReply *reply, gpointer data)
{
  DpStoreWatch *watch = data;
  ObjectFeed *feed = &watch->feeds[KIND_ROLLOUTS];
  watch->is_checking_rollouts = FALSE;
  apply_era (watch, reply->era, "store");
  if (reply->result != DP_PLATFORM_OK || !feed->is_listed
      || (feed->version.era != 0 && feed->version.era != watch->era))
    return;
  DpStorePage *page = read_page (feed, reply, TRUE);
  if (page != NULL)
    publish_rollouts (watch, (const DpStorePage *const *)&page, 1, FALSE, page->revision);
  dp_store_page_free (page);
}

void
dp_store_watch_check_rollouts (DpStoreWatch *watch)
{
  const ObjectFeed *feed = &watch->feeds[KIND_ROLLOUTS];
  DpUsec now = dp_node_now ();
  if (!feed->is_listed || feed->is_relayed || watch->is_checking_rollouts
      || now - watch->rollouts_checked_at < RETRY_DELAY)
    return;
  watch->is_checking_rollouts = TRUE;
  watch->rollouts_checked_at = now;
  const DpPlatformCall call = { .type = DP_PLATFORM_WATCH_KIND,
                                .path = kind_paths[KIND_ROLLOUTS],
                                .version = feed->version.revision,
                                .watch_time = DP_USEC_PER_MSEC,
                                .timeout = CALL_TIMEOUT };
  dp_platform_client_call (watch->node->store, &call, on_rollouts_checked, watch);
}

/* Number of kinds that this VM reads. */
static guint
kinds_in_use (const DpStoreWatch *watch)
{
  return watch->node->params.has_rollouts ? KIND_COUNT : KIND_ROLLOUTS;
}

/* --- lifecycle --- */

static DpPlatformClient *
make_client (DpNode *node)
{
  const DpPlatformOptions options = { .base = node->base,
                                      .address = node->params.store_address,
                                      .port = node->params.store_port,
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

DpStoreWatch *
dp_store_watch_new (DpNode *node)
{
  DpStoreWatch *watch = g_new0 (DpStoreWatch, 1);
  watch->node = node;
  node->store = make_client (node);
  watch->vms = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  watch->logged = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < KIND_COUNT; i++)
    {
      ObjectFeed *feed = &watch->feeds[i];
      feed->watch = watch;
      feed->kind = (Kind)i;
      feed->timer = evtimer_new (node->base, on_timer, feed);
      feed->pages = g_ptr_array_new_with_free_func (page_free);
    }
  DpVm self = dp_registration_own_vm (node);
  g_hash_table_insert (watch->vms, g_memdup2 (&self.name, sizeof self.name),
                       g_memdup2 (&self, sizeof self));
  publish_view (watch);
  return watch;
}

void
dp_store_watch_start (DpStoreWatch *watch)
{
  for (guint i = 0; i < kinds_in_use (watch); i++)
    start_next_call (&watch->feeds[i]);
  dp_registration_start (watch->node->registration);
}

void
dp_store_watch_tick (DpStoreWatch *watch, DpUsec now)
{
  DpNode *node = watch->node;
  for (guint i = 0; i < kinds_in_use (watch); i++)
    {
      ObjectFeed *feed = &watch->feeds[i];
      if (feed->relist_at != 0 && now >= feed->relist_at)
        {
          feed->relist_at = 0;
          feed->is_listed = FALSE;
        }
      if (feed->is_relayed && choose_source (feed) != SOURCE_RELAYS)
        start_next_call (feed);
    }
  /* While the store is unreachable, targets missing from it may still be live. */
  if (watch->feeds[KIND_TARGETS].failures > 0)
    return;
  dp_directory_expire (node->directory, now);
  if (dp_directory_version (node->directory) != node->directory_applied)
    dp_placement_set_targets (node);
}

void
dp_store_watch_free (DpStoreWatch *watch)
{
  if (watch == NULL)
    return;
  g_clear_pointer (&watch->node->store, dp_platform_client_unref);
  for (guint i = 0; i < KIND_COUNT; i++)
    {
      event_free (watch->feeds[i].timer);
      g_ptr_array_unref (watch->feeds[i].pages);
      g_free (watch->feeds[i].after);
    }
  g_hash_table_unref (watch->vms);
  g_hash_table_unref (watch->logged);
  g_free (watch);
}
