/* When a VM states the store's versions to others.
 *
 * The relays are the first VMs of a ranking of the list (core/owners.h). Each VM ranks by the
 * list that it has, so that a relay finds that it was replaced before the VMs that follow it
 * can: it is who tells them. A relay that is replaced goes on for a while, unless it was one
 * for a moment only, as VMs are that start together and don't have the whole list yet.
 *
 * No I/O, reads no clock.
 */
#pragma once

#include "common/id.h"

/* After a change of the list of VMs, a former relay goes on for this long. By then the others
 * have the list: relays read its changes each 0.3 s, and state them within 0.1 s. */
#define DP_RELAY_HANDOVER_TIME DP_USEC_PER_SEC

typedef struct DpRelayTerm
{
  DpUsec begun_at;  /* first statement to other VMs of this term; 0: never */
  DpUsec served_at; /* last one while this VM ranked as a relay */
  DpUsec stated_at; /* last statement */
} DpRelayTerm;

/* `is_ranked`: this VM is a relay by the list that it has. Returns TRUE if it watches the store
 * for others. */
gboolean dp_relay_term_is_active (const DpRelayTerm *term, gboolean is_ranked, DpUsec now);
/* TRUE if a statement is due; `is_new`: it differs from the last one. */
gboolean dp_relay_term_is_due (const DpRelayTerm *term, gboolean is_new, DpUsec now);
/* A statement was sent to `count` VMs. */
void dp_relay_term_on_stated (DpRelayTerm *term, gboolean is_ranked, guint count, DpUsec now);
