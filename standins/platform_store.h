/* Versioned objects of the stand-in platform. One version counter, which only increases, serves
 * all objects. */
#pragma once

#include <glib.h>

typedef struct StoredObject
{
  GBytes *value;
  guint64 version;
  GBytes *previous_value; /* for stale reads; NULL: the object was written once */
  guint64 previous_version;
} StoredObject;

typedef enum StoreStatus
{
  STORE_DONE,
  STORE_NOT_FOUND, /* the object does not exist */
  STORE_MISMATCH,  /* the version is not the expected one */
} StoreStatus;

typedef struct Store Store;

Store *store_new (void);
void store_free (Store *store);

/* Returns the object, or NULL; valid until the next change. */
const StoredObject *store_get (Store *store, const char *path);

/* Writes if the object's version is `expected`; 0: if it does not exist. Takes a reference to
 * `value`. Sets `version` to the new version on success. */
StoreStatus
store_put (Store *store, const char *path, guint64 expected, GBytes *value, guint64 *version);

/* Removes the object if its version is `expected`. */
StoreStatus store_remove (Store *store, const char *path, guint64 expected);

/* Returns the paths with that prefix, sorted. The store owns the strings; free the list with
 * g_list_free(). */
GList *store_list (Store *store, const char *prefix);
