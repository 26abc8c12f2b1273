/* Manifest texts sent between agents: whole, or as a delta from the previous revision, since
 * most changes concern one row of a text of up to a megabyte. */
#include "core/agent_private.h"

#include "manifest/delta.h"

/* Above this rate, requests are ignored, and the peer queries another VM. */
#define MANIFESTS_SENT_PER_SECOND_MAX 8

void
dp_agent_text_save_base (DpAgentCore *core)
{
  g_clear_pointer (&core->base_text, g_bytes_unref);
  g_clear_pointer (&core->delta, g_bytes_unref);
  if (core->manifest == NULL)
    return;
  core->base_text = g_bytes_ref (core->manifest_text);
  core->base_revision = core->manifest->revision;
  core->base_digest = core->manifest->digest;
}

GBytes *
dp_agent_text_resolve (DpAgentCore *core, const DpManifestText *message)
{
  if (message->base_digest == 0)
    return g_bytes_ref (message->text);
  if (core->manifest == NULL || core->manifest->revision != message->base_revision
      || core->manifest->digest != message->base_digest)
    return NULL;
  gsize length;
  const void *delta = g_bytes_get_data (message->text, &length);
  return dp_delta_apply (core->manifest_text, delta, length, DP_MANIFEST_BYTES_MAX, NULL);
}

/* Returns TRUE, and counts the manifest, if one more may be sent in this second. */
static gboolean
acquire_send_slot (DpAgentCore *core)
{
  if (core->now - core->serve_window_start >= DP_USEC_PER_SEC)
    {
      core->serve_window_start = core->now;
      core->served_in_window = 0;
    }
  if (core->served_in_window >= MANIFESTS_SENT_PER_SECOND_MAX)
    return FALSE;
  core->served_in_window++;
  return TRUE;
}

static gboolean
requester_has_base (const DpAgentCore *core, const DpManifestAsk *ask)
{
  return core->base_text != NULL && ask->digest != 0 && ask->revision == core->base_revision
         && ask->digest == core->base_digest;
}

static void
set_delta (DpAgentCore *core, DpManifestText *message)
{
  if (core->delta == NULL)
    core->delta = dp_delta_make (core->base_text, core->manifest_text);
  message->base_revision = core->base_revision;
  message->base_digest = core->base_digest;
  message->text = g_bytes_ref (core->delta);
}

void
dp_agent_text_on_request (DpAgentCore *core, DpPeer from, const DpManifestAsk *ask)
{
  if (core->manifest == NULL || core->manifest->revision <= ask->revision
      || !acquire_send_slot (core))
    return;
  DpMessage message = { .type = DP_MESSAGE_MANIFEST };
  message.manifest.revision = core->manifest->revision;
  message.manifest.digest = core->manifest->digest;
  if (requester_has_base (core, ask))
    set_delta (core, &message.manifest);
  else
    message.manifest.text = g_bytes_ref (core->manifest_text);
  dp_agent_send (core, from, &message);
}
