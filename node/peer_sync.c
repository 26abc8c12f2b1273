/* Config, targets and VMs of the store, exchanged between VMs.
 *
 * Relays watch the store and state their versions to their clients, which ask for what they
 * lack; so does a VM that can't reach the store. What is asked of whom, and what is sent, is
 * decided in core/row_sync/. VMs of builds that don't know it are asked, and answered, with
 * whole lists.
 */
#include "node/node.h"

#include "common/log.h"
#include "net/codec.h"

#include <string.h>

/* A starting process waits this long for the store before it queries other VMs. */
#define START_DELAY (300 * DP_USEC_PER_MSEC)
#define REQUEST_INTERVAL (300 * DP_USEC_PER_MSEC)
/* State that the store has not confirmed for this time may be outdated: a working watch
 * confirms it every 2 s. */
#define STATE_AGE_MAX (3 * DP_USEC_PER_SEC)
/* Targets of another VM count as outdated if the store confirmed them longer ago. */
#define RECEIVED_AGE_MAX (2500 * DP_USEC_PER_MSEC)
#define SEEDS_MAX 16
/* State for other VMs takes this share of the link at most. */
#define LINK_SHARE 0.5
/* Bytes of state in DP_ROW_SYNC_INTERVAL if the rate of the link is not known. */
#define LINK_BYTES_DEFAULT ((gint64)1024 * 1024)

/* Relays of which the log line is remembered; they change with the list of VMs only. */
#define RELAYS_LOGGED_MAX 64

/* What the last log line about a relay said. */
typedef enum RelayLogged
{
  RELAY_LOGGED_NONE,
  RELAY_LOGGED_UNLISTED,
  RELAY_LOGGED_LISTED,
} RelayLogged;

/* One kind of state. */
typedef struct Feed
{
  DpNode *node;
  DpRowKind kind;
  DpRowSync *rows;
  DpRowSyncStatus reported; /* in metrics */
} Feed;

struct DpPeerSync
{
  DpNode *node;
  DpRowBudget budget;
  Feed feeds[DP_ROWS_COUNT];
  guint64 listed_directory; /* version of the directory that the list of targets was made of */
  DpUsec requested_at;      /* last query to another VM */
  DpRelayTerm term;
  DpRelay last_relay;           /* last one sent to the VMs that this one relays to */
  DpStoreVersion last_rollouts; /* the same of the list of orders */
  gboolean is_relaying;
  GHashTable *relays_logged; /* DpName -> RelayLogged */
};

GArray *
dp_peer_sync_seeds (const DpNode *node)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (DpVm));
  char **seeds
    = g_strsplit (node->settings->seeds != NULL ? node->settings->seeds : "", ",", SEEDS_MAX);
  for (gsize i = 0; seeds[i] != NULL; i++)
    {
      const char *colon = strrchr (seeds[i], ':');
      DpVm vm = { .state = DP_VM_LIVE };
      if (colon == NULL || (gsize)(colon - seeds[i]) >= sizeof vm.address)
        continue;
      memcpy (vm.address, seeds[i], (gsize)(colon - seeds[i]));
      if (strcmp (vm.address, node->settings->process.address) == 0)
        continue;
      g_snprintf (vm.text, sizeof vm.text, "seed-%s", vm.address);
      vm.name = dp_name (vm.text);
      g_array_append_val (rows, vm);
    }
  g_strfreev (seeds);
  return rows;
}

/* --- rows of targets and VMs --- */

/* `row` NULL: it can't be read. */
static gconstpointer
read_row (DpRow *row, DpCodecRow type, gsize size)
{
  static const char unreadable;
  if (row->value == NULL)
    {
      gpointer value = g_malloc0 (size);
      if (dp_codec_decode_row (type, row->text, row->length, value, NULL))
        dp_row_set_value (row, value, g_free);
      else
        {
          g_free (value);
          dp_row_set_value (row, (gpointer)&unreadable, NULL);
        }
    }
  return row->value != &unreadable ? row->value : NULL;
}

