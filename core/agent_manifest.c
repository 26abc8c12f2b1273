/* The manifest in force: accepted through the platform, learned from the platform or a peer.
 *
 * Agreement rests on one small object, "manifest/accepted", which is changed by conditional
 * write only. The revision in force never decreases, whatever the platform or a peer reports.
 * Each watcher checks a proposed manifest; one of them, after a random delay, stores its text
 * under revision and digest and then accepts it.
 */
#include "core/agent_private.h"

#include "manifest/json_text.h"

#include <stddef.h>
#include <string.h>

#define PROPOSED_PATH "manifest/proposed"
#define ACCEPTED_PATH "manifest/accepted"
#define VMS_PATH "vms"
/* Watchers wait a random time up to this before they accept, so that usually only one writes.
 */
#define ACCEPT_JITTER_MAX DP_USEC_PER_SEC
/* Delay before a call is repeated whose reply was stale, unchanged, malformed or not found. */
#define STALE_REPLY_DELAY DP_USEC_PER_SEC
#define REQUEST_TIMEOUT DP_USEC_PER_SEC
/* Average interval between two polls of the platform from one data centre, whose VMs share it.
 */
#define POLL_INTERVAL (30 * DP_USEC_PER_SEC)
#define ACCEPTED_BYTES_MAX 4096
#define ACCEPTED_DEPTH_MAX 2
#define DIGEST_DIGITS 16

/* --- JSON texts --- */

typedef struct AcceptedJson
{
  guint64 revision;
  char *digest;
} AcceptedJson;

