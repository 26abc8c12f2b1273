/* Remembers a 64-bit value for each of many keys, for a bounded time and in bounded memory.
 *
 * Keys are kept in two generations. When the newer one is full or old enough, the older one is
 * forgotten as a whole.
 */
#pragma once

#include "common/id.h"

#include <glib.h>

typedef struct DpRecentMap DpRecentMap;

/* A value is kept for `duration` at least, unless there are more than `keys_max` newer ones. */
DpRecentMap *dp_recent_map_new (DpUsec duration, guint keys_max);
void dp_recent_map_free (DpRecentMap *map);
void dp_recent_map_set_duration (DpRecentMap *map, DpUsec duration);

void dp_recent_map_put (DpRecentMap *map, guint64 key, guint64 value, DpUsec now);
/* Returns 0 if there is none. */
guint64 dp_recent_map_get (const DpRecentMap *map, guint64 key);

typedef void (*DpRecentMapFunc) (guint64 key, guint64 value, gpointer data);

/* Calls `function` for each key; the newest ones come first, though not in order. */
void dp_recent_map_foreach (const DpRecentMap *map, DpRecentMapFunc function, gpointer data);