/* Returns the structs that the rows describe. */
static GArray *
read_rows (const DpRowList *list, DpCodecRow type, guint size)
{
  GArray *structs = g_array_sized_new (FALSE, FALSE, size, list->rows->len);
  for (guint i = 0; i < list->rows->len; i++)
    {
      gconstpointer value = read_row (DP_ROW_LIST_ROW (list, i), type, size);
      if (value != NULL)
        g_array_append_vals (structs, value, 1);
    }
  return structs;
}

static gint
compare_texts (gconstpointer a, gconstpointer b)
{
  const GByteArray *left = *(GByteArray *const *)a;
  const GByteArray *right = *(GByteArray *const *)b;
  int order = memcmp (left->data, right->data, MIN (left->len, right->len));
  return order != 0 ? order : (gint)left->len - (gint)right->len;
}

static void
unref_text (gpointer text)
{
  g_byte_array_unref (text);
}

/* Returns a list of the rows, sorted, so that VMs with the same rows have the same list. Takes
 * over the texts. */
static DpRowList *
make_list (GPtrArray *texts, const DpRowList *known)
{
  g_ptr_array_sort (texts, compare_texts);
  DpRowPool *pool = dp_row_pool_new (known);
  GPtrArray *rows = dp_row_array_new (texts->len);
  for (guint i = 0; i < texts->len; i++)
    {
      const GByteArray *text = g_ptr_array_index (texts, i);
      g_ptr_array_add (rows, dp_row_pool_get (pool, 0, (const char *)text->data, text->len));
    }
  dp_row_pool_free (pool);
  g_ptr_array_unref (texts);
  return dp_row_list_new (rows);
}

static GArray *
list_targets (const DpNode *node)
{
  GArray *records = g_array_new (FALSE, FALSE, sizeof (DpTargetRecord));
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (node->directory, &at)) != NULL)
    if (row->is_listed)
      g_array_append_val (records, row->record);
  return records;
}

static DpRowList *
make_target_list (const DpNode *node, const DpRowList *known)
{
  GPtrArray *texts = g_ptr_array_new_with_free_func (unref_text);
  GArray *records = list_targets (node);
  for (guint i = 0; i < records->len; i++)
    g_ptr_array_add (texts, dp_codec_encode_row (DP_CODEC_ROW_TARGET,
                                                 &g_array_index (records, DpTargetRecord, i)));
  g_array_unref (records);
  return make_list (texts, known);
}

static DpRowList *
make_vm_list (const DpNode *node, const DpRowList *known)
{
  GPtrArray *texts = g_ptr_array_new_with_free_func (unref_text);
  for (guint i = 0; i < node->view->vms->len; i++)
    g_ptr_array_add (
      texts, dp_codec_encode_row (DP_CODEC_ROW_VM, &g_array_index (node->view->vms, DpVm, i)));
  return make_list (texts, known);
}

/* --- own state --- */

void
dp_peer_sync_set (DpNode *node, DpRowKind kind, DpStoreVersion version, DpRowList *list)
{
  dp_row_sync_set (node->peer_sync->feeds[kind].rows, version, list, dp_node_now ());
}

static void
update_targets (DpPeerSync *sync, DpStoreVersion version)
{
  DpNode *node = sync->node;
  DpRowSync *rows = sync->feeds[DP_ROWS_TARGETS].rows;
  DpRowList *known = dp_row_sync_list (rows);
  guint64 directory_version = dp_directory_version (node->directory);
  if (dp_directory_last_contact_at (node->directory) == 0
      || (known != NULL && dp_store_version_compare (version, dp_row_sync_version (rows)) <= 0))
    return;
  DpRowList *list = known != NULL && sync->listed_directory == directory_version
                      ? dp_row_list_ref (known)
                      : make_target_list (node, known);
  sync->listed_directory = directory_version;
  dp_row_sync_set (rows, version, list, dp_node_now ());
  dp_row_list_unref (list);
}

