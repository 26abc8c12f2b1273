/* The manifest in force: accepted through the platform, learned from the platform or a peer.
 *
 * What must be agreed is one small object, "manifest/accepted", changed by conditional update
 * only. Revisions in force only rise, whoever says otherwise. A proposed manifest is checked by
 * each watcher; one of them, after a random delay, stores its text under revision and digest,
 * and then accepts it.
 */
#include "core/agent_board.h"

#include "manifest/json_text.h"

#include <stddef.h>
#include <string.h>

#define PROPOSED_PATH "manifest/proposed"
#define ACCEPTED_PATH "manifest/accepted"
#define VMS_PATH "vms"
/* Watchers wait at random up to this before they accept, so that most find it done. */
#define ACCEPT_JITTER DP_USEC_PER_SEC
/* A watch that came back without news, or with old ones, is not repeated at once. */
#define STALE_WATCH_DELAY DP_USEC_PER_SEC
#define ASK_TIMEOUT DP_USEC_PER_SEC
/* Manifests sent to peers in a second; who gets none asks another. */
#define SERVED_PER_SECOND 8
/* All VMs of a data centre together poll the platform once in this time. */
#define POLL_INTERVAL (30 * DP_USEC_PER_SEC)
#define ACCEPTED_BYTES_MAX 4096
#define ACCEPTED_DEPTH_MAX 2
#define DIGEST_DIGITS 16

/* --- texts --- */

typedef struct AcceptedText
{
  guint64 revision;
  char *digest;
} AcceptedText;

static const DpJsonField accepted_fields[] = {
  { "revision", DP_JSON_UINT64, offsetof (AcceptedText, revision), TRUE, 1 },
  { "digest", DP_JSON_STRING, offsetof (AcceptedText, digest), TRUE, DIGEST_DIGITS,
    DIGEST_DIGITS },
};

static gboolean
parse_digest (const char *text, guint64 *digest)
{
  if (text == NULL || text[strspn (text, "0123456789abcdef")] != '\0')
    return FALSE;
  *digest = g_ascii_strtoull (text, NULL, 16);
  return TRUE;
}

static gboolean
parse_accepted (GBytes *value, guint64 *revision, guint64 *digest)
{
  gsize length;
  const char *text = g_bytes_get_data (value, &length);
  DpFindings *findings = dp_findings_new ();
  DpJsonLimits limits = { .bytes = ACCEPTED_BYTES_MAX, .depth = ACCEPTED_DEPTH_MAX };
  DpJsonText *document
    = dp_json_text_parse (ACCEPTED_PATH, text != NULL ? text : "", length, &limits, findings);
  AcceptedText accepted = { 0 };
  if (document != NULL)
    dp_json_read_object (document, dp_json_text_root (document), "", accepted_fields,
                         G_N_ELEMENTS (accepted_fields), &accepted);
  gboolean valid = dp_findings_count (findings) == 0 && parse_digest (accepted.digest, digest);
  *revision = accepted.revision;
  g_free (accepted.digest);
  dp_json_text_unref (document);
  dp_findings_unref (findings);
  return valid;
}

static GBytes *
format_accepted (guint64 revision, guint64 digest)
{
  char *text = g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT
                                ",\"digest\":\"%016" G_GINT64_MODIFIER "x\"}",
                                revision, digest);
  return g_bytes_new_take (text, strlen (text));
}

static char *
text_path (guint64 revision, guint64 digest)
{
  return g_strdup_printf ("manifest/text/%" G_GUINT64_FORMAT "-%016" G_GINT64_MODIFIER "x",
                          revision, digest);
}

/* `findings`, if not NULL, receives the findings' text (free with g_free()), or NULL. */
static DpManifest *
parse_manifest (GBytes *text, char **findings_text)
{
  gsize length;
  const char *data = g_bytes_get_data (text, &length);
  DpFindings *findings = dp_findings_new ();
  DpManifest *manifest
    = dp_manifest_parse (PROPOSED_PATH, data != NULL ? data : "", length, findings);
  if (findings_text != NULL)
    *findings_text = manifest == NULL ? dp_findings_format (findings) : NULL;
  dp_findings_unref (findings);
  return manifest;
}

