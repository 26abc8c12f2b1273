/* Quarantine of requests, and of parts of prompts, that crash targets.
 *
 * When a target breaks the connection, the VM reports the failure to two VMs that count them:
 * the owner of the request's pool, and another one in case that owner is lost. They tell all
 * VMs of suspects, whose complete responses are reported from then on, and of blocked keys,
 * which all VMs then refuse. Some VMs repeat the latter for those that have started since or
 * were cut off, and keep them in the store in case all VMs restart at once.
 */
#include "node/node.h"

#include "common/log.h"
#include "core/key_set.h"

#include <string.h>

/* Callers retry at once and an engine takes seconds to restart, so a low limit is needed. But a
 * harmless request can fail twice when several engines crash in a row. */
#define FAILURES_MAX 3
#define FAILURES_MAX_SERVED 5
#define SERVED_DURATION (60 * DP_USEC_PER_SEC)
/* Callers get the remaining time as Retry-After. */
#define BLOCK_DURATION (60 * DP_USEC_PER_SEC)
#define TRIALS_MAX 2
#define MEMORY_DURATION (600 * DP_USEC_PER_SEC)
/* About 200 bytes each, 1.6 MB in total. */
#define ROWS_MAX 8192
#define COUNTER_VMS 2
#define ANNOUNCE_INTERVAL DP_USEC_PER_SEC
/* Key whose owner counts failures besides the pool's. All VMs must hash the same text. */
#define SECOND_COUNTER_KEY "failures of requests"
/* Large joint blocks are repeated less often: one more interval for so many keys. */
#define KEYS_PER_INTERVAL 64
#define KEYS_LOGGED_MAX 16
#define KEY_TEXT_BYTES 24
#define CALL_TIMEOUT (500 * DP_USEC_PER_MSEC)

/* --- keys --- */

static guint64
hash_text (const char *text, guint64 seed)
{
  return text != NULL ? dp_hash_bytes (text, strlen (text) + 1, seed) : seed;
}

/* Returns a hash of caller, method, path and body. */
static guint64
request_fingerprint (const DpNodeRequest *request)
{
  gsize length;
  const char *body = dp_http_exchange_body (request->exchange, &length);
  guint64 hash = dp_hash_bytes (body, length, 0);
  hash = hash_text (request->caller.access_key, hash);
  hash = hash_text (dp_http_exchange_method (request->exchange), hash);
  return hash_text (dp_http_exchange_target (request->exchange), hash);
}

static void
append_part (gpointer user, guint64 part)
{
  dp_key_set_append (user, part | DP_SUSPECT_PART_BIT);
}

void
dp_node_quarantine_set_keys (DpNodeRequest *request)
{
  GArray *keys = dp_key_set_new (1);
  dp_key_set_append (keys, request_fingerprint (request) & ~DP_SUSPECT_PART_BIT);
  dp_wire_each_shared_part (request->caller.prompt_parts, append_part, keys);
  dp_key_set_complete (keys);
  /* The parts that are kept would be blamed for those that are not. */
  gboolean is_cut = keys->len > DP_SUSPECT_KEYS_MAX;
  request->suspect_keys = is_cut ? dp_suspects_without_parts (keys) : g_array_ref (keys);
  g_array_unref (keys);
}

/* --- logs --- */

static void
log_state (DpLogLevel level, const char *event, const DpSuspect *state)
{
  char key[KEY_TEXT_BYTES], failures[16], trials[16], keys[16];
  g_snprintf (key, sizeof key, "%016" G_GINT64_MODIFIER "x", state->key);
  g_snprintf (failures, sizeof failures, "%u", state->failures);
  g_snprintf (trials, sizeof trials, "%u", state->trials);
  g_snprintf (keys, sizeof keys, "%u", MAX (dp_key_set_count (state->joint), 1));
  dp_log (level, event, "what", state->key & DP_SUSPECT_PART_BIT ? "part" : "request",
          "fingerprint", key, "failures", failures, "trials", trials, "joint_keys", keys, NULL);
}

static guint
count_failures (const DpNode *node, guint64 key)
{
  DpSuspect state = dp_suspects_state (node->suspects, key, dp_node_now ());
  dp_suspect_clear (&state);
  return state.failures;
}

