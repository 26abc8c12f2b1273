/* State shared by the sources of the orders core. Not for use outside core/orders*.c. */
#pragma once

#include "core/orders.h"

typedef enum LeasePhase
{
  LEASE_NOT_HELD,
  LEASE_HELD,
} LeasePhase;

typedef enum LeaseCall
{
  LEASE_CALL_NONE,
  LEASE_CALL_READ,
  LEASE_CALL_WRITE,
} LeaseCall;

/* The lease as known to this process. */
typedef struct LeaseState
{
  LeasePhase phase;
  DpUsec valid_until;    /* while held; already reduced by the clock margin */
  guint64 fence;         /* object version of our last confirmed write */
  DpUsec first_order_at; /* by then the previous holder's orders have arrived */
  /* last value read from or written to the platform */
  guint64 seen_version;
  DpLease seen;
  DpUsec seen_since; /* when that version was first seen */
  /* call in flight */
  LeaseCall call;
  DpUsec call_sent_at;
  gboolean call_is_release; /* the write releases the lease */
  gboolean needs_read;      /* the lease must be read before the next write */
  guint failures;           /* in a row */
  DpUsec next_call_at;
} LeaseState;

/* One engine of the data centre. */
typedef struct EngineRow
{
  DpName name;
  guint target; /* index into the manifest */
  /* last state read from the engine */
  gboolean reachable;
  gboolean is_loading;
  DpUsec state_read_at; /* 0: not since the lease was acquired or an order failed */
  guint model_count;
  DpName models[DP_ORDER_MODELS_MAX];
  /* requests */
  DpUsec read_sent_at;
  DpUsec next_read_at;
  gboolean order_pending; /* no reply yet */
  DpName loading;         /* model ordered but not yet seen loaded; 0: none */
  DpUsec ordered_at;
  DpUsec accepted_at;
  guint failures; /* in a row */
  DpUsec next_order_at;
} EngineRow;

struct DpOrdersCore
{
  gatomicrefcount refs;
  DpOrdersOptions options;
  DpManifest *manifest;
  DpView *view;
  LeaseState lease;
  GArray *engines; /* EngineRow */
  guint64 jitter_draws;
  DpUsec last_tick;
  /* token bucket that limits model loads from the data centre's weight store */
  gint64 load_tokens; /* in 1/1000 load */
  DpUsec tokens_at;
};

/* A longer gap between ticks means that the process was paused, so the lease is read again. */
#define ORDERS_PAUSE_MIN (1 * DP_USEC_PER_SEC)

/* Jittered exponential backoff after `failures` failures in a row. */
DpUsec dp_orders_backoff (DpOrdersCore *core, guint failures);

void dp_orders_lease_on_reply (DpOrdersCore *core,
                               const DpLeaseReply *reply,
                               DpUsec now,
                               GArray *actions);
void dp_orders_lease_on_tick (DpOrdersCore *core, DpUsec now, GArray *actions);
/* Ends the lease for this process until it has been read again. */
void dp_orders_lease_invalidate (DpOrdersCore *core, DpUsec now);

void dp_orders_engines_rebuild (DpOrdersCore *core, DpUsec now);
/* Called when the lease is acquired: the previous holder may have changed any engine, so each
 * one is read again before it gets an order. */
void dp_orders_engines_invalidate (DpOrdersCore *core, DpUsec now);
void dp_orders_engines_on_state (DpOrdersCore *core, const DpEngineState *state, DpUsec now);
void dp_orders_engines_on_reply (DpOrdersCore *core, const DpOrderReply *reply, DpUsec now);
void dp_orders_engines_on_tick (DpOrdersCore *core, DpUsec now, GArray *actions);
