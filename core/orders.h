/* Decisions about orders to engines: which models each engine of one data centre is to carry.
 *
 * Sans I/O, with the same rules as core/entry.h. At most one VM of a data centre gives orders:
 * the holder of a lease object in the platform. The lease's version is the fencing number of
 * its orders. Engines that check fencing numbers refuse those of an earlier holder. For engines
 * that do not, a new holder waits until the former lease has lapsed and a margin for pauses has
 * passed, and every order names a whole wanted state, so that repeating one changes nothing.
 *
 * The board reads each engine's state back; what an order achieved is known from there only.
 */
#pragma once

#include "common/counters.h"
#include "core/store.h"
#include "core/view.h"
#include "manifest/manifest.h"

#include <glib.h>

/* Models named in one order or one read-back. */
#define DP_ORDER_MODELS_MAX 16

/* Durations of the lease, for tests and for the operators' page. */
#define DP_LEASE_DURATION (10 * DP_USEC_PER_SEC)
#define DP_LEASE_RENEW_EVERY (2 * DP_USEC_PER_SEC)
#define DP_LEASE_MARGIN (1 * DP_USEC_PER_SEC)
/* How long an order may be under way after its holder checked the lease. */
#define DP_ORDER_PAUSE_MARGIN (5 * DP_USEC_PER_SEC)

typedef struct DpOrdersOptions
{
  DpName vm;
  DpName data_centre;
  guint64 incarnation;
  guint64 seed;
  DpCounters *counters; /* a reference is taken */
} DpOrdersOptions;

/* Value of the lease object. */
typedef struct DpLease
{
  DpName holder; /* 0: nobody */
  guint64 incarnation;
} DpLease;

typedef enum DpOrdersEventType
{
  DP_ORDERS_EVENT_MANIFEST,
  DP_ORDERS_EVENT_VIEW,
  DP_ORDERS_EVENT_LEASE_REPLY,
  DP_ORDERS_EVENT_TARGET_STATE,
  DP_ORDERS_EVENT_ORDER_REPLY,
  DP_ORDERS_EVENT_TICK,
} DpOrdersEventType;

typedef struct DpLeaseReply
{
  gboolean is_write;
  DpStoreResult result;
  guint64 version; /* of the object, if the result is OK */
  DpLease lease;   /* if read */
} DpLeaseReply;

/* What an engine says it carries. A model is listed once it is ready to serve. */
typedef struct DpTargetState
{
  DpName target;
  gboolean reachable; /* FALSE: nothing else is set */
  gboolean is_loading;
  guint model_count;
  DpName models[DP_ORDER_MODELS_MAX];
} DpTargetState;

typedef enum DpOrderResult
{
  DP_ORDER_ACCEPTED,
  DP_ORDER_OLD_FENCE, /* the engine has seen a higher fencing number */
  DP_ORDER_FAILED,    /* refused, or the weight store failed */
  DP_ORDER_LOST,      /* no answer: it may have been accepted */
} DpOrderResult;

typedef struct DpOrderReply
{
  DpName target;
  DpOrderResult result;
} DpOrderReply;

typedef struct DpOrdersEvent
{
  DpOrdersEventType type;
  DpUsec now; /* monotonic */
  union
  {
    DpManifest *manifest; /* the core takes its own reference */
    DpView *view;         /* the core takes its own reference */
    DpLeaseReply lease;
    DpTargetState state;
    DpOrderReply order;
  };
} DpOrdersEvent;

typedef enum DpOrdersActionType
{
  DP_ORDERS_ACTION_LEASE_READ,
  DP_ORDERS_ACTION_LEASE_WRITE,
  DP_ORDERS_ACTION_READ_STATE,
  DP_ORDERS_ACTION_ORDER,
} DpOrdersActionType;

typedef struct DpLeaseWrite
{
  guint64 expected_version; /* 0: the object must not exist */
  DpLease lease;
} DpLeaseWrite;

/* Where to ask or order; for READ_STATE only the first three members are set. */
typedef struct DpOrder
{
  DpName target;
  char address[46];
  guint16 port;
  guint64 fence;
  guint model_count;
  DpName models[DP_ORDER_MODELS_MAX]; /* the whole wanted state */
} DpOrder;

typedef struct DpOrdersAction
{
  DpOrdersActionType type;
  union
  {
    DpLeaseWrite lease_write;
    DpOrder order; /* READ_STATE and ORDER */
  };
} DpOrdersAction;

typedef struct DpOrdersBoard DpOrdersBoard;

DpOrdersBoard *dp_orders_board_new (const DpOrdersOptions *options);
DpOrdersBoard *dp_orders_board_ref (DpOrdersBoard *board);
void dp_orders_board_unref (DpOrdersBoard *board);

/* Handles one event; appends DpOrdersAction rows to `actions`. */
void dp_orders_handle (DpOrdersBoard *board, const DpOrdersEvent *event, GArray *actions);

/* TRUE while this VM may give orders, by its own clock. */
gboolean dp_orders_holds_lease (const DpOrdersBoard *board, DpUsec now);
