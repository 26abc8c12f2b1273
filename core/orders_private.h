/* The orders board and the interfaces between its controllers. Not for use outside core/. */
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

/* The lease as this process knows it. */
typedef struct LeaseTable
{
  LeasePhase phase;
  DpUsec valid_until; /* while held: by this process's clock, margin taken off */
  guint64 fence;      /* version of the last write of ours that is known to count */
  DpUsec orders_from; /* a former holder's orders have arrived by then */
  /* last seen in the platform */
  guint64 seen_version;
  DpLease seen;
  DpUsec seen_since; /* when that version was seen first */
  /* the call under way */
  LeaseCall call;
  DpUsec call_sent_at;
  gboolean call_gives_back; /* the write names nobody as holder */
  gboolean read_before_use; /* the process was paused: what it holds is not to be trusted */
  guint failures;           /* in a row */
  DpUsec next_call_at;
} LeaseTable;

/* One engine of the data centre. */
typedef struct EngineRow
{
  DpName name;
  guint target; /* index into the manifest */
  /* read back */
  gboolean reachable;
  gboolean is_loading;
  DpUsec state_at; /* 0: not since the lease was taken or an order failed */
  guint model_count;
  DpName models[DP_ORDER_MODELS_MAX];
  /* asked */
  DpUsec read_sent_at;
  DpUsec next_read_at;
  gboolean order_pending; /* no reply yet */
  DpName loading;         /* ordered, not read back yet; 0: none */
  DpUsec ordered_at;
  DpUsec accepted_at;
  guint failures; /* in a row */
  DpUsec next_order_at;
} EngineRow;

struct DpOrdersBoard
{
  gatomicrefcount refs;
  DpOrdersOptions options;
  DpManifest *manifest;
  DpView *view;
  LeaseTable lease;
  GArray *engines; /* EngineRow */
  guint64 jitter_draws;
  DpUsec last_tick;
  /* weight store: token bucket of the data centre */
  gint64 load_tokens; /* thousandths of a load */
  DpUsec tokens_at;
};

/* A pause between ticks above this makes the process check what it holds. */
#define ORDERS_PAUSE_BOUND (1 * DP_USEC_PER_SEC)

/* Jittered exponential backoff after `failures` failures in a row. */
DpUsec dp_orders_backoff (DpOrdersBoard *board, guint failures);

void dp_orders_lease_on_reply (DpOrdersBoard *board,
                               const DpLeaseReply *reply,
                               DpUsec now,
                               GArray *actions);
void dp_orders_lease_on_tick (DpOrdersBoard *board, DpUsec now, GArray *actions);
void dp_orders_lease_distrust (DpOrdersBoard *board, DpUsec now);

void dp_orders_engines_rebuild (DpOrdersBoard *board, DpUsec now);
/* Called when the lease is taken: what a former holder did is not known until read back. */
void dp_orders_engines_forget (DpOrdersBoard *board, DpUsec now);
void dp_orders_engines_on_state (DpOrdersBoard *board, const DpTargetState *state, DpUsec now);
void dp_orders_engines_on_reply (DpOrdersBoard *board, const DpOrderReply *reply, DpUsec now);
void dp_orders_engines_on_tick (DpOrdersBoard *board, DpUsec now, GArray *actions);