static void
update_vms (DpPeerSync *sync, DpStoreVersion version)
{
  DpRowSync *rows = sync->feeds[DP_ROWS_VMS].rows;
  DpRowList *known = dp_row_sync_list (rows);
  if (sync->node->view_confirmed_at == 0
      || (known != NULL && dp_store_version_compare (version, dp_row_sync_version (rows)) <= 0))
    return;
  DpRowList *list = make_vm_list (sync->node, known);
  dp_row_sync_set (rows, version, list, dp_node_now ());
  dp_row_list_unref (list);
}

/* Sets the lists of targets and VMs if this VM has read newer ones from the store. Those that
 * came from other VMs are set already. */
static void
update_lists (DpPeerSync *sync)
{
  DpRelay state = dp_store_watch_state (sync->node->store_watch);
  update_targets (sync, state.targets);
  update_vms (sync, state.vms);
}

/* --- state of other VMs --- */

/* Accepts targets of a newer version of the store; other targets only while this VM has none.
 */
static gboolean
apply_targets (DpNode *node, const DpTargetRows *targets)
{
  DpStoreVersion own = dp_store_watch_state (node->store_watch).targets;
  gboolean is_newer
    = dp_store_version_compare (targets->version, own) > 0 && targets->age < RECEIVED_AGE_MAX;
  gboolean is_first = dp_directory_count (node->directory) == 0;
  if (targets->rows == NULL || (!is_newer && !is_first))
    return FALSE;
  dp_store_watch_apply_targets (node->store_watch, targets);
  node->peer_sync->listed_directory = dp_directory_version (node->directory);
  return TRUE;
}

static gboolean
apply_rows (gpointer user, DpStoreVersion version, DpUsec age, DpRowList *list)
{
  const Feed *feed = user;
  gboolean is_accepted = TRUE;
  GArray *rows;
  switch (feed->kind)
    {
    case DP_ROWS_CONFIG:
      return dp_node_config_put_rows (feed->node, list, "another VM");
    case DP_ROWS_TARGETS:
      rows = read_rows (list, DP_CODEC_ROW_TARGET, sizeof (DpTargetRecord));
      is_accepted = apply_targets (
        feed->node, &(DpTargetRows){ .age = age, .version = version, .rows = rows });
      g_array_unref (rows);
      break;
    case DP_ROWS_VMS:
      rows = read_rows (list, DP_CODEC_ROW_VM, sizeof (DpVm));
      dp_store_watch_apply_vms (feed->node->store_watch, rows, &version);
      g_array_unref (rows);
      break;
    case DP_ROWS_COUNT:
      break;
    }
  return is_accepted;
}

static void
confirm_rows (gpointer user, DpStoreVersion version)
{
  const Feed *feed = user;
  dp_store_watch_confirm (feed->node->store_watch, feed->kind, version);
}

static DpUsec
age_of_rows (gpointer user)
{
  const Feed *feed = user;
  const DpNode *node = feed->node;
  if (feed->kind == DP_ROWS_TARGETS)
    return dp_node_now () - dp_directory_last_contact_at (node->directory);
  return dp_store_watch_state (node->store_watch).age;
}

static void
send_rows (gpointer user, DpName to, const DpMessage *message)
{
  dp_peers_send (((const Feed *)user)->node, to, message);
}

static gboolean
knows_rows (const DpNode *node, DpName vm)
{
  return dp_owners_rules (node->owners, vm) >= DP_RULES_LEVEL_ROWS;
}

DpRowStanding
dp_peer_sync_standing (const DpNode *node, DpRowKind kind)
{
  /* The store may have been read since the last statement of a relay. */
  update_lists (node->peer_sync);
  return dp_row_sync_standing (node->peer_sync->feeds[kind].rows, dp_node_now ());
}

DpUsec
dp_peer_sync_confirmed_at (const DpNode *node, DpRowKind kind)
{
  return dp_row_sync_status (node->peer_sync->feeds[kind].rows, dp_node_now ()).confirmed_at;
}

static DpRowService
service_of (const DpNode *node, DpName vm)
{
  if (dp_view_find (node->view, vm) == NULL)
    return DP_ROW_SERVICE_NONE;
  return knows_rows (node, vm) ? DP_ROW_SERVICE_ROWS : DP_ROW_SERVICE_LISTS;
}