static guint64
digest_of (GBytes *text)
{
  gsize length;
  const char *data = g_bytes_get_data (text, &length);
  return dp_manifest_digest (data, length);
}

/* --- in force --- */

static guint64
revision_in_force (const DpAgentBoard *board)
{
  return board->manifest != NULL ? board->manifest->revision : 0;
}

static void
log_manifest (
  DpAgentBoard *board, const char *event, gboolean warning, guint64 revision, guint64 digest)
{
  DpAgentLog *log = dp_agent_log (board, event, warning);
  log->revision = revision;
  log->digest = digest;
}

/* Two texts under one revision: only people can tell which is right. */
static void
report_conflict (DpAgentBoard *board, guint64 revision, guint64 digest, guint64 in_force)
{
  if (board->conflict_revision == revision && board->conflict_digest == digest)
    return;
  board->conflict_revision = revision;
  board->conflict_digest = digest;
  dp_agent_count (board, "dogwoodplank_manifest_conflicts_total", NULL, NULL);
  DpAgentLog *log = dp_agent_log (board, "manifest_conflict", TRUE);
  log->revision = revision;
  log->digest = digest;
  log->other_digest = in_force;
}

static void
refuse (DpAgentBoard *board, const char *reason, guint64 revision, guint64 digest)
{
  dp_agent_count (board, "dogwoodplank_manifests_refused_total", "reason", reason);
  log_manifest (board, "manifest_refused", TRUE, revision, digest);
}

/* Takes the manifest; `text` is referenced. The only place that changes what is in force. */
static void
put_in_force (DpAgentBoard *board, DpManifest *manifest, GBytes *text)
{
  g_return_if_fail (manifest->revision > revision_in_force (board));
  dp_manifest_unref (board->manifest);
  g_clear_pointer (&board->text, g_bytes_unref);
  board->manifest = manifest;
  board->text = g_bytes_ref (text);
  dp_agent_count (board, "dogwoodplank_manifests_in_force_total", NULL, NULL);
  log_manifest (board, "manifest_in_force", FALSE, manifest->revision, manifest->digest);
  dp_agent_members_spread (board);
}

/* Checks a text that must be the one of that revision and digest, and puts it in force. */
static void
take_text (DpAgentBoard *board, GBytes *text, guint64 revision, guint64 digest)
{
  if (revision <= revision_in_force (board))
    {
      refuse (board, "older", revision, digest);
      return;
    }
  if (digest_of (text) != digest)
    {
      refuse (board, "digest", revision, digest);
      return;
    }
  DpManifest *manifest = parse_manifest (text, NULL);
  if (manifest != NULL && manifest->revision == revision)
    {
      put_in_force (board, manifest, text);
      return;
    }
  refuse (board, manifest == NULL ? "findings" : "revision", revision, digest);
  board->unreadable_digest = digest;
  dp_manifest_unref (manifest);
}

/* --- peers --- */

void
dp_agent_manifest_heard (DpAgentBoard *board, DpPeer from, guint64 revision, guint64 digest)
{
  guint64 mine = revision_in_force (board);
  if (revision == mine && mine != 0 && digest != board->manifest->digest)
    report_conflict (board, revision, digest, board->manifest->digest);
  if (revision <= mine || digest == board->unreadable_digest || board->now < board->ask_until)
    return;
  board->ask_until = board->now + ASK_TIMEOUT;
  DpMessage message = { .type = DP_MESSAGE_MANIFEST_ASK };
  message.manifest_ask.revision = mine;
  dp_agent_send (board, from, &message);
}

void
dp_agent_manifest_asked (DpAgentBoard *board, DpPeer from, const DpManifestAsk *ask)
{
  if (revision_in_force (board) <= ask->revision)
    return;
  if (board->now - board->served_since >= DP_USEC_PER_SEC)
    {
      board->served_since = board->now;
      board->served = 0;
    }
  if (board->served >= SERVED_PER_SECOND)
    return;
  board->served++;
  DpMessage message = { .type = DP_MESSAGE_MANIFEST };
  message.manifest.revision = board->manifest->revision;
  message.manifest.digest = board->manifest->digest;
  message.manifest.text = g_bytes_ref (board->text);
  dp_agent_send (board, from, &message);
}

