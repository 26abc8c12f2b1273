/* The directory: targets that register themselves, as this process knows them.
 *
 * Rows come from the platform's listing and watch, or from a peer. A target that was once seen
 * draining stays so for its lifetime, whatever an older answer says. Entries that lapse while
 * the platform can't be reached may be alive: they are kept until a grace time after its return.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"
#include "common/table.h"

#include <glib.h>

#define DP_TARGET_TEXT_BYTES 64

/* What a target says of itself. */
typedef struct DpTargetRecord
{
  char id[DP_TARGET_TEXT_BYTES]; /* of this lifetime, mostly */
  char pool[DP_TARGET_TEXT_BYTES];
  char data_centre[DP_TARGET_TEXT_BYTES];
  char address[46]; /* IP number */
  guint port_number;
  guint slots; /* requests that it runs at once */
  gboolean is_draining;
  guint64 started; /* Unix milliseconds; tells lifetimes under one id apart */
} DpTargetRecord;

typedef struct DpDirectoryRow
{
  DpHandle self;
  DpName name; /* of the id */
  DpName pool;
  DpName data_centre;
  DpTargetRecord record;
  gboolean is_listed;   /* FALSE: lapsed while the platform was out of reach */
  DpUsec lapsed_since;  /* if it is not listed */
} DpDirectoryRow;

typedef struct DpDirectory DpDirectory;

DpDirectory *dp_directory_new (void);
void dp_directory_free (DpDirectory *directory);

/* Takes one record. FALSE: it changes nothing, for example since it is older than a drain that
 * was seen. */
gboolean dp_directory_put (DpDirectory *directory, const DpTargetRecord *record);

/* The entry is gone from the platform. With `may_live`, it lapsed while the platform was out of
 * reach: the target is kept until dp_directory_expire() drops it. */
void dp_directory_remove (DpDirectory *directory, DpName name, gboolean may_live, DpUsec now);

/* Takes a whole listing: puts its rows and removes the others. */
void dp_directory_replace (DpDirectory *directory,
                           const DpTargetRecord *records,
                           guint count,
                           gboolean may_live,
                           DpUsec now);

/* Drops rows that have been missing since before `before`. */
void dp_directory_expire (DpDirectory *directory, DpUsec before);

/* NULL: not known. */
const DpDirectoryRow *dp_directory_find (const DpDirectory *directory, DpName name);
/* TRUE if new requests may go to the target. */
gboolean dp_directory_may_use (const DpDirectory *directory, DpName name);

/* Iterates: start with 0, ends with NULL. */
const DpDirectoryRow *dp_directory_next (const DpDirectory *directory, DpHandle *at);
guint dp_directory_count (const DpDirectory *directory);

/* Rises with each change of a row. */
guint64 dp_directory_version (const DpDirectory *directory);