/* --- requests --- */

/* Returns the names of VMs that sent a message lately; the seeds if there are none. */
static GArray *
list_candidates (const DpNode *node, DpUsec now)
{
  GArray *names = g_array_new (FALSE, FALSE, sizeof (DpName));
  for (guint i = 0; i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      DpUsec last_seen_at = dp_owners_last_seen_at (node->owners, vm->name);
      if (vm->name != node->self && last_seen_at != 0 && now - last_seen_at < STATE_AGE_MAX)
        g_array_append_val (names, vm->name);
    }
  if (names->len > 0)
    return names;
  GArray *seeds = dp_peer_sync_seeds (node);
  for (guint i = 0; i < seeds->len; i++)
    g_array_append_val (names, g_array_index (seeds, DpVm, i).name);
  g_array_unref (seeds);
  return names;
}

static void
request_manifest (DpNode *node, DpName vm)
{
  DpMessage message = { .type = DP_MESSAGE_MANIFEST_ASK };
  message.manifest_ask.revision = node->manifest != NULL ? node->manifest->revision : 0;
  message.manifest_ask.rules = DP_RULES_LEVEL;
  dp_peers_send (node, vm, &message);
}

static void
request_targets (DpNode *node, DpName vm)
{
  DpMessage message = { .type = DP_MESSAGE_TARGETS_ASK };
  message.targets_ask.version = dp_store_watch_state (node->store_watch).targets.revision;
  message.targets_ask.rules = DP_RULES_LEVEL;
  dp_peers_send (node, vm, &message);
}

/* This VM's own row, for a VM that may not have it in its list yet. */
static GArray *
make_own_row (const DpNode *node)
{
  DpVm self = dp_registration_own_vm (node);
  GArray *vms = g_array_new (FALSE, FALSE, sizeof (DpVm));
  g_array_append_val (vms, self);
  return vms;
}

/* The other VM may not know this one yet, and can't respond without its address. */
static void
introduce (DpNode *node, DpName vm)
{
  DpMessage message = { .type = DP_MESSAGE_VIEW, .view = { .vms = make_own_row (node) } };
  dp_peers_send (node, vm, &message);
  dp_message_clear (&message);
}

static void
request_state (DpNode *node, DpUsec now)
{
  GArray *names = list_candidates (node, now);
  if (names->len > 0)
    {
      DpName vm = g_array_index (names, DpName, ++node->probe_sequence % names->len);
      introduce (node, vm);
      if (knows_rows (node, vm))
        {
          for (guint i = 0; i < DP_ROWS_COUNT; i++)
            dp_row_sync_ask_any (node->peer_sync->feeds[i].rows, vm, now);
        }
      else
        {
          request_manifest (node, vm);
          request_targets (node, vm);
        }
    }
  g_array_unref (names);
}

static void
request_state_if_outdated (DpNode *node, DpUsec now)
{
  DpPeerSync *sync = node->peer_sync;
  DpUsec confirmed_at
    = MIN (node->manifest_confirmed_at, dp_directory_last_contact_at (node->directory));
  gboolean is_starting = confirmed_at == 0 && now - node->started_at > START_DELAY;
  gboolean is_outdated = confirmed_at != 0 && now - confirmed_at > STATE_AGE_MAX;
  if ((!is_starting && !is_outdated) || now - sync->requested_at < REQUEST_INTERVAL)
    return;
  sync->requested_at = now;
  request_state (node, now);
}

void
dp_peer_sync_on_revision (DpNode *node, DpName vm, guint64 revision)
{
  DpPeerSync *sync = node->peer_sync;
  DpUsec now = dp_node_now ();
  if (knows_rows (node, vm))
    {
      const DpRowStatement statement = { .version = { .revision = revision } };
      dp_row_sync_on_statement (sync->feeds[DP_ROWS_CONFIG].rows, vm, &statement, now);
      return;
    }
  guint64 own = node->manifest != NULL ? node->manifest->revision : 0;
  if (revision <= own || now - sync->requested_at < REQUEST_INTERVAL)
    return;
  sync->requested_at = now;
  request_manifest (node, vm);
}