static const DpJsonField accepted_fields[] = {
  { "revision", DP_JSON_UINT64, offsetof (AcceptedJson, revision), TRUE, 1 },
  { "digest", DP_JSON_STRING, offsetof (AcceptedJson, digest), TRUE, DIGEST_DIGITS,
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
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpJsonLimits limits = { .bytes = ACCEPTED_BYTES_MAX, .depth = ACCEPTED_DEPTH_MAX };
  DpJsonText *document = dp_json_text_parse (ACCEPTED_PATH, text != NULL ? text : "", length,
                                             &limits, diagnostics);
  AcceptedJson accepted = { 0 };
  if (document != NULL)
    dp_json_read_object (document, dp_json_text_root (document), "", accepted_fields,
                         G_N_ELEMENTS (accepted_fields), &accepted);
  gboolean valid
    = dp_diagnostics_count (diagnostics) == 0 && parse_digest (accepted.digest, digest);
  *revision = accepted.revision;
  g_free (accepted.digest);
  dp_json_text_unref (document);
  dp_diagnostics_unref (diagnostics);
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
stored_text_path (guint64 revision, guint64 digest)
{
  return g_strdup_printf ("manifest/text/%" G_GUINT64_FORMAT "-%016" G_GINT64_MODIFIER "x",
                          revision, digest);
}

/* Returns NULL if the text has diagnostics. `diagnostics_text`, if not NULL, receives them
 * formatted (free with g_free()), or NULL if there are none. */
static DpManifest *
parse_manifest (GBytes *text, char **diagnostics_text)
{
  gsize length;
  const char *data = g_bytes_get_data (text, &length);
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpManifest *manifest
    = dp_manifest_parse (PROPOSED_PATH, data != NULL ? data : "", length, diagnostics);
  if (diagnostics_text != NULL)
    *diagnostics_text = manifest == NULL ? dp_diagnostics_format (diagnostics) : NULL;
  dp_diagnostics_unref (diagnostics);
  return manifest;
}

static guint64
compute_digest (GBytes *text)
{
  gsize length;
  const char *data = g_bytes_get_data (text, &length);
  return dp_manifest_digest (data, length);
}

/* --- manifest in force --- */

static guint64
revision_in_force (const DpAgentCore *core)
{
  return core->manifest != NULL ? core->manifest->revision : 0;
}

static void
log_manifest (
  DpAgentCore *core, const char *event, gboolean warning, guint64 revision, guint64 digest)
{
  DpAgentLog *log = dp_agent_log (core, event, warning);
  log->revision = revision;
  log->digest = digest;
}

/* Reports two different texts of one revision, which an operator has to resolve. */
static void
report_conflict (DpAgentCore *core, guint64 revision, guint64 digest, guint64 other_digest)
{
  if (core->conflict_revision == revision && core->conflict_digest == digest)
    return;
  core->conflict_revision = revision;
  core->conflict_digest = digest;
  dp_agent_count (core, "dogwoodplank_manifest_conflicts_total", NULL, NULL);
  DpAgentLog *log = dp_agent_log (core, "manifest_conflict", TRUE);
  log->revision = revision;
  log->digest = digest;
  log->other_digest = other_digest;
}

static void
refuse_manifest (DpAgentCore *core, const char *reason, guint64 revision, guint64 digest)
{
  dp_agent_count (core, "dogwoodplank_manifests_refused_total", "reason", reason);
  log_manifest (core, "manifest_refused", TRUE, revision, digest);
}

/* Takes ownership of the manifest and a reference to `text`. Only this function changes the
 * manifest in force. */
static void
put_in_force (DpAgentCore *core, DpManifest *manifest, GBytes *text)
{
  g_return_if_fail (manifest->revision > revision_in_force (core));
  dp_agent_text_save_base (core);
  dp_manifest_unref (core->manifest);
  g_clear_pointer (&core->manifest_text, g_bytes_unref);
  core->manifest = manifest;
  core->manifest_text = g_bytes_ref (text);
  dp_agent_count (core, "dogwoodplank_manifests_in_force_total", NULL, NULL);
  log_manifest (core, "manifest_in_force", FALSE, manifest->revision, manifest->digest);
  dp_agent_members_disseminate (core);
}

/* Puts the text in force if it matches the revision and digest and has no diagnostics. The
 * digest is checked first, so that the digest of a text damaged in transit isn't rejected. */
static void
verify_and_apply_text (DpAgentCore *core, GBytes *text, guint64 revision, guint64 digest)
{
  if (revision <= revision_in_force (core))
    {
      refuse_manifest (core, "older", revision, digest);
      return;
    }
  if (compute_digest (text) != digest)
    {
      refuse_manifest (core, "digest", revision, digest);
      return;
    }
  DpManifest *manifest = parse_manifest (text, NULL);
  if (manifest != NULL && manifest->revision == revision)
    {
      put_in_force (core, manifest, text);
      return;
    }
  refuse_manifest (core, manifest == NULL ? "findings" : "revision", revision, digest);
  core->rejected_digest = digest;
  dp_manifest_unref (manifest);
}

/* --- peers --- */

void
dp_agent_manifest_on_peer_revision (DpAgentCore *core,
                                    DpPeer from,
                                    guint64 revision,
                                    guint64 digest)
{
  guint64 own_revision = revision_in_force (core);
  if (revision == own_revision && own_revision != 0 && digest != core->manifest->digest)
    report_conflict (core, revision, digest, core->manifest->digest);
  if (revision <= own_revision || digest == core->rejected_digest
      || core->now < core->request_timeout_at)
    return;
  core->request_timeout_at = core->now + REQUEST_TIMEOUT;
  DpMessage message = { .type = DP_MESSAGE_MANIFEST_ASK };
  message.manifest_ask.revision = own_revision;
  if (own_revision != 0 && !core->delta_failed)
    message.manifest_ask.digest = core->manifest->digest;
  dp_agent_send (core, from, &message);
}

void
dp_agent_manifest_on_text (DpAgentCore *core, const DpManifestText *message)
{
  core->request_timeout_at = 0;
  if (message->text == NULL)
    return;
  if (message->revision == revision_in_force (core))
    {
      if (message->digest != core->manifest->digest)
        report_conflict (core, message->revision, message->digest, core->manifest->digest);
      return;
    }
  GBytes *text = dp_agent_text_resolve (core, message);
  core->delta_failed = text == NULL;
  if (text == NULL)
    return;
  verify_and_apply_text (core, text, message->revision, message->digest);
  g_bytes_unref (text);
}

/* --- accepting --- */

static void
clear_proposed (DpAgentCore *core)
{
  g_clear_pointer (&core->proposed.text, g_bytes_unref);
  g_clear_pointer (&core->proposed.manifest, dp_manifest_unref);
  core->accept_at = 0;
}

void
dp_agent_manifest_clear (DpAgentCore *core)
{
  clear_proposed (core);
  g_clear_pointer (&core->manifest, dp_manifest_unref);
  g_clear_pointer (&core->manifest_text, g_bytes_unref);
  g_clear_pointer (&core->base_text, g_bytes_unref);
  g_clear_pointer (&core->delta, g_bytes_unref);
  g_clear_pointer (&core->proposed_diagnostics, g_free);
}

static void
store_text (DpAgentCore *core, const DpManifest *manifest)
{
  if (!dp_agent_call_ready (core, DP_AGENT_CALL_WRITE_TEXT))
    return;
  char *path = stored_text_path (manifest->revision, manifest->digest);
  core->writing_digest = manifest->digest;
  dp_agent_call_start (core, DP_AGENT_CALL_WRITE_TEXT, DP_AGENT_WRITE, path, 0,
                       g_bytes_ref (core->proposed.text));
  g_free (path);
}

static void
write_accepted (DpAgentCore *core, const DpManifest *manifest)
{
  if (!dp_agent_call_ready (core, DP_AGENT_CALL_WRITE_ACCEPTED))
    return;
  core->writing_revision = manifest->revision;
  core->writing_digest = manifest->digest;
  dp_agent_call_start (core, DP_AGENT_CALL_WRITE_ACCEPTED, DP_AGENT_WRITE, ACCEPTED_PATH,
                       core->accepted_version,
                       format_accepted (manifest->revision, manifest->digest));
}

/* Refuses the proposed manifest, or takes the next step towards accepting it. */
static void
process_proposed (DpAgentCore *core)
{
  const DpManifest *manifest = core->proposed.manifest;
  if (manifest == NULL || !core->accepted_known)
    return;
  guint64 own_revision = revision_in_force (core);
  if (manifest->revision < MAX (core->accepted_revision, own_revision))
    {
      refuse_manifest (core, "older", manifest->revision, manifest->digest);
      g_free (core->proposed_diagnostics);
      core->proposed_diagnostics = g_strdup_printf (
        "revision %" G_GUINT64_FORMAT " is older than the accepted one\n", manifest->revision);
      clear_proposed (core);
      return;
    }
  if (manifest->revision == core->accepted_revision)
    {
      if (manifest->digest != core->accepted_digest)
        report_conflict (core, manifest->revision, manifest->digest, core->accepted_digest);
      return;
    }
  if (manifest->revision == own_revision)
    return;
  if (core->accept_at == 0)
    core->accept_at = core->now + (DpUsec)(dp_agent_random (core) * (double)ACCEPT_JITTER_MAX);
  if (core->now < core->accept_at || core->calls[DP_AGENT_CALL_WRITE_TEXT].in_flight
      || core->calls[DP_AGENT_CALL_WRITE_ACCEPTED].in_flight)
    return;
  if (core->stored_text_digest != manifest->digest)
    store_text (core, manifest);
  else
    write_accepted (core, manifest);
}

/* Puts the accepted manifest in force if its text is at hand, otherwise reads the text. */
static void
fetch_accepted (DpAgentCore *core)
{
  if (core->accepted_revision <= revision_in_force (core)
      || core->accepted_digest == core->rejected_digest)
    return;
  const DpManifest *proposed = core->proposed.manifest;
  if (proposed != NULL && proposed->revision == core->accepted_revision
      && proposed->digest == core->accepted_digest)
    {
      put_in_force (core, dp_manifest_ref (core->proposed.manifest), core->proposed.text);
      return;
    }
  if (!dp_agent_call_ready (core, DP_AGENT_CALL_READ_TEXT))
    return;
  char *path = stored_text_path (core->accepted_revision, core->accepted_digest);
  dp_agent_call_start (core, DP_AGENT_CALL_READ_TEXT, DP_AGENT_READ, path, 0, NULL);
  g_free (path);
}

/* --- platform replies --- */

static void
record_accepted (DpAgentCore *core, guint64 version, guint64 revision, guint64 digest)
{
  core->accepted_known = TRUE;
  if (version == core->accepted_version)
    return;
  core->accepted_version = version;
  core->accepted_revision = revision;
  core->accepted_digest = digest;
  guint64 own_revision = revision_in_force (core);
  if (revision < own_revision)
    refuse_manifest (core, "older", revision, digest);
  else if (revision == own_revision && digest != core->manifest->digest)
    report_conflict (core, revision, digest, core->manifest->digest);
}

static void
on_accepted_missing (DpAgentCore *core, DpAgentCall call)
{
  dp_agent_call_delay (core, call, STALE_REPLY_DELAY);
  if (core->accepted_version == 0)
    core->accepted_known = TRUE;
  else
    dp_agent_count (core, "dogwoodplank_platform_stale_reads_total", NULL, NULL);
}

static void
on_accepted_value (DpAgentCore *core, const DpAgentReply *reply)
{
  if (reply->version < core->accepted_version)
    {
      dp_agent_count (core, "dogwoodplank_platform_stale_reads_total", NULL, NULL);
      dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
      return;
    }
  guint64 revision;
  guint64 digest;
  if (!parse_accepted (reply->value, &revision, &digest))
    {
      dp_agent_count (core, "dogwoodplank_platform_bad_objects_total", "object", "accepted");
      dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
      return;
    }
  if (reply->version == core->accepted_version)
    dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
  record_accepted (core, reply->version, revision, digest);
}

static void
on_proposed_value (DpAgentCore *core, const DpAgentReply *reply)
{
  if (reply->version <= core->proposed_version)
    {
      dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
      return;
    }
  core->proposed_version = reply->version;
  clear_proposed (core);
  g_clear_pointer (&core->proposed_diagnostics, g_free);
  core->proposed.manifest = parse_manifest (reply->value, &core->proposed_diagnostics);
  if (core->proposed.manifest != NULL)
    {
      core->proposed.text = g_bytes_ref (reply->value);
      return;
    }
  dp_agent_count (core, "dogwoodplank_manifests_refused_total", "reason", "findings");
  DpAgentLog *log = dp_agent_log (core, "manifest_has_findings", TRUE);
  log->detail = g_strdup (core->proposed_diagnostics);
}

static void
on_vms_value (DpAgentCore *core, const DpAgentReply *reply)
{
  if (reply->version <= core->vms_version)
    {
      dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
      return;
    }
  if (dp_agent_members_apply_list (core, reply->value))
    {
      core->vms_version = reply->version;
      return;
    }
  dp_agent_count (core, "dogwoodplank_platform_bad_objects_total", "object", "vms");
  dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
}

static void
on_text_value (DpAgentCore *core, const DpAgentReply *reply)
{
  /* A peer may have sent the text in the meantime. */
  if (core->accepted_revision <= revision_in_force (core))
    return;
  if (reply->result == DP_AGENT_OK)
    verify_and_apply_text (core, reply->value, core->accepted_revision, core->accepted_digest);
  if (core->accepted_revision > revision_in_force (core))
    dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
}

/* A conflict on the text's path means that another VM has stored the same text: the path
 * contains its digest. */
static void
on_text_written (DpAgentCore *core, DpAgentResult result)
{
  if (result == DP_AGENT_OK || result == DP_AGENT_CONFLICT)
    core->stored_text_digest = core->writing_digest;
}

static void
on_accepted_written (DpAgentCore *core, const DpAgentReply *reply)
{
  if (reply->result == DP_AGENT_OK)
    {
      dp_agent_count (core, "dogwoodplank_manifests_accepted_total", NULL, NULL);
      log_manifest (core, "manifest_accepted", FALSE, core->writing_revision,
                    core->writing_digest);
      if (reply->version > core->accepted_version)
        record_accepted (core, reply->version, core->writing_revision, core->writing_digest);
      return;
    }
  /* Conflict: another VM wrote first. Lost: the write may take effect. Read before retrying. */
  if (reply->result != DP_AGENT_UNAVAILABLE)
    core->accepted_known = FALSE;
}

static void
on_watch_value (DpAgentCore *core, const DpAgentReply *reply)
{
  if (reply->result == DP_AGENT_NOT_FOUND && reply->call != DP_AGENT_CALL_WATCH_ACCEPTED)
    dp_agent_call_delay (core, reply->call, STALE_REPLY_DELAY);
  if (reply->result != DP_AGENT_OK)
    return;
  if (reply->call == DP_AGENT_CALL_WATCH_PROPOSED)
    on_proposed_value (core, reply);
  else
    on_vms_value (core, reply);
}

void
dp_agent_manifest_on_reply (DpAgentCore *core, const DpAgentReply *reply)
{
  switch (reply->call)
    {
    case DP_AGENT_CALL_WATCH_PROPOSED:
    case DP_AGENT_CALL_WATCH_VMS:
      on_watch_value (core, reply);
      break;
    case DP_AGENT_CALL_WATCH_ACCEPTED:
    case DP_AGENT_CALL_READ_ACCEPTED:
      if (reply->result == DP_AGENT_OK)
        on_accepted_value (core, reply);
      else if (reply->result == DP_AGENT_NOT_FOUND)
        on_accepted_missing (core, reply->call);
      break;
    case DP_AGENT_CALL_READ_TEXT:
      on_text_value (core, reply);
      break;
    case DP_AGENT_CALL_WRITE_TEXT:
      on_text_written (core, reply->result);
      break;
    case DP_AGENT_CALL_WRITE_ACCEPTED:
      on_accepted_written (core, reply);
      break;
    default:
      break;
    }
}

/* --- periodic work --- */

static void
start_watch (DpAgentCore *core, DpAgentCall call, const char *path, guint64 version)
{
  if (dp_agent_call_ready (core, call))
    dp_agent_call_start (core, call, DP_AGENT_WATCH, path, version, NULL);
}

/* Makes this VM read the proposed manifest again when it next becomes a watcher. */
static void
forget_proposed (DpAgentCore *core)
{
  core->proposed_version = 0;
  clear_proposed (core);
  g_clear_pointer (&core->proposed_diagnostics, g_free);
}

/* Returns this VM's poll delay, proportional to the number of VMs in its data centre, with 50%
 * jitter. */
static DpUsec
random_poll_delay (DpAgentCore *core)
{
  guint vms = 1;
  for (guint i = 0; i < core->probe_order->len; i++)
    {
      const DpMember *member = g_ptr_array_index (core->probe_order, i);
      vms += member->vm.data_centre == core->self.data_centre;
    }
  return (DpUsec)((double)POLL_INTERVAL * vms * (0.5 + dp_agent_random (core)));
}

static void
poll_accepted (DpAgentCore *core)
{
  if (core->next_poll_at == 0)
    core->next_poll_at = core->now + random_poll_delay (core);
  if (core->now < core->next_poll_at)
    return;
  core->next_poll_at = core->now + random_poll_delay (core);
  if (dp_agent_call_ready (core, DP_AGENT_CALL_READ_ACCEPTED))
    dp_agent_call_start (core, DP_AGENT_CALL_READ_ACCEPTED, DP_AGENT_READ, ACCEPTED_PATH, 0,
                         NULL);
}

void
dp_agent_manifest_tick (DpAgentCore *core)
{
  if (!dp_agent_is_watcher (core))
    {
      forget_proposed (core);
      poll_accepted (core);
      fetch_accepted (core);
      return;
    }
  start_watch (core, DP_AGENT_CALL_WATCH_VMS, VMS_PATH, core->vms_version);
  start_watch (core, DP_AGENT_CALL_WATCH_ACCEPTED, ACCEPTED_PATH, core->accepted_version);
  start_watch (core, DP_AGENT_CALL_WATCH_PROPOSED, PROPOSED_PATH, core->proposed_version);
  if (!core->accepted_known && dp_agent_call_ready (core, DP_AGENT_CALL_READ_ACCEPTED))
    dp_agent_call_start (core, DP_AGENT_CALL_READ_ACCEPTED, DP_AGENT_READ, ACCEPTED_PATH, 0,
                         NULL);
  fetch_accepted (core);
  process_proposed (core);
}

void
dp_agent_manifest_on_resume (DpAgentCore *core)
{
  core->accepted_known = FALSE;
  core->accept_at = 0;
  core->request_timeout_at = 0;
}