/* Names the keys with the most failures: the guilty one is among them. */
static void
log_failure (DpNode *node, const DpSuspectReport *report)
{
  guint most = 0;
  for (guint i = 0; i < dp_key_set_count (report->keys); i++)
    most = MAX (most, count_failures (node, dp_key_set_get (report->keys, i)));
  GString *counts = g_string_new (NULL);
  guint logged = 0;
  for (guint i = 0; i < dp_key_set_count (report->keys) && logged < KEYS_LOGGED_MAX; i++)
    {
      guint64 key = dp_key_set_get (report->keys, i);
      if (count_failures (node, key) == most)
        g_string_append_printf (counts, "%s%016" G_GINT64_MODIFIER "x:%u",
                                logged++ > 0 ? "," : "", key, most);
    }
  char keys[16];
  g_snprintf (keys, sizeof keys, "%u", dp_key_set_count (report->keys));
  const DpDirectoryRow *row = dp_directory_find (node->directory, report->target);
  dp_log (DP_LOG_INFO, "failure_counted", "target", row != NULL ? row->record.id : "unknown",
          "keys", keys, "counts", counts->str, NULL);
  g_string_free (counts, TRUE);
}

/* --- blocks in the store --- */

typedef struct BlockWrite
{
  DpNode *node;
  guint64 key;
} BlockWrite;

static void write_block (DpNode *node, guint64 key, DpPlatformCallType type);

static void
on_written (const DpPlatformReply *reply, gpointer data)
{
  BlockWrite *write = data;
  if (reply->result == DP_PLATFORM_CONFLICT)
    write_block (write->node, write->key, DP_PLATFORM_REPLACE);
  else
    dp_log (DP_LOG_NOTICE, "quarantine_stored", "outcome",
            dp_platform_result_name (reply->result), NULL);
  g_hash_table_remove (write->node->block_writes, write);
}

static void
write_block (DpNode *node, guint64 key, DpPlatformCallType type)
{
  char *name = dp_records_key_name (key);
  DpSuspect state = dp_suspects_state (node->suspects, key, dp_node_now ());
  char *body = type != DP_PLATFORM_REMOVE ? dp_records_write_block (&state) : NULL;
  const DpPlatformCall call = { .type = type,
                                .path = DP_KIND_BLOCKS,
                                .name = name,
                                .value = body,
                                .length = body != NULL ? strlen (body) : 0,
                                .timeout = CALL_TIMEOUT };
  BlockWrite *write = g_new0 (BlockWrite, 1);
  write->node = node;
  write->key = key;
  g_hash_table_add (node->block_writes, write);
  dp_platform_client_call (node->store, &call, on_written, write);
  dp_suspect_clear (&state);
  g_free (body);
  g_free (name);
}

/* Writes the key's block, or removes it if there is none any more. */
static void
store_block (DpNode *node, guint64 key)
{
  DpSuspect state = dp_suspects_state (node->suspects, key, dp_node_now ());
  write_block (node, key, state.is_blocked ? DP_PLATFORM_CREATE : DP_PLATFORM_REMOVE);
  dp_suspect_clear (&state);
}

static void
on_stored_block (DpNode *node, const DpStoreObject *object, DpDiagnostics *diagnostics)
{
  DpSuspect state = { .is_blocked = TRUE, .remaining = BLOCK_DURATION };
  if (dp_records_read_block (object, &state, diagnostics))
    {
      dp_suspects_merge (node->suspects, &state, dp_node_now ());
      log_state (DP_LOG_NOTICE, "stored_quarantine", &state);
    }
  dp_suspect_clear (&state);
}

void
dp_node_quarantine_init (DpNode *node)
{
  const DpSuspectOptions options = { .failures_max = FAILURES_MAX,
                                     .failures_max_served = FAILURES_MAX_SERVED,
                                     .served_duration = SERVED_DURATION,
                                     .block_duration = BLOCK_DURATION,
                                     .trials_max = TRIALS_MAX,
                                     .memory_duration = MEMORY_DURATION,
                                     .rows_max = ROWS_MAX };
  node->suspects = dp_suspects_new (&options);
  node->block_writes = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  node->stored_blocks = dp_stored_list_new (node, DP_KIND_BLOCKS, on_stored_block);
}

void
dp_node_quarantine_start (DpNode *node)
{
  dp_stored_list_start (node->stored_blocks);
}

