/* State shared by the files of this folder. */
#pragma once

#include "core/row_sync/row_delta.h"
#include "core/row_sync/row_sync.h"

/* A state that this VM has, or had lately. */
typedef struct DpRowVersion
{
  DpRowList *list;
  DpStoreVersion version;
  DpUsec used_at; /* last set or asked for */
} DpRowVersion;

/* The last thing that a VM said of its state. */
typedef struct DpRowPeer
{
  DpName vm;
  DpRowStatement statement;
  DpUsec heard_at;
  DpUsec newer_since; /* its state is newer than this VM's; 0: it is not */
  DpUsec failed_at;   /* it did not answer in time; 0: never */
} DpRowPeer;

/* A state that is on its way to this VM. */
typedef struct DpRowTransfer
{
  DpName from;    /* the VM that is asked; 0: no transfer */
  guint64 digest; /* of the complete list; 0: not known before the first part */
  DpStoreVersion version;
  GPtrArray *rows; /* DpRow: those received; NULL before the first part */
  gsize bytes;     /* of their texts */
  guint total;
  gboolean is_full;     /* some parts were sent without a base */
  gboolean is_awaiting; /* a part was asked for and has not come */
  DpUsec asked_at;
  DpUsec begun_at; /* first part; 0: none yet */
  guint timeouts;  /* consecutive */
} DpRowTransfer;

struct DpRowSync
{
  DpRowSyncOptions options;
  GArray *versions;  /* DpRowVersion: this VM's state last, the ones before it first */
  GPtrArray *deltas; /* DpRowDelta: made lately, oldest first */
  GArray *asks;      /* waiting for the budget, see row_source.c */
  GArray *peers;     /* DpRowPeer */
  DpRowTransfer transfer;
  gboolean needs_full; /* a delta did not fit: the next transfer is asked for without one */
  guint64 refused;     /* digest of a state that can't be used; 0: none */
  DpStoreVersion refused_version; /* a later version of the same state may be of use */
  DpUsec behind_since;            /* 0: no newer state is known of */
  DpUsec progressed_at;           /* last part, or the begin of behind_since */
  gboolean is_obtainable;         /* a VM that has a newer state can be asked for it */
  DpUsec confirmed_at; /* a relay stated this VM's version, or an older one; 0: never */
  DpRowSyncStatus status;
};

/* --- row_source.c: what others are sent --- */

/* Forgets states that nobody has asked for lately. */
void dp_row_source_expire (DpRowSync *sync, DpUsec now);
/* Sends what was asked for, as far as the budget allows. */
void dp_row_source_serve (DpRowSync *sync, DpUsec now);
void dp_row_source_on_ask (DpRowSync *sync, DpName from, const DpRowsAsk *ask, DpUsec now);
void dp_row_source_init (DpRowSync *sync);
void dp_row_source_clear (DpRowSync *sync);

/* --- row_follower.c: what this VM asks for --- */

void dp_row_follower_init (DpRowSync *sync);
void dp_row_follower_clear (DpRowSync *sync);
/* This VM's state has changed. */
void dp_row_follower_on_set (DpRowSync *sync);
void dp_row_follower_advance (DpRowSync *sync, DpUsec now);

/* --- row_sync.c --- */

/* This VM's state, or NULL. */
DpRowVersion *dp_row_sync_current (const DpRowSync *sync);
