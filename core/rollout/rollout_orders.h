/* Orders to roll out versions, as one VM knows them: from the store, from other VMs' messages,
 * and by the versions of targets that it has seen.
 *
 * Owns the precedence of states, the versions that must not be used, and the versions that are
 * held back until the list of orders is newer than their targets. It decides on no roll-out,
 * see core/rollout/rollout.h.
 *
 * All times are relative to `now` of each call. Does no I/O and reads no clock.
 */
#pragma once

#include "common/id.h"
#include "core/directory.h"
#include "core/rollout/rollout.h"
#include "core/store_version.h"

#include <glib.h>

/* Longer names of versions can't be read: nothing new gets requests in that pool then. */
#define DP_ROLLOUT_TARGET_BYTES 1024

/* An order in the store. */
typedef struct DpRolloutRow
{
  char service[DP_TARGET_TEXT_BYTES];
  /* Version, whole, since the status has to repeat it; "": it can't be read. */
  char target[DP_ROLLOUT_TARGET_BYTES];
  DpUsec duration;      /* 0: the order can't be followed */
  guint64 created;      /* revision of the store at which the object was created */
  guint64 revision;     /* of its last change */
  DpRolloutState state; /* in the store, for this order; NONE: none */
  DpUsec age;           /* since the order became known to any VM */
} DpRolloutRow;

/* What a VM says of an order to all others. */
typedef struct DpRolloutNotice
{
  DpName pool;
  DpName order;
  DpName version;
  DpRolloutState state;
  DpUsec age;
  gboolean is_owner; /* the sender assigns the pool's requests */
} DpRolloutNotice;

typedef struct DpRolloutEntry
{
  DpName pool;
  DpName id;
  DpName version; /* 0: unknown */
  DpRolloutRow row;
  DpUsec known_at;      /* the earliest time at which a VM knew the order */
  DpRolloutState heard; /* strictest state of messages and of this VM's decisions */
  DpRolloutState final; /* read from the store; NONE: none yet */
  gboolean is_withdrawn;
} DpRolloutEntry;

typedef struct DpRolloutOrders DpRolloutOrders;

DpRolloutOrders *dp_rollout_orders_new (void);
void dp_rollout_orders_free (DpRolloutOrders *orders);

/* --- the store's list --- */

/* Adds an order, or applies a change of it. Returns FALSE if an equal or newer one is known. */
gboolean dp_rollout_orders_put (DpRolloutOrders *orders, const DpRolloutRow *row, DpUsec now);
/* The order was deleted. Returns FALSE if it was not known. */
gboolean dp_rollout_orders_withdraw (DpRolloutOrders *orders, DpName pool);
/* Applies a complete list: all other orders were deleted. Returns TRUE if anything changed. */
gboolean dp_rollout_orders_replace (DpRolloutOrders *orders, const GArray *rows, DpUsec now);
/* The list is that of the store at this version. */
void dp_rollout_orders_confirm (DpRolloutOrders *orders, DpStoreVersion version);
/* The store was restored from a copy: revisions start again, and those of the orders say
 * nothing any more. */
void dp_rollout_orders_begin_era (DpRolloutOrders *orders, guint64 era);
/* Version of the list; revision 0: none was read. */
DpStoreVersion dp_rollout_orders_version (const DpRolloutOrders *orders);
/* Returns the orders that the store has: a new array of DpRolloutRow. */
GArray *dp_rollout_orders_list (const DpRolloutOrders *orders, DpUsec now);

/* --- states --- */

/* Returns NULL if there is none. */
const DpRolloutEntry *dp_rollout_orders_find (const DpRolloutOrders *orders, DpName pool);
/* Iterates over all entries: start with *at = 0; returns NULL at the end. */
const DpRolloutEntry *dp_rollout_orders_next (const DpRolloutOrders *orders, guint *at);
/* A final state in the store takes precedence over all messages; otherwise the strictest one
 * counts. An order that was withdrawn or can't be followed counts as rolled back. */
DpRolloutState dp_rollout_entry_state (const DpRolloutEntry *entry);
/* FALSE if the order can't be followed, or was withdrawn. */
gboolean dp_rollout_entry_is_followed (const DpRolloutEntry *entry);
DpUsec dp_rollout_entry_age (const DpRolloutEntry *entry, DpUsec now);
/* Another VM, or this one as the owner, states this. Returns TRUE if the entry's state or age
 * changed. Notices of other orders are ignored. */
gboolean
dp_rollout_orders_hear (DpRolloutOrders *orders, const DpRolloutNotice *notice, DpUsec now);
/* TRUE if the entry has a stricter state than the notice, which its sender should learn. */
gboolean dp_rollout_entry_is_stricter (const DpRolloutEntry *entry,
                                       const DpRolloutNotice *notice);

/* --- versions --- */

/* Synchronizes the versions of all pools with the directory, whose list of targets is that of
 * the store at `version`. */
void dp_rollout_orders_observe (DpRolloutOrders *orders,
                                const DpDirectory *directory,
                                DpStoreVersion version);
/* FALSE if no target of the version may get a request: it is held back, its order is rolled
 * back or uncertain, or an earlier order for it was replaced before it was completed. */
gboolean dp_rollout_orders_may_use (const DpRolloutOrders *orders, DpName pool, DpName version);
/* TRUE while the pool's owner must assign all its requests: the store has no final state of the
 * order yet, or targets of another version are still listed after its completion. */
gboolean dp_rollout_orders_is_active (const DpRolloutOrders *orders, DpName pool);
/* Sets `order` to what the pool's dispatcher must keep: the order in progress, or else a
 * version that must not be used. Returns FALSE if there is neither. */
gboolean dp_rollout_orders_for_dispatcher (const DpRolloutOrders *orders,
                                           DpName pool,
                                           DpUsec now,
                                           DpRolloutOrder *order);
/* TRUE if a version of any pool is held back until the list of orders is newer. */
gboolean dp_rollout_orders_is_list_due (const DpRolloutOrders *orders);
/* Number of versions of the pool's targets. */
guint dp_rollout_orders_count_versions (const DpRolloutOrders *orders, DpName pool);
