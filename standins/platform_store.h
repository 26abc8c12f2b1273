/* Objects of the stand-in platform: values with versions that only rise over all objects. */
#pragma once

#include <glib.h>

typedef struct StoredObject
{
  GBytes *value;
  guint64 version;
  GBytes *previous_value; /* the value before, for stale reads; may be NULL */
  guint64 previous_version;
} StoredObject;

typedef enum StoreStatus
{
  STORE_DONE,
  STORE_ABSENT,   /* there is no such object */
  STORE_MISMATCH, /* the version differs */
} StoreStatus;

typedef struct Store Store;

Store *store_new (void);
void store_free (Store *store);

/* The object, or NULL; valid until the next change. */
const StoredObject *store_get (Store *store, const char *path);

/* Writes if the object's version is `expected`; 0: if there is none. Takes its own reference
 * of the value. `version` receives the new version. */
StoreStatus
store_put (Store *store, const char *path, guint64 expected, GBytes *value, guint64 *version);

/* Removes if the object's version is `expected`. */
StoreStatus store_remove (Store *store, const char *path, guint64 expected);

/* Paths with that prefix, sorted; owned by the store. Free with g_list_free(). */
GList *store_list (Store *store, const char *prefix);
