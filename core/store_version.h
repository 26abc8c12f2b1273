/* Version of the platform's store.
 *
 * The store may be restored from an older copy. Its revisions then start again from the copy's,
 * and its era rises by one, so that the same revision of two eras is two versions.
 */
#pragma once

#include <glib.h>

typedef struct DpStoreVersion
{
  guint64 era; /* 0: unknown, from an older release or a store without eras */
  guint64 revision;
} DpStoreVersion;

/* Returns a negative number, 0 or a positive number if `a` is older than, the same as or newer
 * than `b`. Without both eras only the revisions count. */
int dp_store_version_compare (DpStoreVersion a, DpStoreVersion b);
