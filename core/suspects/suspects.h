/* Finds out which requests, or which parts of prompts, crash targets.
 *
 * A request has several keys: a fingerprint of what a target receives, and a hash of each part
 * of its prompt that it shares with other requests. A key is blocked after several targets
 * broke off while running requests with it:
 *
 * - A failure counts for a key only if its request was sent after the last counted one, so
 *   that targets which crash together for another reason count once.
 * - A complete response clears the failures of all keys of its request.
 * - A key that was served before needs more failures than one that never was.
 * - Once a key is blocked, it explains all failures of its requests' targets: they don't count
 *   for other keys.
 * - Keys with the same evidence are blocked jointly: only requests with all of them are, until
 *   a request with some of them has failed or was answered.
 *
 * These conclusions exclude, so they need all keys of a request. If a failure can't be counted
 * for all of them, for lack of room, it counts for the request as a whole only: blaming the
 * rest could block what is innocent.
 *
 * After a while, one request with a blocked key may be sent as a trial, which shows whether the
 * key was blocked by mistake. VMs exchange their conclusions in DpSuspect messages. Keys of
 * requests are sets, see core/key_set.h. No I/O.
 */
#pragma once

#include "core/message.h"

/* Counted failures that are remembered for each key. */
#define DP_SUSPECT_FAILURES_MAX 5
/* The lowest bit of a key tells parts of prompts from whole requests. */
#define DP_SUSPECT_PART_BIT G_GUINT64_CONSTANT (1)

/* Returns those of a request's keys that stand for it as a whole. */
GArray *dp_suspects_without_parts (const GArray *keys);

typedef struct DpSuspectOptions
{
  guint failures_max;        /* of a key that was not served before */
  guint failures_max_served; /* of one that was; at most DP_SUSPECT_FAILURES_MAX */
  DpUsec served_duration;    /* for which served keys are remembered, at least */
  DpUsec block_duration;     /* until the first trial; the next takes four times as long */
  guint trials_max;
  DpUsec memory_duration; /* a key is forgotten after this time without such a request */
  guint rows_max;         /* keys; those with few failures give way to others */
} DpSuspectOptions;

typedef struct DpSuspectTable DpSuspectTable;

DpSuspectTable *dp_suspects_new (const DpSuspectOptions *options);
void dp_suspects_free (DpSuspectTable *table);

/* A target broke off while it ran a request with these keys. Appends the keys (guint64) about
 * which other VMs must be told to `changed`. */
void dp_suspects_record_failure (DpSuspectTable *table,
                                 const GArray *keys,
                                 DpName target,
                                 DpUsec sent_at,
                                 DpUsec now,
                                 GArray *changed);

/* A request with these keys was answered completely at `served_at`. */
void dp_suspects_record_served (
  DpSuspectTable *table, const GArray *keys, DpUsec served_at, DpUsec now, GArray *changed);

/* TRUE if failures were counted for one of the keys, here or by another VM. */
gboolean dp_suspects_includes_any (const DpSuspectTable *table, const GArray *keys);
/* Time of a complete response to a request with the key; 0: not known. */
DpUsec dp_suspects_served_at (const DpSuspectTable *table, guint64 key);

/* TRUE if a request with these keys must not be sent; `remaining` (may be NULL) is set to the
 * time until it may be worth a new attempt. */
gboolean
dp_suspects_blocks (DpSuspectTable *table, const GArray *keys, DpUsec now, DpUsec *remaining);
/* Returns TRUE if the blocked request may be sent as a trial. At most one VM may call this. */
gboolean dp_suspects_begin_trial (DpSuspectTable *table,
                                  const GArray *keys,
                                  DpUsec now,
                                  GArray *changed);

/* State of a key, for other VMs; without failures and not blocked if there is none. Clear it
 * with dp_suspect_clear(). The state of one key that is blocked jointly is that of all. */
DpSuspect dp_suspects_state (const DpSuspectTable *table, guint64 key, DpUsec now);
/* Applies another VM's state of a key, and of those that are blocked jointly with it. Returns
 * TRUE if more requests are blocked since then. */
gboolean dp_suspects_merge (DpSuspectTable *table, const DpSuspect *state, DpUsec now);
/* Appends the keys that stand for blocks: one that is blocked by itself, or the first of a set
 * that is blocked jointly. */
void dp_suspects_list_blocked (const DpSuspectTable *table, GArray *keys);
/* Appends the keys that stood for blocks which failures and responses have ended since the last
 * call. */
void dp_suspects_take_ended (DpSuspectTable *table, GArray *keys);
/* Number of keys with counted failures. */
guint dp_suspects_count (const DpSuspectTable *table);

/* Forgets what has expired; appends the blocked keys among it. */
void dp_suspects_tick (DpSuspectTable *table, DpUsec now, GArray *expired);
