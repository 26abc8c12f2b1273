/* Sets of 64-bit keys: sorted arrays (GArray of guint64) without repetitions. They are shared
 * by reference, see g_array_ref(), and not changed once they are complete. */
#pragma once

#include <glib.h>

/* Returns a new, empty set with room for `count` keys. */
GArray *dp_key_set_new (guint count);
/* Appends in any order; dp_key_set_complete() must follow. */
void dp_key_set_append (GArray *set, guint64 key);
/* Sorts the keys and drops repetitions. */
void dp_key_set_complete (GArray *set);

/* `set` may be NULL, as an empty one. */
guint dp_key_set_count (const GArray *set);
guint64 dp_key_set_get (const GArray *set, guint index);
gboolean dp_key_set_contains (const GArray *set, guint64 key);
/* TRUE if `set` has all keys of `subset`. */
gboolean dp_key_set_includes (const GArray *set, const GArray *subset);
/* Returns a new set of the keys that are not in `other`. */
GArray *dp_key_set_subtract (const GArray *set, const GArray *other);
