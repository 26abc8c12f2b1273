/* How a VM follows a state that others know, and passes it on: one object for each kind of
 * state.
 *
 * A state is a list of rows with a version of the platform's store. VMs that watch the store
 * state their version and digest in small messages; whoever lacks it asks one VM for it, part
 * by part, and gets what differs from the version it has. Owns the decisions whom to ask, when
 * to ask again or elsewhere, and what is sent to whom; the lists of the last versions; and a
 * state that is on its way.
 *
 * At most one part is on its way to a VM, whatever it misses and however slow its link is. A
 * version that is being transferred is finished before a newer one is asked for; versions
 * between are skipped. A part that is garbled or doesn't fit costs a full transfer, never the
 * state that is known. docs/design/row-sync.md says what happens when each part fails.
 *
 * No I/O, reads no clock.
 */
#pragma once

#include "core/message.h"
#include "core/row_sync/rows.h"

/* Texts of a part, in bytes, unless a single row is larger. */
#define DP_ROW_PART_BYTES ((gsize)16 * 1024)

/* Limits what is sent for all kinds of state together. The owner refills it. */
typedef struct DpRowBudget
{
  gint64 bytes; /* left; may become negative by one part */
} DpRowBudget;

typedef struct DpRowSyncCallbacks
{
  /* `message` is valid only during the call. */
  void (*send) (gpointer user, DpName to, const DpMessage *message);
  /* A newer state is complete. Returns FALSE if it can't be used: it is not asked for again.
   * `age`: time since the store confirmed it. */
  gboolean (*apply) (gpointer user, DpStoreVersion version, DpUsec age, DpRowList *list);
  /* The state that this VM has is also that of a newer version. */
  void (*confirm) (gpointer user, DpStoreVersion version);
  /* Time since the store confirmed this VM's state. */
  DpUsec (*age) (gpointer user);
} DpRowSyncCallbacks;

typedef struct DpRowSyncOptions
{
  DpRowKind kind;
  DpName self;
  DpRowBudget *budget; /* must outlive the object */
  const DpRowSyncCallbacks *callbacks;
  gpointer user;
} DpRowSyncOptions;

typedef struct DpRowSync DpRowSync;

DpRowSync *dp_row_sync_new (const DpRowSyncOptions *options);
void dp_row_sync_free (DpRowSync *sync);

/* Sets this VM's state, from the store. Takes a reference. */
void dp_row_sync_set (DpRowSync *sync, DpStoreVersion version, DpRowList *list, DpUsec now);
/* NULL if there is none yet. */
DpRowList *dp_row_sync_list (const DpRowSync *sync);
DpStoreVersion dp_row_sync_version (const DpRowSync *sync);
/* 0: no state. */
guint64 dp_row_sync_digest (const DpRowSync *sync);

/* How this VM can get the state of the one that made a statement. */
typedef enum DpRowService
{
  DP_ROW_SERVICE_ROWS,  /* it answers questions for parts */
  DP_ROW_SERVICE_LISTS, /* an older build, which the owner asks for whole lists */
  DP_ROW_SERVICE_NONE,  /* not at all: its address is not known */
} DpRowService;

/* What a VM says of its own state. */
typedef struct DpRowStatement
{
  DpStoreVersion version;
  guint64 digest;    /* 0: not known */
  gboolean is_relay; /* the VM watches the store for others */
  DpRowService service;
} DpRowStatement;

void dp_row_sync_on_statement (DpRowSync *sync,
                               DpName from,
                               const DpRowStatement *statement,
                               DpUsec now);
void dp_row_sync_on_ask (DpRowSync *sync, DpName from, const DpRowsAsk *ask, DpUsec now);
void dp_row_sync_on_part (DpRowSync *sync, DpName from, const DpRowsPart *part, DpUsec now);
/* Asks a VM of which nothing is known, for a VM that has just started. */
void dp_row_sync_ask_any (DpRowSync *sync, DpName vm, DpUsec now);
/* This VM stood still: what it was sent meanwhile may not have been read yet. */
void dp_row_sync_on_pause (DpRowSync *sync, DpUsec now);
/* Must be called every DP_ROW_SYNC_INTERVAL: a VM asks for one part in this time. */
#define DP_ROW_SYNC_INTERVAL (20 * DP_USEC_PER_MSEC)
void dp_row_sync_tick (DpRowSync *sync, DpUsec now);

/* What this VM has, compared with what relays state. A message of a relay alone says nothing
 * about it: the relay may have what this VM lacks and can't get. */
typedef enum DpRowStanding
{
  DP_ROW_STANDING_UNCONFIRMED, /* no relay has stated this VM's version, or an older one, lately
                                */
  DP_ROW_STANDING_CONFIRMED,
  DP_ROW_STANDING_FETCHING, /* a newer state is known of, and expected from another VM soon */
  DP_ROW_STANDING_STUCK,    /* a newer state is known of, and does not arrive in time */
} DpRowStanding;

/* In all but DP_ROW_STANDING_CONFIRMED and _FETCHING, the state is to be read from the store.
 * VMs get there at different times, up to DP_ROW_STANDING_SPREAD apart, so that a large system
 * doesn't read the store all at once. */
DpRowStanding dp_row_sync_standing (const DpRowSync *sync, DpUsec now);
#define DP_ROW_STANDING_SPREAD (200 * DP_USEC_PER_MSEC)

typedef struct DpRowSyncStatus
{
  guint64 parts_received;
  guint64 parts_sent;
  guint64 bytes_sent;
  guint64 lists_received; /* complete */
  guint64 fulls_received; /* of these, sent without a base */
  guint64 parts_refused;  /* garbled, or not for the state that this VM has */
  guint64 timeouts;       /* a part was asked for again */
  DpUsec behind;          /* since a newer state is known of; 0: it is the newest known */
  DpUsec confirmed_at;    /* last time a relay stated this state, or an older one; 0: never */
} DpRowSyncStatus;

DpRowSyncStatus dp_row_sync_status (const DpRowSync *sync, DpUsec now);
