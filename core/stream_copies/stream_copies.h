/* Copies of the software versions that began streams, so that a stream which is taken up can go
 * on after any number of VMs were lost.
 *
 * Each VM has one object. It owns the decisions which streams are sent to which VMs and when,
 * whom to ask about a stream that this VM doesn't know, whether this VM lacks copies and from
 * whom to get them, and when the group's copies are to be written to the store. The versions
 * themselves are recorded in DpVersions.
 *
 * The fleet is divided into groups by a hash of the VMs' names; a small fleet is one group. All
 * VMs of a group know all streams of the group, except for the last batches. A VM that has
 * started or missed a batch is incomplete until it has the table of one that is complete.
 * Nothing is sent while a single version serves. What happens when a part fails:
 * docs/design/stream-copies.md.
 *
 * A copy that is missing makes a version unknown, never wrong. No I/O, reads no clock.
 */
#pragma once

#include "core/message.h"
#include "core/owners.h"
#include "core/versions/versions.h"

/* `message` is valid only during the call. */
typedef void (*DpStreamCopiesSend) (gpointer user, DpName to, const DpMessage *message);

typedef struct DpStreamCopiesOptions
{
  DpName self;
  guint64 incarnation; /* of this process */
  DpUsec started_at;
  gboolean is_first_start; /* of the whole system: there are no earlier streams */
  DpVersions *versions;    /* must outlive the object */
  const DpOwners *owners;  /* the same; tells which VMs respond */
  DpStreamCopiesSend send;
  gpointer user;
} DpStreamCopiesOptions;

typedef struct DpStreamCopies DpStreamCopies;

DpStreamCopies *dp_stream_copies_new (const DpStreamCopiesOptions *options);
void dp_stream_copies_free (DpStreamCopies *copies);

void dp_stream_copies_set_view (DpStreamCopies *copies, DpView *view);
/* Several versions may have begun streams: copies are needed. */
void dp_stream_copies_set_sharing (DpStreamCopies *copies, gboolean is_sharing, DpUsec now);
gboolean dp_stream_copies_is_sharing (const DpStreamCopies *copies);
/* This VM stops: sends at once what waits for the next batch, and delays no further ones. */
void dp_stream_copies_leave (DpStreamCopies *copies, DpUsec now);

/* This VM forwarded the stream's first event. */
void
dp_stream_copies_add_own (DpStreamCopies *copies, guint64 stream, DpName version, DpUsec now);
/* `from` did, and reported it to this VM as one of few. */
void dp_stream_copies_add_witnessed (
  DpStreamCopies *copies, DpName from, guint64 stream, DpName version, DpUsec now);

/* Returns FALSE if the message is of another type. */
gboolean dp_stream_copies_receive (DpStreamCopies *copies,
                                   DpName from,
                                   const DpMessage *message,
                                   DpUsec now);
/* Must be called every DP_DISPATCH_TICK_INTERVAL. */
void dp_stream_copies_tick (DpStreamCopies *copies, DpUsec now);
/* Records versions of streams that are not known yet. */
void dp_stream_copies_merge (DpStreamCopies *copies,
                             const DpStreamCopy *rows,
                             guint count,
                             DpUsec now);

/* --- questions --- */

/* FALSE if some VMs may know a stream without being asked by dp_stream_copies_ask(). */
gboolean dp_stream_copies_asks_all (const DpStreamCopies *copies);
/* Asks other VMs about the stream, together with others that are asked about until the next
 * tick. The version is recorded as soon as a VM has told it. */
void dp_stream_copies_ask (DpStreamCopies *copies, guint64 stream);
/* FALSE once nobody is left who could tell. */
gboolean dp_stream_copies_is_asking (const DpStreamCopies *copies, guint64 stream);

typedef struct DpStreamCopiesAsked
{
  guint vms;
  guint answered;
} DpStreamCopiesAsked;

/* Numbers of VMs that were asked about the stream; until the tick after the end. */
DpStreamCopiesAsked dp_stream_copies_asked (const DpStreamCopies *copies, guint64 stream);

/* --- the store --- */

/* Key of the group that this VM belongs to. */
DpName dp_stream_copies_group_key (const DpStreamCopies *copies);
/* TRUE if the copies in the store are to be read: this VM is to write them. */
gboolean dp_stream_copies_wants_read (const DpStreamCopies *copies, DpUsec now);
/* All copies in the store were read and passed to dp_stream_copies_merge(). */
void dp_stream_copies_set_read (DpStreamCopies *copies);
/* Returns the rows (DpStreamCopy) to be written to the store now in place of the group's; NULL:
 * nothing. One write at a time; it ends with dp_stream_copies_end_write(). */
GArray *dp_stream_copies_begin_write (DpStreamCopies *copies, DpUsec now);
void dp_stream_copies_end_write (DpStreamCopies *copies, gboolean ok, DpUsec now);
/* The store may have lost the copies. */
void dp_stream_copies_on_restored (DpStreamCopies *copies, DpUsec now);

/* --- status --- */

typedef struct DpStreamCopiesStatus
{
  gboolean is_sharing;
  gboolean is_complete; /* this VM knows of no copies that it lacks */
  guint group_vms;      /* this VM included */
  guint groups;
  guint64 rows_sent; /* since the process started, to each VM of the group */
  guint64 rows_received;
  guint64 gaps;   /* batches of others that this VM has missed */
  guint64 tables; /* asked for */
  guint64 inquiries;
} DpStreamCopiesStatus;

DpStreamCopiesStatus dp_stream_copies_status (const DpStreamCopies *copies, DpUsec now);
