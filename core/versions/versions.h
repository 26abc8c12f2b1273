/* Software versions of a pool's targets, and which of them began each stream.
 *
 * What two versions write doesn't fit together, so a stream may go on only at the version that
 * began it. While a single version has served a pool for as long as streams last, it began all
 * of them. Otherwise the version has to be recorded for each stream.
 *
 * After the loss of all VMs, the list in the store has to name every version that may have
 * begun a stream. So a version that a complete list leaves out begins none until it was written
 * there. No I/O.
 */
#pragma once

#include "core/directory.h"
#include "core/recent_map.h"

/* Longest time that a version begins no resumable streams because the list can't be written.
 * After that, streams that it began may be joined if all VMs and all of its targets are lost
 * before the list is written. */
#define DP_VERSION_HOLD_MAX (2 * DP_USEC_PER_SEC)

typedef struct DpVersionsOptions
{
  DpUsec
    stream_lifetime; /* longest time from a stream's first event until its caller gives up */
  DpUsec started_at; /* versions from before were not observed */
  gboolean is_first_start; /* of the whole system: no stream can have begun before */
  guint streams_max;       /* recorded, at least */
} DpVersionsOptions;

typedef struct DpVersions DpVersions;

/* Era of a list whose era can't be read: above those of stores, so equal to none. */
#define DP_STORE_ERA_INVALID G_MAXUINT64

/* A pool's recent versions as they are kept in the store. */
typedef struct DpVersionList
{
  GArray *versions; /* DpSoftwareVersion */
  guint64 era;      /* of the store when the list was written; 0: not stated, or the store has
                     * none */
} DpVersionList;

DpVersions *dp_versions_new (const DpVersionsOptions *options);
void dp_versions_free (DpVersions *versions);
void dp_versions_set_lifetime (DpVersions *versions, DpUsec stream_lifetime);
DpUsec dp_versions_lifetime (const DpVersions *versions);

/* A target with this version serves the pool, or may have served it until now. */
void dp_versions_observe (DpVersions *versions,
                          DpName pool,
                          const DpSoftwareVersion *version,
                          DpUsec now);
/* Targets may have served and left since the last observations: the lists are incomplete again.
 */
void dp_versions_begin_gap (DpVersions *versions, DpUsec now);
/* The list was read from the store in its era `store_era`. Its versions are observed. Unless
 * the store was restored since it was written, they are all that served before this process
 * started, or in the last gap: returns TRUE. Versions that a restored store has forgotten may
 * have begun streams, too. */
gboolean dp_versions_apply_list (
  DpVersions *versions, DpName pool, const DpVersionList *list, guint64 store_era, DpUsec now);
/* The list was written to the store in its era `store_era`. */
void dp_versions_set_stored (DpVersions *versions,
                             DpName pool,
                             const DpVersionList *list,
                             guint64 store_era);
/* All lists in the store were read, from `began_at` on. */
void dp_versions_set_read (DpVersions *versions, DpUsec began_at);
/* The last attempt to read the lists has failed. */
void dp_versions_set_unreadable (DpVersions *versions);
/* FALSE if a target of the version may begin no resumable stream yet: a list that a VM would
 * take for complete leaves the version out, or may by now, as far as this VM has read. While
 * the lists can't be read, they hold nothing up. */
gboolean
dp_versions_may_begin (const DpVersions *versions, DpName pool, DpName version, DpUsec now);
/* Returns the only version that can have begun a stream of the pool; 0 if there may be several,
 * or if its targets don't state theirs. */
DpName dp_versions_single (const DpVersions *versions, DpName pool, DpUsec now);
/* TRUE if several versions may have begun streams of the pool. FALSE without targets. */
gboolean dp_versions_may_differ (const DpVersions *versions, DpName pool, DpUsec now);
/* Returns all versions (DpSoftwareVersion) that may have begun a stream, if the store's list
 * has to be replaced by them; NULL if it has them, some may be unknown, or there are none. */
GArray *dp_versions_list_to_store (const DpVersions *versions, DpName pool, DpUsec now);

/* `stream` is a hash of the id of the request that brought its first event. */
void
dp_versions_record_stream (DpVersions *versions, guint64 stream, DpName version, DpUsec now);
/* Returns 0 if it is not known. */
DpName dp_versions_of_stream (const DpVersions *versions, guint64 stream);
/* Calls `function` with each recorded stream and its version, see dp_recent_map_foreach(). */
void dp_versions_foreach_stream (const DpVersions *versions,
                                 DpRecentMapFunc function,
                                 gpointer data);

/* Answers of the VMs that were asked for a stream's version. */
typedef struct DpVersionAnswers
{
  guint due;
  DpName guessed; /* 0: none */
  gboolean is_disputed;
} DpVersionAnswers;

/* `is_recorded` FALSE: the sender may have taken the version for the stream's because it knows
 * of no other. Returns TRUE once all answers are there, or a recorded version; `found` is 0 if
 * the version can't be told. */
gboolean dp_version_answers_add (DpVersionAnswers *answers,
                                 DpName version,
                                 gboolean is_recorded,
                                 DpName *found);
/* No further answers are expected. Returns 0 if the version can't be told. */
DpName dp_version_answers_end (DpVersionAnswers *answers);
