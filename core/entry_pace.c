/* Pace of writes to the platform: its writes a second are shared by all entries.
 *
 * Each live entry has an equal share, as a token bucket. While tokens last, every claim is
 * written at once; when they run out, claims of the same bucket object gather and share the
 * next write. Final states can wait: they leave tokens for claims, and join their writes. */
#include "core/entry_board.h"

/* Writes a second that all entries together may cause: below the several hundred that the
 * platform takes, as others write too. */
#define WRITES_PER_SECOND 240.0
/* An entry's share at least, however many entries there are. */
#define SHARE_MIN 2.0
/* Tokens that may be saved up: of this many seconds, but never fewer than BURST_MIN. */
#define BURST_SECONDS 0.25
#define BURST_MIN 4.0
/* Tokens left for claims, as a share of the burst. */
#define RESERVE 0.5

static double
share (const DpEntryBoard *board)
{
  guint live = 0;
  for (guint i = 0; board->view != NULL && i < board->view->vms->len; i++)
    if (g_array_index (board->view->vms, DpVm, i).state == DP_VM_LIVE)
      live++;
  return MAX (WRITES_PER_SECOND / MAX (live, 1), SHARE_MIN);
}

static void
refill (DpEntryBoard *board)
{
  double rate = share (board);
  double burst = MAX (rate * BURST_SECONDS, BURST_MIN);
  double elapsed = (double)(board->now - board->tokens_at) / DP_USEC_PER_SEC;
  board->tokens = MIN (board->tokens + rate * elapsed, burst);
  board->tokens_at = board->now;
  board->tokens_reserved = burst * RESERVE;
}

gboolean
entry_pace_allows (DpEntryBoard *board, gboolean urgent)
{
  refill (board);
  return board->tokens >= (urgent ? 1.0 : 1.0 + board->tokens_reserved);
}

void
entry_pace_spend (DpEntryBoard *board)
{
  board->tokens -= 1.0;
}