/* --- responses --- */

/* Answers a VM that knows rows, and does not know whether this one does. */
static void
send_first_part (DpNode *node, DpName to, DpRowKind kind, guint64 revision)
{
  const DpRowsAsk ask = { .kind = kind, .version = { .revision = revision } };
  dp_row_sync_on_ask (node->peer_sync->feeds[kind].rows, to, &ask, dp_node_now ());
}

static void
on_manifest_ask (DpNode *node, DpName from, const DpManifestAsk *request)
{
  if (request->rules >= DP_RULES_LEVEL_ROWS)
    {
      send_first_part (node, from, DP_ROWS_CONFIG, request->revision);
      return;
    }
  GBytes *text = dp_node_config_text (node);
  if (text != NULL && node->manifest->revision > request->revision)
    {
      DpMessage message = { .type = DP_MESSAGE_MANIFEST };
      message.manifest.revision = node->manifest->revision;
      message.manifest.text = text;
      dp_peers_send (node, from, &message);
    }
  g_clear_pointer (&text, g_bytes_unref);
}

/* The list as VMs of older builds know it. */
static void
send_view (DpNode *node, DpName to)
{
  DpMessage message = { .type = DP_MESSAGE_VIEW };
  DpStoreVersion version = dp_store_watch_state (node->store_watch).vms;
  message.view.version = version.revision;
  message.view.era = version.era;
  message.view.vms = node->view->vms;
  dp_peers_send (node, to, &message);
}

static void
send_targets (DpNode *node, DpName to)
{
  DpUsec now = dp_node_now ();
  DpMessage message = { .type = DP_MESSAGE_TARGETS };
  message.targets.age = now - dp_directory_last_contact_at (node->directory);
  message.targets.version = dp_store_watch_state (node->store_watch).targets;
  message.targets.rows = list_targets (node);
  dp_peers_send (node, to, &message);
  dp_message_clear (&message);
}

static void
on_targets_ask (DpNode *node, DpName from, const DpTargetsAsk *request)
{
  if (dp_directory_last_contact_at (node->directory) == 0)
    return;
  if (request->rules >= DP_RULES_LEVEL_ROWS)
    {
      update_lists (node->peer_sync);
      send_first_part (node, from, DP_ROWS_TARGETS, request->version);
      send_first_part (node, from, DP_ROWS_VMS, 0);
    }
  else
    {
      send_targets (node, from);
      send_view (node, from);
    }
  dp_rollouts_send_list (node, from);
}

static void
on_rows_ask (DpNode *node, DpName from, const DpRowsAsk *ask)
{
  if (ask->kind != DP_ROWS_CONFIG)
    update_lists (node->peer_sync);
  dp_row_sync_on_ask (node->peer_sync->feeds[ask->kind].rows, from, ask, dp_node_now ());
}

/* --- relays --- */

static gboolean
has_changed (const DpRelay *current, const DpRelay *previous)
{
  return current->manifest_revision != previous->manifest_revision
         || current->targets_digest != previous->targets_digest
         || current->vms_digest != previous->vms_digest
         || dp_store_version_compare (current->targets, previous->targets) != 0
         || dp_store_version_compare (current->vms, previous->vms) != 0;
}

static void
add_digests (const DpPeerSync *sync, DpRelay *state)
{
  const DpRowSync *config = sync->feeds[DP_ROWS_CONFIG].rows;
  if (dp_row_sync_version (config).revision == state->manifest_revision)
    state->manifest_digest = dp_row_sync_digest (config);
  state->targets_digest = dp_row_sync_digest (sync->feeds[DP_ROWS_TARGETS].rows);
  state->vms_digest = dp_row_sync_digest (sync->feeds[DP_ROWS_VMS].rows);
}

static void
log_relaying (const DpNode *node, gboolean is_relaying)
{
  char revision[24];
  g_snprintf (revision, sizeof revision, "%" G_GUINT64_FORMAT,
              dp_store_watch_state (node->store_watch).vms.revision);
  dp_log (DP_LOG_NOTICE, is_relaying ? "relaying_begun" : "relaying_ended", "vms_revision",
          revision, NULL);
}