void
dp_agent_manifest_received (DpAgentBoard *board, const DpManifestText *message)
{
  board->ask_until = 0;
  if (message->text == NULL)
    return;
  if (message->revision == revision_in_force (board))
    {
      if (message->digest != board->manifest->digest)
        report_conflict (board, message->revision, message->digest, board->manifest->digest);
      return;
    }
  take_text (board, message->text, message->revision, message->digest);
}

/* --- accepting --- */

static void
clear_candidate (DpAgentBoard *board)
{
  g_clear_pointer (&board->proposed.text, g_bytes_unref);
  g_clear_pointer (&board->proposed.manifest, dp_manifest_unref);
  board->accept_at = 0;
}

void
dp_agent_manifest_clear (DpAgentBoard *board)
{
  clear_candidate (board);
  g_clear_pointer (&board->manifest, dp_manifest_unref);
  g_clear_pointer (&board->text, g_bytes_unref);
  g_clear_pointer (&board->findings, g_free);
}

static void
store_text (DpAgentBoard *board, const DpManifest *manifest)
{
  if (!dp_agent_call_ready (board, DP_AGENT_CALL_WRITE_TEXT))
    return;
  char *path = text_path (manifest->revision, manifest->digest);
  board->writing_digest = manifest->digest;
  dp_agent_call (board, DP_AGENT_CALL_WRITE_TEXT, DP_AGENT_WRITE, path, 0,
                 g_bytes_ref (board->proposed.text));
  g_free (path);
}

static void
write_accepted (DpAgentBoard *board, const DpManifest *manifest)
{
  if (!dp_agent_call_ready (board, DP_AGENT_CALL_WRITE_ACCEPTED))
    return;
  board->writing_revision = manifest->revision;
  board->writing_digest = manifest->digest;
  dp_agent_call (board, DP_AGENT_CALL_WRITE_ACCEPTED, DP_AGENT_WRITE, ACCEPTED_PATH,
                 board->accepted_version,
                 format_accepted (manifest->revision, manifest->digest));
}

/* The proposed manifest against what has been accepted. */
static void
consider_proposed (DpAgentBoard *board)
{
  const DpManifest *manifest = board->proposed.manifest;
  if (manifest == NULL || !board->accepted_read)
    return;
  guint64 mine = revision_in_force (board);
  if (manifest->revision < MAX (board->accepted_revision, mine))
    {
      refuse (board, "older", manifest->revision, manifest->digest);
      g_free (board->findings);
      board->findings = g_strdup_printf (
        "revision %" G_GUINT64_FORMAT " is older than the accepted one\n", manifest->revision);
      clear_candidate (board);
      return;
    }
  if (manifest->revision == board->accepted_revision)
    {
      if (manifest->digest != board->accepted_digest)
        report_conflict (board, manifest->revision, manifest->digest, board->accepted_digest);
      return;
    }
  if (manifest->revision == mine)
    return;
  if (board->accept_at == 0)
    board->accept_at = board->now + (DpUsec)(dp_agent_random (board) * (double)ACCEPT_JITTER);
  if (board->now < board->accept_at || board->calls[DP_AGENT_CALL_WRITE_TEXT].open
      || board->calls[DP_AGENT_CALL_WRITE_ACCEPTED].open)
    return;
  if (board->text_stored != manifest->digest)
    store_text (board, manifest);
  else
    write_accepted (board, manifest);
}

/* What has been accepted but is not in force here yet. */
static void
fetch_accepted (DpAgentBoard *board)
{
  if (board->accepted_revision <= revision_in_force (board)
      || board->accepted_digest == board->unreadable_digest)
    return;
  const DpManifest *proposed = board->proposed.manifest;
  if (proposed != NULL && proposed->revision == board->accepted_revision
      && proposed->digest == board->accepted_digest)
    {
      put_in_force (board, dp_manifest_ref (board->proposed.manifest), board->proposed.text);
      return;
    }
  if (!dp_agent_call_ready (board, DP_AGENT_CALL_READ_TEXT))
    return;
  char *path = text_path (board->accepted_revision, board->accepted_digest);
  dp_agent_call (board, DP_AGENT_CALL_READ_TEXT, DP_AGENT_READ, path, 0, NULL);
  g_free (path);
}

