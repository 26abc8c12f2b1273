/* The directory: this process's copy of the target registrations.
 *
 * Rows come from the platform's listing and watch, or from a peer. Draining is final for an
 * incarnation: an older record that arrives later does not undo it. Registrations that expire
 * while the platform is unreachable may belong to live targets, so they are kept until a grace
 * period after the platform is reachable again.
 */
#pragma once

#include "common/counters.h"
#include "common/id.h"
#include "common/table.h"
#include "core/versions/software_version.h"

#include <glib.h>

/* Live targets register again within this time once the platform is reachable again. */
#define DP_RECONNECT_GRACE_PERIOD (2 * DP_USEC_PER_SEC)

#define DP_TARGET_TEXT_BYTES 64

/* A target's own registration. */
typedef struct DpTargetRecord
{
  char id[DP_TARGET_TEXT_BYTES]; /* usually unique to the incarnation */
  char pool[DP_TARGET_TEXT_BYTES];
  char data_centre[DP_TARGET_TEXT_BYTES];
  char address[46]; /* IPv4 or IPv6, as text */
  guint port_number;
  guint slots; /* requests it runs concurrently */
  gboolean is_draining;
  guint64 started; /* Unix milliseconds; distinguishes incarnations with the same id */
  DpSoftwareVersion version; /* not of a model's weights */
} DpTargetRecord;

/* Limit on the requests that a target accepts, as it states in its responses. */
typedef struct DpTargetLimit
{
  gboolean is_set;
  double per_second;  /* requests from all VMs together */
  DpUsec observed_at; /* time of the latest response that this is based on; 0: none */
  DpUsec changed_at;  /* when this VM learned of a limit, or of its end; 0: never */
} DpTargetLimit;

/* A brittle target crashes if it rejects too many requests. Targets of which no response is
 * known yet are taken for brittle if others of their pool are. */
typedef struct DpTargetBrittleness
{
  gboolean is_set;
  guint rejections_max; /* in a second, from all VMs together */
  DpUsec observed_at;   /* as in DpTargetLimit */
  DpUsec changed_at;
} DpTargetBrittleness;

typedef struct DpDirectoryRow
{
  DpHandle self;
  DpName name; /* hash of record.id */
  DpName pool;
  DpName data_centre;
  DpName version; /* hash of its text; 0: not stated */
  DpTargetRecord record;
  DpUsec paused_until; /* the target refuses this VM's requests until then */
  DpTargetLimit limit;
  DpTargetBrittleness brittle;
  gboolean is_listed; /* FALSE: expired at the platform, kept for the grace period */
} DpDirectoryRow;

typedef struct DpDirectory DpDirectory;

DpDirectory *dp_directory_new (void);
void dp_directory_free (DpDirectory *directory);

/* Adds or updates a row. Returns FALSE if nothing changed, e.g. because the record belongs to
 * an older incarnation. */
gboolean dp_directory_put (DpDirectory *directory, const DpTargetRecord *record);

/* Records that the platform's target records were read at `now`. If the previous contact is
 * more than `lifetime` (of a registration) ago, starts the grace period in which
 * targets missing from the platform are kept. */
void dp_directory_record_contact (DpDirectory *directory, DpUsec lifetime, DpUsec now);

/* The platform's store was restored from an older copy: starts the grace period. */
void dp_directory_begin_grace_period (DpDirectory *directory, DpUsec now);

/* TRUE if this incarnation, or a newer one, was removed and has not been put since. */
gboolean dp_directory_is_gone (const DpDirectory *directory, DpName name, guint64 started);

/* Handles a registration that was removed from the platform. During the grace period the row is
 * kept, unless the target was draining. */
void dp_directory_remove (DpDirectory *directory, DpName name, DpUsec now);

/* Applies a complete listing: puts its records and removes all other rows. */
void dp_directory_replace (DpDirectory *directory,
                           const DpTargetRecord *records,
                           guint count,
                           DpUsec now);

/* Drops rows that are still missing after the grace period. Must not be called while the
 * platform is unreachable. */
void dp_directory_expire (DpDirectory *directory, DpUsec now);

/* Records the target's own announcement that it is shutting down; `started` identifies the
 * incarnation. Returns FALSE if that was known, or if the row is of a newer incarnation. */
gboolean dp_directory_record_leaving (DpDirectory *directory, DpName name, guint64 started);
/* Marks the target as not usable by this VM before `until`. */
void dp_directory_pause (DpDirectory *directory, DpName name, DpUsec until);

typedef struct DpLimitReport
{
  DpName target;
  guint64 started;    /* identifies the target's incarnation */
  gboolean is_set;    /* FALSE: the target has no limit any more */
  double per_second;  /* if set */
  DpUsec observed_at; /* time of the response */
} DpLimitReport;

/* Records a target's limit unless a later response is known. Returns TRUE if the limit changed.
 */
gboolean
dp_directory_record_limit (DpDirectory *directory, const DpLimitReport *report, DpUsec now);

typedef struct DpBrittleReport
{
  DpName target;
  guint64 started;      /* identifies the target's incarnation */
  gboolean is_set;      /* FALSE: the target is not brittle any more */
  guint rejections_max; /* if set */
  DpUsec observed_at;   /* time of the response */
} DpBrittleReport;

/* Records whether a target is brittle unless a later response is known. The first brittle
 * target makes all others of its pool brittle until their own responses say otherwise. Returns
 * TRUE if a target changed. */
gboolean
dp_directory_record_brittle (DpDirectory *directory, const DpBrittleReport *report, DpUsec now);

/* TRUE if targets of the pool are brittle, or were when they were last seen. */
gboolean dp_directory_is_pool_brittle (const DpDirectory *directory, DpName pool);

/* Time of the last contact with the platform; 0 if there was none. */
DpUsec dp_directory_last_contact_at (const DpDirectory *directory);

/* Returns NULL if the target is unknown. */
const DpDirectoryRow *dp_directory_find (const DpDirectory *directory, DpName name);
/* Returns TRUE if new requests may be sent to the target. */
gboolean dp_directory_may_use (const DpDirectory *directory, DpName name, DpUsec now);

/* Iterates over all rows: start with *at = 0; returns NULL at the end. */
const DpDirectoryRow *dp_directory_next (const DpDirectory *directory, DpHandle *at);
guint dp_directory_count (const DpDirectory *directory);

/* Incremented with each change of a row, pauses excepted. */
guint64 dp_directory_version (const DpDirectory *directory);