void
dp_node_quarantine_clear (DpNode *node)
{
  dp_stored_list_free (node->stored_blocks);
  g_hash_table_unref (node->block_writes);
  dp_suspects_free (node->suspects);
}

/* --- at the VMs that count failures --- */

static void
choose_counters (const DpNode *node, DpName pool, DpName counters[COUNTER_VMS])
{
  DpUsec now = dp_node_now ();
  counters[0] = dp_owners_choose (node->owners, pool, now);
  counters[1] = dp_owners_choose (node->owners, dp_name (SECOND_COUNTER_KEY), now);
}

static void
announce (DpNode *node, guint64 key)
{
  DpMessage message = { .type = DP_MESSAGE_SUSPECT,
                        .suspect = dp_suspects_state (node->suspects, key, dp_node_now ()) };
  dp_peers_send_to_all (node, &message);
  dp_message_clear (&message);
}

/* Announces keys that are not blocked, and of which the same is stated: they have failures, or
 * none any more. A few get messages of their own, as older builds understand them. */
static void
announce_unblocked (DpNode *node, GArray *keys)
{
  dp_key_set_complete (keys);
  if (keys->len <= DP_SUSPECT_KEYS_MAX_BEFORE)
    {
      for (guint i = 0; i < keys->len; i++)
        announce (node, dp_key_set_get (keys, i));
      return;
    }
  for (guint first = 0; first < keys->len; first += DP_SUSPECT_KEYS_MAX)
    {
      DpMessage message = { .type = DP_MESSAGE_SUSPECT,
                            .suspect = dp_suspects_state (
                              node->suspects, dp_key_set_get (keys, first), dp_node_now ()) };
      message.suspect.joint = dp_key_set_new (0);
      for (guint i = first; i < MIN (keys->len, first + DP_SUSPECT_KEYS_MAX); i++)
        dp_key_set_append (message.suspect.joint, dp_key_set_get (keys, i));
      dp_peers_send_to_all (node, &message);
      dp_message_clear (&message);
    }
}

static void
on_block (DpNode *node, const DpSuspect *state)
{
  dp_counters_add (node->counters, "dogwoodplank_quarantined_total", "what",
                   state->key & DP_SUSPECT_PART_BIT ? "part" : "request", 1);
  log_state (DP_LOG_WARNING, "request_quarantined", state);
  dp_request_recheck_quarantine (node);
}

/* Keys that have changed, by what other VMs must be told of them. */
typedef struct Changes
{
  GArray *blocked; /* one key of each block */
  GArray *counted; /* failures, but not blocked */
  GArray *cleared;
} Changes;

static Changes
sort_changes (const DpNode *node, GArray *changed)
{
  Changes changes = { dp_key_set_new (0), dp_key_set_new (0), dp_key_set_new (0) };
  dp_key_set_complete (changed);
  for (guint i = 0; i < changed->len; i++)
    {
      guint64 key = dp_key_set_get (changed, i);
      DpSuspect state = dp_suspects_state (node->suspects, key, dp_node_now ());
      if (state.is_blocked)
        dp_key_set_append (changes.blocked, dp_key_set_count (state.joint) > 0
                                              ? dp_key_set_get (state.joint, 0)
                                              : key);
      else
        dp_key_set_append (state.failures > 0 ? changes.counted : changes.cleared, key);
      dp_suspect_clear (&state);
    }
  dp_key_set_complete (changes.blocked);
  return changes;
}

static void
changes_clear (Changes *changes)
{
  g_array_unref (changes->blocked);
  g_array_unref (changes->counted);
  g_array_unref (changes->cleared);
}

/* Tells all VMs of the changes, and the store of blocks that begin or end. */
static void
publish (DpNode *node, GArray *changed)
{
  Changes changes = sort_changes (node, changed);
  for (guint i = 0; i < changes.blocked->len; i++)
    {
      guint64 key = dp_key_set_get (changes.blocked, i);
      DpSuspect state = dp_suspects_state (node->suspects, key, dp_node_now ());
      announce (node, key);
      on_block (node, &state);
      store_block (node, key);
      dp_suspect_clear (&state);
    }
  announce_unblocked (node, changes.counted);
  announce_unblocked (node, changes.cleared);
  changes_clear (&changes);
  GArray *ended = dp_key_set_new (0);
  dp_suspects_take_ended (node->suspects, ended);
  for (guint i = 0; i < ended->len; i++)
    store_block (node, dp_key_set_get (ended, i));
  g_array_unref (ended);
}