gboolean
dp_peer_sync_is_relay (const DpNode *node)
{
  return dp_relay_term_is_active (&node->peer_sync->term, dp_owners_is_relay (node->owners),
                                  dp_node_now ());
}

/* On a relay that reaches the store, states the store's versions to the relay's clients. */
static void
relay_state (DpNode *node, DpUsec now)
{
  DpPeerSync *sync = node->peer_sync;
  gboolean is_relaying
    = dp_peer_sync_is_relay (node) && !dp_store_watch_is_failing (node->store_watch);
  if (is_relaying != sync->is_relaying)
    log_relaying (node, is_relaying);
  sync->is_relaying = is_relaying;
  if (!is_relaying)
    return;
  update_lists (sync);
  DpMessage message = { .type = DP_MESSAGE_RELAY };
  message.relay = dp_store_watch_state (node->store_watch);
  add_digests (sync, &message.relay);
  DpStoreVersion rollouts = dp_rollouts_version (node);
  gboolean is_new = has_changed (&message.relay, &sync->last_relay)
                    || dp_store_version_compare (rollouts, sync->last_rollouts) != 0;
  if (!dp_relay_term_is_due (&sync->term, is_new, now) || message.relay.age > STATE_AGE_MAX)
    return;
  sync->last_relay = message.relay;
  sync->last_rollouts = rollouts;
  /* A VM that stops may have left the list. */
  if (!node->is_stopping)
    message.relay.sender = make_own_row (node);
  guint count = 0;
  for (guint i = 0; i < node->view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (node->view->vms, DpVm, i);
      if (!dp_owners_is_relay_client (node->owners, vm))
        continue;
      dp_peers_send (node, vm->name, &message);
      count++;
      if (dp_store_watch_has_rollouts (node->store_watch))
        dp_rollouts_send_list (node, vm->name);
    }
  dp_relay_term_on_stated (&sync->term, dp_owners_is_relay (node->owners), count, now);
  dp_message_clear (&message);
}

/* A relay of an older build states no digests: asks it for what this VM lacks. */
static void
request_from_older_relay (DpNode *node, DpName from, const DpRelay *state, const DpRelay *own)
{
  DpUsec now = dp_node_now ();
  dp_peer_sync_on_revision (node, from, state->manifest_revision);
  gboolean is_behind = dp_store_version_compare (own->targets, state->targets) < 0
                       || dp_store_version_compare (own->vms, state->vms) < 0;
  if (!is_behind || now - node->peer_sync->requested_at < REQUEST_INTERVAL)
    return;
  node->peer_sync->requested_at = now;
  request_targets (node, from);
}

static void
on_statement (DpNode *node, DpName from, DpRowKind kind, DpStoreVersion version, guint64 digest)
{
  const DpRowStatement statement = {
    .version = version, .digest = digest, .is_relay = TRUE, .service = service_of (node, from)
  };
  dp_row_sync_on_statement (node->peer_sync->feeds[kind].rows, from, &statement,
                            dp_node_now ());
}

/* Logs a relay's first statement, and the first one after it came into the list of VMs or left
 * it: one that is not in the list has no address to ask. */
static void
log_relay (DpNode *node, DpName from, const DpRelay *state)
{
  DpPeerSync *sync = node->peer_sync;
  const DpVm *row = dp_view_find (node->view, from);
  gpointer logged = GINT_TO_POINTER (row != NULL ? RELAY_LOGGED_LISTED : RELAY_LOGGED_UNLISTED);
  if (g_hash_table_lookup (sync->relays_logged, &from) == logged)
    return;
  if (g_hash_table_size (sync->relays_logged) >= RELAYS_LOGGED_MAX)
    g_hash_table_remove_all (sync->relays_logged);
  g_hash_table_insert (sync->relays_logged, g_memdup2 (&from, sizeof from), logged);
  char name[24], targets[24];
  g_snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x", from);
  g_snprintf (targets, sizeof targets, "%" G_GUINT64_FORMAT, state->targets.revision);
  dp_log (DP_LOG_NOTICE, "relay_heard", "vm", row != NULL ? row->text : name, "listed",
          row != NULL ? "yes" : "no", "targets_revision", targets, NULL);
}

