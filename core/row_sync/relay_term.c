#include "core/row_sync/relay_term.h"

/* Relays send at least this often: a third of the time after which other VMs read the store
 * themselves. */
#define STATEMENT_INTERVAL (300 * DP_USEC_PER_MSEC)
/* Changes within this time are stated together. */
#define BATCH_DELAY (40 * DP_USEC_PER_MSEC)

/* A VM that ranked as a relay for less than this has no followers to hand over. */
#define TERM_MIN DP_USEC_PER_SEC

gboolean
dp_relay_term_is_active (const DpRelayTerm *term, gboolean is_ranked, DpUsec now)
{
  gboolean has_followers = term->served_at - term->begun_at >= TERM_MIN;
  return is_ranked || (has_followers && now - term->served_at < DP_RELAY_HANDOVER_TIME);
}

gboolean
dp_relay_term_is_due (const DpRelayTerm *term, gboolean is_new, DpUsec now)
{
  DpUsec since = now - term->stated_at;
  return since >= STATEMENT_INTERVAL || (since >= BATCH_DELAY && is_new);
}

void
dp_relay_term_on_stated (DpRelayTerm *term, gboolean is_ranked, guint count, DpUsec now)
{
  term->stated_at = now;
  if (!is_ranked || count == 0)
    return;
  if (now - term->served_at > DP_RELAY_HANDOVER_TIME)
    term->begun_at = now;
  term->served_at = now;
}
