/* Texts of manifests between agents: whole, or as a delta from the revision before, since most
 * changes concern one row of a text that may be near a megabyte. */
#include "core/agent_board.h"

#include "manifest/delta.h"

/* Manifests sent to peers in a second; who gets none asks another. */
#define SERVED_PER_SECOND 8

void
dp_agent_text_keep_base (DpAgentBoard *board)
{
  g_clear_pointer (&board->base_text, g_bytes_unref);
  g_clear_pointer (&board->delta, g_bytes_unref);
  if (board->manifest == NULL)
    return;
  board->base_text = g_bytes_ref (board->text);
  board->base_revision = board->manifest->revision;
  board->base_digest = board->manifest->digest;
}

GBytes *
dp_agent_text_resolve (DpAgentBoard *board, const DpManifestText *message)
{
  if (message->base_digest == 0)
    return g_bytes_ref (message->text);
  if (board->manifest == NULL || board->manifest->revision != message->base_revision
      || board->manifest->digest != message->base_digest)
    return NULL;
  gsize length;
  const void *delta = g_bytes_get_data (message->text, &length);
  return dp_delta_apply (board->text, delta, length, DP_MANIFEST_BYTES_MAX, NULL);
}

/* TRUE if one more manifest may be sent in this second. */
static gboolean
may_serve (DpAgentBoard *board)
{
  if (board->now - board->served_since >= DP_USEC_PER_SEC)
    {
      board->served_since = board->now;
      board->served = 0;
    }
  if (board->served >= SERVED_PER_SECOND)
    return FALSE;
  board->served++;
  return TRUE;
}

static gboolean
has_base (const DpAgentBoard *board, const DpManifestAsk *ask)
{
  return board->base_text != NULL && ask->digest != 0 && ask->revision == board->base_revision
         && ask->digest == board->base_digest;
}

static void
fill_delta (DpAgentBoard *board, DpManifestText *message)
{
  if (board->delta == NULL)
    board->delta = dp_delta_make (board->base_text, board->text);
  message->base_revision = board->base_revision;
  message->base_digest = board->base_digest;
  message->text = g_bytes_ref (board->delta);
}

void
dp_agent_text_asked (DpAgentBoard *board, DpPeer from, const DpManifestAsk *ask)
{
  if (board->manifest == NULL || board->manifest->revision <= ask->revision
      || !may_serve (board))
    return;
  DpMessage message = { .type = DP_MESSAGE_MANIFEST };
  message.manifest.revision = board->manifest->revision;
  message.manifest.digest = board->manifest->digest;
  if (has_base (board, ask))
    fill_delta (board, &message.manifest);
  else
    message.manifest.text = g_bytes_ref (board->text);
  dp_agent_send (board, from, &message);
}