/* --- the platform's answers --- */

static void
note_accepted (DpAgentBoard *board, guint64 version, guint64 revision, guint64 digest)
{
  board->accepted_read = TRUE;
  if (version == board->accepted_version)
    return;
  board->accepted_version = version;
  board->accepted_revision = revision;
  board->accepted_digest = digest;
  guint64 mine = revision_in_force (board);
  if (revision < mine)
    refuse (board, "older", revision, digest);
  else if (revision == mine && digest != board->manifest->digest)
    report_conflict (board, revision, digest, board->manifest->digest);
}

static void
on_accepted_missing (DpAgentBoard *board, DpAgentCall call)
{
  dp_agent_call_delay (board, call, STALE_WATCH_DELAY);
  if (board->accepted_version == 0)
    board->accepted_read = TRUE;
  else
    dp_agent_count (board, "dogwoodplank_platform_stale_reads_total", NULL, NULL);
}

static void
on_accepted_value (DpAgentBoard *board, const DpAgentReply *reply)
{
  if (reply->version < board->accepted_version)
    {
      dp_agent_count (board, "dogwoodplank_platform_stale_reads_total", NULL, NULL);
      dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
      return;
    }
  guint64 revision;
  guint64 digest;
  if (!parse_accepted (reply->value, &revision, &digest))
    {
      dp_agent_count (board, "dogwoodplank_platform_bad_objects_total", "object", "accepted");
      dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
      return;
    }
  if (reply->version == board->accepted_version)
    dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
  note_accepted (board, reply->version, revision, digest);
}

static void
on_proposed_value (DpAgentBoard *board, const DpAgentReply *reply)
{
  if (reply->version <= board->proposed_version)
    {
      dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
      return;
    }
  board->proposed_version = reply->version;
  clear_candidate (board);
  g_clear_pointer (&board->findings, g_free);
  board->proposed.manifest = parse_manifest (reply->value, &board->findings);
  if (board->proposed.manifest != NULL)
    {
      board->proposed.text = g_bytes_ref (reply->value);
      return;
    }
  dp_agent_count (board, "dogwoodplank_manifests_refused_total", "reason", "findings");
  DpAgentLog *log = dp_agent_log (board, "manifest_has_findings", TRUE);
  log->detail = g_strdup (board->findings);
}

static void
on_vms_value (DpAgentBoard *board, const DpAgentReply *reply)
{
  if (reply->version <= board->vms_version)
    {
      dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
      return;
    }
  if (dp_agent_members_listed (board, reply->value))
    {
      board->vms_version = reply->version;
      return;
    }
  dp_agent_count (board, "dogwoodplank_platform_bad_objects_total", "object", "vms");
  dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
}

static void
on_text_value (DpAgentBoard *board, const DpAgentReply *reply)
{
  /* A peer may have been faster. */
  if (board->accepted_revision <= revision_in_force (board))
    return;
  if (reply->result == DP_AGENT_OK)
    take_text (board, reply->value, board->accepted_revision, board->accepted_digest);
  if (board->accepted_revision > revision_in_force (board))
    dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
}

/* A conflict on the text's path means that somebody stored the same text. */
static void
on_text_written (DpAgentBoard *board, DpAgentResult result)
{
  if (result == DP_AGENT_OK || result == DP_AGENT_CONFLICT)
    board->text_stored = board->writing_digest;
}

static void
on_accepted_written (DpAgentBoard *board, const DpAgentReply *reply)
{
  if (reply->result == DP_AGENT_OK)
    {
      dp_agent_count (board, "dogwoodplank_manifests_accepted_total", NULL, NULL);
      log_manifest (board, "manifest_accepted", FALSE, board->writing_revision,
                    board->writing_digest);
      if (reply->version > board->accepted_version)
        note_accepted (board, reply->version, board->writing_revision, board->writing_digest);
      return;
    }
  /* Conflict: somebody was first. Lost: it may have taken effect. Read before going on. */
  if (reply->result != DP_AGENT_UNAVAILABLE)
    board->accepted_read = FALSE;
}

