/* Identifiers shared by all processes: 64-bit hashes of names and 128-bit request ids.
 *
 * Names (targets, workspaces, tiers, models, groups, VMs) travel between processes as 64-bit
 * hashes, so that two processes on different manifest revisions agree on what is meant.
 */
#pragma once

#include <glib.h>

/* Microseconds. Absolute values are on the clock of the process (or the virtual clock). */
typedef gint64 DpUsec;

#define DP_USEC_PER_MSEC ((DpUsec)1000)
#define DP_USEC_PER_SEC ((DpUsec)1000000)

/* Hash of a name; 0 means "none". */
typedef guint64 DpName;

typedef struct DpId
{
  guint64 high;
  guint64 low;
} DpId;

/* Characters of a formatted DpId, with the terminating NUL. */
#define DP_ID_STRING_SIZE 33

/* Hash of a NUL-terminated name. NULL or "" gives 0; nothing else does. */
DpName dp_name (const char *text);

/* Hash of a name made of two names, for example (pool, data centre). */
DpName dp_name_pair (DpName first, DpName second);

/* 64-bit hash of `length` bytes, chained from `seed`. */
guint64 dp_hash_bytes (const void *data, gsize length, guint64 seed);

/* Rendezvous weight of `member` for `key`: the live member of the highest weight owns the key.
 */
guint64 dp_rendezvous_weight (DpName key, DpName member);

gboolean dp_id_equal (DpId a, DpId b);
gboolean dp_id_is_none (DpId id);

/* For GHashTable keys that point to a DpId. */
guint dp_id_hash (gconstpointer id);
gboolean dp_id_same (gconstpointer a, gconstpointer b);

/* Writes 32 lowercase hexadecimal digits and a NUL. */
void dp_id_format (DpId id, char out[DP_ID_STRING_SIZE]);

/* Parses 32 hexadecimal digits. Returns FALSE, leaving `out` alone, on anything else. */
gboolean dp_id_parse (const char *text, DpId *out);