/* A relay that has just started is in no list yet, and has to be asked for the list too. One
 * whose list is older or the same is not in it because it has left. */
static void
learn_relay (DpNode *node, DpName from, const DpRelay *state)
{
  const DpRowSync *vms = node->peer_sync->feeds[DP_ROWS_VMS].rows;
  const GArray *sender = state->sender;
  if (sender == NULL || sender->len != 1 || g_array_index (sender, DpVm, 0).name != from
      || dp_view_find (node->view, from) != NULL
      || dp_store_version_compare (state->vms, dp_row_sync_version (vms)) < 0
      || state->vms_digest == dp_row_sync_digest (vms))
    return;
  dp_store_watch_apply_vms (node->store_watch, sender, NULL);
}

/* Records what the relay reports of the store, and requests the state that this VM lacks. */
static void
on_relay (DpNode *node, DpName from, const DpRelay *state)
{
  update_lists (node->peer_sync);
  learn_relay (node, from, state);
  log_relay (node, from, state);
  DpRelay own = dp_store_watch_state (node->store_watch);
  const DpStoreVersion config = { .revision = state->manifest_revision };
  /* Before the confirmation of what this VM has. */
  on_statement (node, from, DP_ROWS_TARGETS, state->targets, state->targets_digest);
  on_statement (node, from, DP_ROWS_CONFIG, config, state->manifest_digest);
  on_statement (node, from, DP_ROWS_VMS, state->vms, state->vms_digest);
  dp_store_watch_apply_relay (node->store_watch, state);
  if (service_of (node, from) == DP_ROW_SERVICE_LISTS)
    request_from_older_relay (node, from, state, &own);
}

/* Accepts the whole list if its version of the store is newer. Otherwise accepts the sender's
 * row for itself, and those for other VMs only before the first response from the store. */
static void
on_view (DpNode *node, DpName from, const DpViewRows *view)
{
  const DpStoreVersion version = { .era = view->era, .revision = view->version };
  if (view->vms != NULL
      && dp_store_version_compare (version, dp_store_watch_state (node->store_watch).vms) > 0)
    {
      dp_store_watch_apply_vms (node->store_watch, view->vms, &version);
      return;
    }
  GArray *accepted = g_array_new (FALSE, FALSE, sizeof (DpVm));
  for (guint i = 0; view->vms != NULL && i < view->vms->len; i++)
    {
      const DpVm *vm = &g_array_index (view->vms, DpVm, i);
      if (vm->name == from || node->view_confirmed_at == 0)
        g_array_append_vals (accepted, vm, 1);
    }
  dp_store_watch_apply_vms (node->store_watch, accepted, NULL);
  g_array_unref (accepted);
}

/* The config's text, of a VM of an older build. */
static void
on_manifest (DpNode *node, const DpManifestText *manifest)
{
  guint64 own = node->manifest != NULL ? node->manifest->revision : 0;
  if (manifest->text == NULL || manifest->revision <= own)
    return;
  DpJsonSpan text = { 0 };
  text.text = g_bytes_get_data (manifest->text, &text.length);
  dp_node_config_put_text (node, &text, 0, "another VM");
}

gboolean
dp_peer_sync_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_ROWS_ASK:
      on_rows_ask (node, from, &message->rows_ask);
      return TRUE;
    case DP_MESSAGE_ROWS:
      dp_row_sync_on_part (node->peer_sync->feeds[message->rows.kind].rows, from,
                           &message->rows, dp_node_now ());
      return TRUE;
    case DP_MESSAGE_MANIFEST_ASK:
      on_manifest_ask (node, from, &message->manifest_ask);
      return TRUE;
    case DP_MESSAGE_MANIFEST:
      on_manifest (node, &message->manifest);
      return TRUE;
    case DP_MESSAGE_TARGETS_ASK:
      on_targets_ask (node, from, &message->targets_ask);
      return TRUE;
    case DP_MESSAGE_TARGETS:
      apply_targets (node, &message->targets);
      return TRUE;
    case DP_MESSAGE_RELAY:
      on_relay (node, from, &message->relay);
      return TRUE;
    case DP_MESSAGE_VIEW:
      on_view (node, from, &message->view);
      return TRUE;
    default:
      return FALSE;
    }
}

