/* Simulation of the orders core in virtual time: two controllers, each of which considers
 * itself first in rendezvous order, a fake object API and fake engines.
 *
 * The checks use only what the engines and the object API have seen.
 */
#pragma once

#include "core/orders.h"

#define CONTROLLERS 2
#define ENGINES 4
#define MODELS 2
#define TICK_INTERVAL (100 * DP_USEC_PER_MSEC)
#define CALL_DELAY (5 * DP_USEC_PER_MSEC)
#define LOAD_DURATION (20 * DP_USEC_PER_SEC)
#define PENDING_MAX 256
#define STORE_CALL_TIMEOUT (2 * DP_USEC_PER_SEC)

typedef struct Engine
{
  gboolean checks_fence;
  guint64 fence_seen;
  gboolean loaded[MODELS];
  DpUsec ready_at[MODELS]; /* 0: not loading */
  guint orders_accepted;
  guint orders_refused;
  int last_controller;       /* that sent the last accepted order */
  gboolean restarted_unread; /* restarted, and no controller has read its state since */
  gboolean reloads;          /* accepted an order before a controller saw its restart */
} Engine;

typedef struct Store
{
  gboolean exists;
  guint64 version;
  DpLease lease;
  guint64 next_version;
  gboolean is_down;
  gboolean is_unreachable_from[CONTROLLERS];
  guint replies_to_drop; /* of successful writes */
} Store;

/* An event in flight to a controller or an order in flight to an engine. */
typedef struct Pending
{
  DpUsec due;
  int controller;
  gboolean is_order;
  DpOrdersEvent event;
  DpOrder order;
  gboolean used;
} Pending;

typedef struct OrdersSimulation
{
  DpUsec now;
  Store store;
  Engine engines[ENGINES];
  DpOrdersCore *cores[CONTROLLERS];
  gboolean paused[CONTROLLERS];
  gboolean crashed[CONTROLLERS];
  DpUsec order_delay[CONTROLLERS];
  guint lease_reads[CONTROLLERS];
  guint orders_sent[CONTROLLERS];
  Pending pending[PENDING_MAX];
  int holder_history[64]; /* controllers in order of their lease writes */
  guint holder_count;
  DpManifest *manifest;
  /* results of the checks */
  guint stale_orders;     /* of an earlier holder, accepted by engines without a fence check */
  guint last_copies_lost; /* orders that unloaded the last loaded copy of a model */
  guint loads_concurrent_max;
  guint loads_started;
} OrdersSimulation;

/* Starts with nothing loaded. Both controllers have the manifest, in which engine i lists model
 * k if bit k of model_masks[i] is set. */
OrdersSimulation *orders_simulation_new (const guint model_masks[ENGINES]);
void orders_simulation_free (OrdersSimulation *sim);

void orders_run (OrdersSimulation *sim, DpUsec duration);
void orders_send_manifest (OrdersSimulation *sim, const guint model_masks[ENGINES]);
void orders_send_view (OrdersSimulation *sim, int controller, gboolean is_leaving);

/* The controller that holds the lease, or -1. Fails the test if there are two. */
int orders_holder (const OrdersSimulation *sim);

/* Fails the test unless each engine has loaded exactly the models of its mask. */
void orders_check_loaded (const OrdersSimulation *sim, const guint model_masks[ENGINES]);
/* Fails the test if an order of an earlier holder took effect, if the last copy of a model was
 * unloaded, or if more than two loads ran at once. */
void orders_check_invariants (const OrdersSimulation *sim);