static void
on_watch_value (DpAgentBoard *board, const DpAgentReply *reply)
{
  if (reply->result == DP_AGENT_NOT_FOUND && reply->call != DP_AGENT_CALL_WATCH_ACCEPTED)
    dp_agent_call_delay (board, reply->call, STALE_WATCH_DELAY);
  if (reply->result != DP_AGENT_OK)
    return;
  if (reply->call == DP_AGENT_CALL_WATCH_PROPOSED)
    on_proposed_value (board, reply);
  else
    on_vms_value (board, reply);
}

void
dp_agent_manifest_reply (DpAgentBoard *board, const DpAgentReply *reply)
{
  switch (reply->call)
    {
    case DP_AGENT_CALL_WATCH_PROPOSED:
    case DP_AGENT_CALL_WATCH_VMS:
      on_watch_value (board, reply);
      break;
    case DP_AGENT_CALL_WATCH_ACCEPTED:
    case DP_AGENT_CALL_READ_ACCEPTED:
      if (reply->result == DP_AGENT_OK)
        on_accepted_value (board, reply);
      else if (reply->result == DP_AGENT_NOT_FOUND)
        on_accepted_missing (board, reply->call);
      break;
    case DP_AGENT_CALL_READ_TEXT:
      on_text_value (board, reply);
      break;
    case DP_AGENT_CALL_WRITE_TEXT:
      on_text_written (board, reply->result);
      break;
    case DP_AGENT_CALL_WRITE_ACCEPTED:
      on_accepted_written (board, reply);
      break;
    default:
      break;
    }
}

/* --- in the course of time --- */

static void
watch (DpAgentBoard *board, DpAgentCall call, const char *path, guint64 version)
{
  if (dp_agent_call_ready (board, call))
    dp_agent_call (board, call, DP_AGENT_WATCH, path, version, NULL);
}

/* A VM that becomes a watcher again reads the proposed manifest anew. */
static void
drop_proposed (DpAgentBoard *board)
{
  board->proposed_version = 0;
  clear_candidate (board);
  g_clear_pointer (&board->findings, g_free);
}

/* The rarer, the more VMs share the data centre's polling. */
static DpUsec
poll_delay (DpAgentBoard *board)
{
  guint vms = 1;
  for (guint i = 0; i < board->order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (board->order, i);
      vms += member->vm.data_centre == board->self.data_centre;
    }
  return (DpUsec)((double)POLL_INTERVAL * vms * (0.5 + dp_agent_random (board)));
}

static void
poll_rarely (DpAgentBoard *board)
{
  if (board->next_poll == 0)
    board->next_poll = board->now + poll_delay (board);
  if (board->now < board->next_poll)
    return;
  board->next_poll = board->now + poll_delay (board);
  if (dp_agent_call_ready (board, DP_AGENT_CALL_READ_ACCEPTED))
    dp_agent_call (board, DP_AGENT_CALL_READ_ACCEPTED, DP_AGENT_READ, ACCEPTED_PATH, 0, NULL);
}

void
dp_agent_manifest_tick (DpAgentBoard *board)
{
  if (!dp_agent_is_watcher (board))
    {
      drop_proposed (board);
      poll_rarely (board);
      fetch_accepted (board);
      return;
    }
  watch (board, DP_AGENT_CALL_WATCH_VMS, VMS_PATH, board->vms_version);
  watch (board, DP_AGENT_CALL_WATCH_ACCEPTED, ACCEPTED_PATH, board->accepted_version);
  watch (board, DP_AGENT_CALL_WATCH_PROPOSED, PROPOSED_PATH, board->proposed_version);
  if (!board->accepted_read && dp_agent_call_ready (board, DP_AGENT_CALL_READ_ACCEPTED))
    dp_agent_call (board, DP_AGENT_CALL_READ_ACCEPTED, DP_AGENT_READ, ACCEPTED_PATH, 0, NULL);
  fetch_accepted (board);
  consider_proposed (board);
}

void
dp_agent_manifest_resumed (DpAgentBoard *board)
{
  board->accepted_read = FALSE;
  board->accept_at = 0;
  board->ask_until = 0;
}