/* --- lifecycle --- */

static const char *const kind_names[DP_ROWS_COUNT] = {
  [DP_ROWS_CONFIG] = "config",
  [DP_ROWS_TARGETS] = "targets",
  [DP_ROWS_VMS] = "vms",
};

static const DpRowSyncCallbacks row_callbacks = {
  .send = send_rows,
  .apply = apply_rows,
  .confirm = confirm_rows,
  .age = age_of_rows,
};

DpPeerSync *
dp_peer_sync_new (DpNode *node)
{
  DpPeerSync *sync = g_new0 (DpPeerSync, 1);
  sync->node = node;
  sync->relays_logged = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < DP_ROWS_COUNT; i++)
    {
      Feed *feed = &sync->feeds[i];
      feed->node = node;
      feed->kind = (DpRowKind)i;
      const DpRowSyncOptions options = { .kind = feed->kind,
                                         .self = node->self,
                                         .budget = &sync->budget,
                                         .callbacks = &row_callbacks,
                                         .user = feed };
      feed->rows = dp_row_sync_new (&options);
    }
  return sync;
}

void
dp_peer_sync_free (DpPeerSync *sync)
{
  if (sync == NULL)
    return;
  for (guint i = 0; i < DP_ROWS_COUNT; i++)
    dp_row_sync_free (sync->feeds[i].rows);
  g_hash_table_unref (sync->relays_logged);
  g_free (sync);
}

static void
count (const Feed *feed, const char *name, guint64 now, guint64 before)
{
  if (now > before)
    dp_counters_add (feed->node->counters, name, "kind", kind_names[feed->kind], now - before);
}

static void
report (Feed *feed, DpUsec now)
{
  const DpRowSyncStatus status = dp_row_sync_status (feed->rows, now);
  const DpRowSyncStatus *before = &feed->reported;
  count (feed, "dogwoodplank_rows_lists_total", status.lists_received, before->lists_received);
  count (feed, "dogwoodplank_rows_full_lists_total", status.fulls_received,
         before->fulls_received);
  count (feed, "dogwoodplank_rows_parts_refused_total", status.parts_refused,
         before->parts_refused);
  count (feed, "dogwoodplank_rows_timeouts_total", status.timeouts, before->timeouts);
  dp_counters_set (feed->node->counters, "dogwoodplank_rows_behind_ms", "kind",
                   kind_names[feed->kind], (guint64)(status.behind / DP_USEC_PER_MSEC));
  if (status.parts_refused > before->parts_refused)
    dp_log (DP_LOG_WARNING, "rows_refused", "kind", kind_names[feed->kind], "next",
            "the whole state is asked for", NULL);
  feed->reported = status;
}

void
dp_peer_sync_tick_rows (DpNode *node, DpUsec now, gboolean was_paused)
{
  DpPeerSync *sync = node->peer_sync;
  gint64 share = LINK_BYTES_DEFAULT;
  if (node->params.link_rate > 0)
    share
      = (gint64)(node->params.link_rate * LINK_SHARE * DP_ROW_SYNC_INTERVAL / DP_USEC_PER_SEC);
  sync->budget.bytes = MIN (sync->budget.bytes + share, share);
  for (guint i = 0; i < DP_ROWS_COUNT; i++)
    {
      if (was_paused)
        dp_row_sync_on_pause (sync->feeds[i].rows, now);
      dp_row_sync_tick (sync->feeds[i].rows, now);
    }
}

void
dp_peer_sync_tick (DpNode *node, DpUsec now)
{
  request_state_if_outdated (node, now);
  relay_state (node, now);
  for (guint i = 0; i < DP_ROWS_COUNT; i++)
    report (&node->peer_sync->feeds[i], now);
}
