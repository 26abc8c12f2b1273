/* Identifiers shared by all processes: 64-bit hashes of names and 128-bit request ids.
 *
 * Processes identify targets, workspaces, tiers, models, groups and VMs to each other by the
 * 64-bit hash of the name, which is the same in every manifest revision.
 */
#pragma once

#include <glib.h>

/* Microseconds. Timestamps are on the clock of the process or on the virtual clock. */
typedef gint64 DpUsec;

#define DP_USEC_PER_MSEC ((DpUsec)1000)
#define DP_USEC_PER_SEC ((DpUsec)1000000)

/* Hash of a name; 0: none. */
typedef guint64 DpName;

typedef struct DpId
{
  guint64 high;
  guint64 low;
} DpId;

/* Bytes of a formatted DpId, including the terminating NUL. */
#define DP_ID_STRING_SIZE 33

/* Hash of a NUL-terminated name; 0 only for NULL and "". */
DpName dp_name (const char *text);

/* Hash of an ordered pair of names, for example (pool, data centre). Never 0. */
DpName dp_name_pair (DpName first, DpName second);

/* 64-bit hash of `length` bytes. Pass a previous hash as `seed` to chain hashes. */
guint64 dp_hash_bytes (const void *data, gsize length, guint64 seed);

/* Rendezvous weight of `member` for `key`. The live member with the highest weight is owner. */
guint64 dp_rendezvous_weight (DpName key, DpName member);

gboolean dp_id_equal (DpId a, DpId b);
gboolean dp_id_is_none (DpId id);

/* Hash and equality functions for GHashTable keys of type DpId *. */
guint dp_id_hash (gconstpointer id);
gboolean dp_id_equal_func (gconstpointer a, gconstpointer b);

/* Writes 32 lowercase hexadecimal digits and a terminating NUL. */
void dp_id_format (DpId id, char out[DP_ID_STRING_SIZE]);

/* Parses exactly 32 hexadecimal digits. On failure returns FALSE and leaves `out` unchanged. */
gboolean dp_id_parse (const char *text, DpId *out);
