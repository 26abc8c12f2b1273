/* Selects the VM that owns a key (a pool, a workspace's limit).
 *
 * Owners are chosen by weighted rendezvous hashing over the view, so that VMs which receive
 * each other's messages agree without an election. A VM that did not answer in time is passed
 * over until it answers a probe. While two VMs disagree on an owner, efficiency suffers, but
 * not safety.
 *
 * VMs that keep more rules rank first, so that what an owner keeps holds for the requests of
 * older VMs, too.
 */
#pragma once

#include "core/view.h"

#include <glib.h>

/* VMs at the top of a key's ranking that are kept probed, so that a responsive successor is
 * known. */
#define DP_OWNER_CANDIDATES 4
/* VMs at the top of the ranking that count as responsive until they time out, in fleets with
 * relays per data centre. Under heavy load several answer late, and skipping too many of them
 * would make a weak VM the owner. */
#define DP_OWNER_CANDIDATES_LARGE 8

typedef struct DpOwners DpOwners;

/* A process that has just started owns nothing for a while if there are other VMs: it knows
 * little about them yet, and they don't choose it either. */
DpOwners *dp_owners_new (DpName self, DpUsec started_at);
void dp_owners_free (DpOwners *owners);

/* Replaces the list of VMs; the state of those that remain is kept. */
void dp_owners_set_view (DpOwners *owners, DpView *view);

/* Returns the owner of the key; this VM itself if no other is known to be responsive. */
DpName dp_owners_choose (DpOwners *owners, DpName key, DpUsec now);

/* TRUE if this VM belongs to the strongest weight class. */
gboolean dp_owners_is_strongest (const DpOwners *owners);

/* A message from the VM was received. This does not clear its leaving state: a leaving VM sends
 * messages until it stops. */
void dp_owners_on_message (DpOwners *owners, DpName vm, DpUsec now);
/* The VM reported whether it is leaving. For this VM itself: it stops, and owns nothing while
 * another VM is responsive. */
void dp_owners_set_leaving (DpOwners *owners, DpName vm, gboolean is_leaving, DpUsec now);
/* The VM reported the level of the rules that it keeps; 0: its message states none. */
void dp_owners_set_rules (DpOwners *owners, DpName vm, guint64 rules);
/* Level of the rules that the VM keeps, from its messages or, before the first, its entry. */
guint64 dp_owners_rules (const DpOwners *owners, DpName vm);
/* The VM did not answer in time. */
void dp_owners_on_timeout (DpOwners *owners, DpName vm, DpUsec now);
gboolean dp_owners_is_unresponsive (const DpOwners *owners, DpName vm);
/* FALSE if the VM is unresponsive or leaving, as far as is known here. */
gboolean dp_owners_is_available (const DpOwners *owners, DpName vm);
/* Moves the VMs that leave or are unresponsive to the end; the order is kept otherwise. */
void dp_owners_prefer_available (const DpOwners *owners, DpName *vms, guint count);
/* Time of the last message from the VM; 0: none. */
DpUsec dp_owners_last_seen_at (const DpOwners *owners, DpName vm);

/* Appends the VMs (DpName) to probe now for the key: its owner and its successors, until
 * `candidates` of them are responsive. */
void
dp_owners_due_probes (DpOwners *owners, DpName key, guint candidates, DpUsec now, GArray *out);

/* Smaller fleets need no relays: each VM watches the store itself. */
#define DP_RELAY_FLEET_MIN 3
/* Up to this size the whole fleet shares the same relays; in larger ones each data centre has
 * its own. */
#define DP_RELAY_SHARED_FLEET_MAX 32
/* VMs that watch the store for the others. */
#define DP_RELAY_COUNT 2

/* TRUE if this VM must watch the store itself: it is a relay, or has none. */
gboolean dp_owners_is_relay (DpOwners *owners);
/* TRUE if this VM, as a relay, forwards the store's state to `vm`. */
gboolean dp_owners_is_relay_client (const DpOwners *owners, const DpVm *vm);

/* Fraction of all VMs, itself included, that this VM received a message from recently. All VMs
 * that use it as an owner send to it often; the others may have chosen other owners. A VM that
 * is not used as an owner receives few messages and gets a low value. */
double dp_owners_reachable_fraction (const DpOwners *owners, DpUsec now);
