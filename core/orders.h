/* Orders to engines: tells each engine of one data centre which models to load.
 *
 * Sans I/O, with the same rules as core/entry.h. At most one VM of a data centre sends orders:
 * the holder of a lease object in the platform. The version of that object is the fencing
 * number of the orders; engines that check it refuse orders of an earlier holder. Not all
 * engines do, so a new holder waits until the previous lease has expired and
 * DP_ORDER_DELAY_MAX has passed. An order lists the complete set of models, so it is
 * idempotent.
 *
 * The effect of an order is known only from reading the engine's state.
 */
#pragma once

#include "common/counters.h"
#include "core/store.h"
#include "core/view.h"
#include "manifest/manifest.h"

#include <glib.h>

/* Models in one order or one engine state. */
#define DP_ORDER_MODELS_MAX 16

#define DP_LEASE_DURATION (10 * DP_USEC_PER_SEC)
#define DP_LEASE_RENEW_INTERVAL (2 * DP_USEC_PER_SEC)
/* The holder stops this long before its lease expires, as clock rates may differ. */
#define DP_LEASE_CLOCK_MARGIN (1 * DP_USEC_PER_SEC)
/* An order may take this long to arrive after the holder checked its lease. */
#define DP_ORDER_DELAY_MAX (5 * DP_USEC_PER_SEC)

typedef struct DpOrdersOptions
{
  DpName vm;
  DpName data_centre;
  guint64 incarnation;
  guint64 seed;
  DpCounters *counters; /* the core takes its own reference */
} DpOrdersOptions;

/* Content of the lease object. */
typedef struct DpLease
{
  DpName holder; /* VM; 0: released */
  guint64 incarnation;
} DpLease;

typedef enum DpOrdersEventType
{
  DP_ORDERS_EVENT_MANIFEST,
  DP_ORDERS_EVENT_VIEW,
  DP_ORDERS_EVENT_LEASE_REPLY,
  DP_ORDERS_EVENT_ENGINE_STATE,
  DP_ORDERS_EVENT_ORDER_REPLY,
  DP_ORDERS_EVENT_TICK,
} DpOrdersEventType;

typedef struct DpLeaseReply
{
  gboolean is_write;
  DpStoreResult result;
  guint64 version; /* of the object, if the result is DP_STORE_OK */
  DpLease lease;   /* set by reads */
} DpLeaseReply;

/* State that an engine reports. A model is listed once it is ready to serve. */
typedef struct DpEngineState
{
  DpName target;
  gboolean reachable; /* FALSE: the members below are not set */
  gboolean is_loading;
  guint model_count;
  DpName models[DP_ORDER_MODELS_MAX];
} DpEngineState;

typedef enum DpOrderResult
{
  DP_ORDER_ACCEPTED,
  DP_ORDER_STALE_FENCE, /* the engine has accepted a higher fencing number */
  DP_ORDER_FAILED,      /* not sent, refused, or the weight store failed */
  DP_ORDER_LOST,        /* no response; it may have been accepted */
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
    DpEngineState state;
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
  guint64 expected_version; /* 0: create the object */
  DpLease lease;
} DpLeaseWrite;

/* Target of a request; READ_STATE uses only the first three members. */
typedef struct DpOrder
{
  DpName target;
  char address[46];
  guint16 port;
  guint64 fence;
  guint model_count;
  DpName models[DP_ORDER_MODELS_MAX]; /* the complete set to load */
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

typedef struct DpOrdersCore DpOrdersCore;

DpOrdersCore *dp_orders_core_new (const DpOrdersOptions *options);
DpOrdersCore *dp_orders_core_ref (DpOrdersCore *core);
void dp_orders_core_unref (DpOrdersCore *core);

/* Handles one event and appends the resulting DpOrdersAction rows to `actions`. */
void dp_orders_handle (DpOrdersCore *core, const DpOrdersEvent *event, GArray *actions);

/* TRUE while this VM may send orders, by its own clock. */
gboolean dp_orders_holds_lease (const DpOrdersCore *core, DpUsec now);