static void
add_failure (DpNode *node, const DpSuspectReport *report)
{
  DpUsec now = dp_node_now ();
  GArray *changed = dp_key_set_new (0);
  dp_suspects_record_failure (node->suspects, report->keys, report->target, now - report->age,
                              now, changed);
  log_failure (node, report);
  publish (node, changed);
  g_array_unref (changed);
}

static void
add_response (DpNode *node, const DpSuspectReport *report)
{
  DpUsec now = dp_node_now ();
  GArray *changed = dp_key_set_new (0);
  dp_suspects_record_served (node->suspects, report->keys, now - report->age, now, changed);
  if (changed->len > 0)
    {
      char count[16];
      g_snprintf (count, sizeof count, "%u", changed->len);
      dp_log (DP_LOG_INFO, "failures_cleared", "keys", count, NULL);
      publish (node, changed);
    }
  g_array_unref (changed);
}

static void
on_report (DpNode *node, const DpSuspectReport *report)
{
  if (report->target != 0)
    add_failure (node, report);
  else
    add_response (node, report);
}

/* TRUE if this VM repeats the key's block and keeps it in the store. Several do, since one may
 * have forgotten it in a restart. */
static gboolean
is_keeper (const DpNode *node, guint64 key)
{
  DpName vms[DP_RANKED_VMS];
  guint count = dp_peers_rank (node, key, vms);
  for (guint i = 0; i < count; i++)
    if (vms[i] == node->self)
      return TRUE;
  return FALSE;
}

void
dp_node_quarantine_on_restored (DpNode *node)
{
  GArray *blocked = g_array_new (FALSE, FALSE, sizeof (guint64));
  dp_suspects_list_blocked (node->suspects, blocked);
  for (guint i = 0; i < blocked->len; i++)
    if (is_keeper (node, g_array_index (blocked, guint64, i)))
      store_block (node, g_array_index (blocked, guint64, i));
  g_array_unref (blocked);
}

/* VMs that have started since, or were cut off, learn of the block. */
static void
repeat_block (DpNode *node, guint64 key, DpUsec now)
{
  DpSuspect state = dp_suspects_state (node->suspects, key, now);
  gint64 intervals = 1 + dp_key_set_count (state.joint) / KEYS_PER_INTERVAL;
  if (is_keeper (node, key) && now / ANNOUNCE_INTERVAL % intervals == 0)
    announce (node, key);
  dp_suspect_clear (&state);
}

void
dp_node_quarantine_tick (DpNode *node, DpUsec now)
{
  if (now - node->quarantine_announced_at < ANNOUNCE_INTERVAL)
    return;
  node->quarantine_announced_at = now;
  GArray *expired = g_array_new (FALSE, FALSE, sizeof (guint64));
  dp_suspects_tick (node->suspects, now, expired);
  for (guint i = 0; i < expired->len; i++)
    if (is_keeper (node, g_array_index (expired, guint64, i)))
      store_block (node, g_array_index (expired, guint64, i));
  g_array_unref (expired);
  GArray *blocked = g_array_new (FALSE, FALSE, sizeof (guint64));
  dp_suspects_list_blocked (node->suspects, blocked);
  dp_counters_set (node->counters, "dogwoodplank_suspects", NULL, NULL,
                   dp_suspects_count (node->suspects));
  dp_counters_set (node->counters, "dogwoodplank_quarantined", NULL, NULL, blocked->len);
  for (guint i = 0; i < blocked->len; i++)
    repeat_block (node, g_array_index (blocked, guint64, i), now);
  g_array_unref (blocked);
}

/* --- at each VM --- */

/* Keys that the VM can read. An older build would blame the first ones alone, so it is told of
 * the request as a whole. */
static GArray *
keys_for (const DpNode *node, DpName vm, GArray *keys)
{
  if (dp_key_set_count (keys) <= DP_SUSPECT_KEYS_MAX_BEFORE
      || dp_owners_rules (node->owners, vm) >= DP_RULES_LEVEL_PARTS)
    return g_array_ref (keys);
  return dp_suspects_without_parts (keys);
}

