/* State shared by the files of this folder. */
#pragma once

#include "core/stream_copies/stream_copies.h"

/* A stream that this VM sends to its group. */
typedef struct DpStreamCopiesLogRow
{
  DpStreamCopy copy;
  DpUsec at;
} DpStreamCopiesLogRow;

/* A stream of another VM that may be lost before its batch: this one is a witness. */
typedef struct DpStreamCopiesWitnessed
{
  DpName version;
  DpUsec at;
} DpStreamCopiesWitnessed;

/* Another VM that sends copies. */
typedef struct DpStreamCopiesSender
{
  DpUsec heard_at;
  guint64 incarnation;  /* of its last batch; 0: none was received */
  guint64 position;     /* of its next batch */
  DpUsec table_sent_at; /* to this VM */
} DpStreamCopiesSender;

/* A VM that was asked a question. */
typedef struct DpStreamCopiesAskedVm
{
  DpName vm;
  guint group;
  gboolean has_answered;
} DpStreamCopiesAskedVm;

/* A question about some streams. */
typedef struct DpStreamCopiesInquiry
{
  guint64 id;
  GArray *wanted;  /* guint64: streams */
  GArray *unknown; /* guint64: those that nobody has told yet */
  guint groups;    /* at the beginning */
  guint8 *settled; /* by group: a VM with all copies has answered */
  GArray *asked;   /* DpStreamCopiesAskedVm */
  guint answered;
  guint round; /* from 0 */
  DpUsec round_started_at;
  gboolean is_over; /* removed with the next tick */
} DpStreamCopiesInquiry;

/* A VM that was asked for its table. */
typedef struct DpStreamCopiesTried
{
  DpName vm;
  guint tries;
  gboolean has_answered;
} DpStreamCopiesTried;

/* What this VM lacks, and whom it asks for it. */
typedef struct DpStreamCopiesSync
{
  gboolean is_due;
  DpUsec due_since; /* what was sent later is known here */
  DpName preferred; /* VM to ask first; 0: none */
  DpName asked;     /* 0: none is outstanding */
  DpUsec asked_at;
  GArray *tried; /* DpStreamCopiesTried */
  DpUsec completed_at;
} DpStreamCopiesSync;

struct DpStreamCopies
{
  DpStreamCopiesOptions options;
  DpView *view;
  gboolean is_sharing;
  DpUsec sharing_since;
  gboolean is_leaving;
  guint groups;
  guint group;            /* of this VM */
  GArray *members;        /* DpName: VMs of the group without this one */
  GArray *writers_before; /* DpName: those that write to the store before this one */
  /* streams to send */
  GArray *log; /* DpStreamCopiesLogRow, oldest first */
  guint sent;  /* rows of the log that were sent */
  guint64 position;
  DpUsec batch_at;       /* last one */
  GHashTable *witnessed; /* stream -> DpStreamCopiesWitnessed */
  DpUsec swept_at;
  GHashTable *senders; /* DpName -> DpStreamCopiesSender */
  DpStreamCopiesSync sync;
  /* questions */
  GArray *pending;      /* guint64: streams to ask about with the next tick */
  GPtrArray *inquiries; /* DpStreamCopiesInquiry */
  guint64 last_inquiry;
  /* the store */
  gboolean is_read;
  gboolean is_writing;
  DpUsec written_at;    /* begin of the last write by this VM */
  DpUsec pending_since; /* first change that is not known to be in the store; 0: none */
  DpStreamCopiesStatus status;
};

/* --- stream_copies.c --- */

/* TRUE if the VM's build knows copies. */
gboolean dp_stream_copies_is_capable (const DpStreamCopies *copies, DpName vm);
/* FALSE while this VM knows that it lacks copies. */
gboolean dp_stream_copies_is_complete (const DpStreamCopies *copies, DpUsec now);

/* Sends to all VMs of the group. */
void dp_stream_copies_send_to_group (DpStreamCopies *copies, const DpMessage *message);
/* The state kept of the VM, a new one if there is none. */
DpStreamCopiesSender *dp_stream_copies_ensure_sender (DpStreamCopies *copies, DpName vm);

/* --- stream_groups.c --- */

/* Number of groups in a fleet of that size. */
guint dp_stream_copies_group_count (guint vms);
guint dp_stream_copies_group_of (DpName vm, guint groups);
/* Sets the group of this VM and its members from the view. */
void dp_stream_copies_update_group (DpStreamCopies *copies);

/* --- stream_tables.c --- */

/* A batch of the VM is missing: its table is asked for. */
void dp_stream_copies_on_gap (DpStreamCopies *copies, DpName from, DpUsec now);
void dp_stream_copies_tick_sync (DpStreamCopies *copies, DpUsec now);
void dp_stream_copies_on_table (DpStreamCopies *copies,
                                DpName from,
                                const DpStreamCopyRows *part,
                                DpUsec now);
void dp_stream_copies_send_table (DpStreamCopies *copies, DpName to, DpUsec now);

/* --- stream_inquiries.c --- */

void dp_stream_copies_tick_inquiries (DpStreamCopies *copies, DpUsec now);
void dp_stream_copies_on_answer (DpStreamCopies *copies,
                                 DpName from,
                                 const DpStreamCopyRows *answer);
void dp_stream_copies_send_answer (DpStreamCopies *copies,
                                   DpName to,
                                   const DpStreamCopiesAsk *question,
                                   DpUsec now);
void dp_stream_copies_inquiry_free (gpointer data);

/* --- stream_store.c --- */

/* A version was recorded that the store doesn't have. */
void dp_stream_copies_on_change (DpStreamCopies *copies, DpUsec now);
/* Another VM has written the group's copies. */
void dp_stream_copies_on_stored (DpStreamCopies *copies);