static void
send_report_to (DpNode *node, DpName vm, const DpSuspectReport *report)
{
  DpMessage message = { .type = DP_MESSAGE_SUSPECT_REPORT, .suspect_report = *report };
  message.suspect_report.keys = keys_for (node, vm, report->keys);
  dp_peers_send (node, vm, &message);
  dp_message_clear (&message);
}

static void
send_report (DpNodeRequest *request, const DpSuspectReport *report)
{
  DpNode *node = request->node;
  DpName counters[COUNTER_VMS];
  choose_counters (node, request->pool->name, counters);
  gboolean is_own = FALSE;
  for (guint i = 0; i < COUNTER_VMS; i++)
    {
      is_own = is_own || counters[i] == node->self;
      if (counters[i] != node->self && (i == 0 || counters[i] != counters[0]))
        send_report_to (node, counters[i], report);
    }
  if (is_own)
    on_report (node, report);
}

/* The pool's owner alone tries blocked requests again, so that not every VM does. */
static gboolean
begin_trial (DpNodeRequest *request)
{
  DpNode *node = request->node;
  DpName counters[COUNTER_VMS];
  choose_counters (node, request->pool->name, counters);
  if (counters[0] != node->self)
    return FALSE;
  GArray *changed = g_array_new (FALSE, FALSE, sizeof (guint64));
  gboolean is_trial
    = dp_suspects_begin_trial (node->suspects, request->suspect_keys, dp_node_now (), changed);
  Changes changes = sort_changes (node, changed);
  for (guint i = 0; i < changes.blocked->len; i++)
    announce (node, dp_key_set_get (changes.blocked, i));
  changes_clear (&changes);
  g_array_unref (changed);
  if (is_trial)
    dp_log (DP_LOG_NOTICE, "quarantine_trial", "request", request->id, NULL);
  return is_trial;
}

gboolean
dp_node_quarantine_blocks (DpNodeRequest *request, DpUsec *remaining)
{
  return dp_suspects_blocks (request->node->suspects, request->suspect_keys, dp_node_now (),
                             remaining)
         && !begin_trial (request);
}

void
dp_node_quarantine_record_failure (DpNodeRequest *request)
{
  const DpSuspectReport report = { .target = request->target,
                                   .age = dp_node_now () - request->sent_at,
                                   .keys = request->suspect_keys };
  send_report (request, &report);
}

void
dp_node_quarantine_record_response (DpNodeRequest *request)
{
  DpNode *node = request->node;
  const DpSuspectReport report = { .keys = request->suspect_keys };
  if (dp_suspects_includes_any (node->suspects, request->suspect_keys))
    send_report (request, &report);
  add_response (node, &report);
}

/* A VM that counts failures has suspects, some of which were served here before. */
static void
report_served (DpNode *node, DpName from, const DpSuspect *state)
{
  if (state->is_blocked || state->failures == 0)
    return;
  DpUsec now = dp_node_now ();
  DpSuspectReport report = { .age = 0, .keys = dp_key_set_new (1) };
  guint count = MAX (dp_key_set_count (state->joint), 1);
  for (guint i = 0; i < count; i++)
    {
      guint64 key = state->joint != NULL && state->joint->len > 0
                      ? dp_key_set_get (state->joint, i)
                      : state->key;
      DpUsec served_at = dp_suspects_served_at (node->suspects, key);
      if (served_at == 0)
        continue;
      dp_key_set_append (report.keys, key);
      /* Of several, the time of the first: a later failure must not be cleared. */
      report.age = MAX (report.age, now - served_at);
    }
  if (report.keys->len > 0)
    send_report_to (node, from, &report);
  g_array_unref (report.keys);
}

gboolean
dp_node_quarantine_on_message (DpNode *node, DpName from, const DpMessage *message)
{
  switch (message->type)
    {
    case DP_MESSAGE_SUSPECT:
      /* Older builds don't sort keys. */
      if (message->suspect.joint != NULL)
        dp_key_set_complete (message->suspect.joint);
      if (dp_suspects_merge (node->suspects, &message->suspect, dp_node_now ()))
        on_block (node, &message->suspect);
      report_served (node, from, &message->suspect);
      return TRUE;
    case DP_MESSAGE_SUSPECT_REPORT:
      if (message->suspect_report.keys == NULL)
        return TRUE;
      dp_key_set_complete (message->suspect_report.keys);
      on_report (node, &message->suspect_report);
      return TRUE;
    default:
      return FALSE;
    }
}
