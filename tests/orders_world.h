/* A small world around the decisions on orders to engines, in virtual time: two controllers
 * that both believe to be first, a fake object API and fake engines.
 *
 * The checks read only what the engines and the object API saw.
 */
#pragma once

#include "core/orders.h"

#define CONTROLLERS 2
#define ENGINES 4
#define MODELS 2
#define STEP (100 * DP_USEC_PER_MSEC)
#define CALL_DELAY (5 * DP_USEC_PER_MSEC)
#define LOAD_TIME (20 * DP_USEC_PER_SEC)
#define EVENTS_MAX 256
#define STORE_DOWN_CALL_TIMEOUT (2 * DP_USEC_PER_SEC)

typedef struct Engine
{
  gboolean checks_fence;
  guint64 fence_seen;
  gboolean warm[MODELS];
  DpUsec ready_at[MODELS]; /* 0: not loading */
  guint orders_accepted;
  guint orders_refused;
  int last_controller;       /* whose order was accepted last */
  gboolean restarted_unread; /* restarted, and no controller has read its state since */
  gboolean reloads;          /* got an order that was decided before its restart was seen */
} Engine;

typedef struct Store
{
  gboolean exists;
  guint64 version;
  DpLease lease;
  guint64 next_version;
  gboolean is_down;
  gboolean is_cut_from[CONTROLLERS];
  guint answers_to_lose; /* of writes that take effect */
} Store;

/* An event on its way to a controller, or an order on its way to an engine. */
typedef struct Pending
{
  DpUsec due;
  int controller;
  gboolean is_order;
  DpOrdersEvent event;
  DpOrder order;
  gboolean used;
} Pending;

typedef struct OrdersWorld
{
  DpUsec now;
  Store store;
  Engine engines[ENGINES];
  DpOrdersBoard *boards[CONTROLLERS];
  gboolean paused[CONTROLLERS];
  gboolean dead[CONTROLLERS];
  DpUsec order_delay[CONTROLLERS];
  guint lease_reads[CONTROLLERS];
  guint orders_sent[CONTROLLERS];
  Pending pending[EVENTS_MAX];
  int holder_history[64]; /* controllers in the order of their lease writes */
  guint holders;
  DpManifest *manifest;
  /* findings of the checks */
  guint stale_orders;     /* accepted from a former holder by an engine that checks no fence */
  guint last_copies_lost; /* an order took the last warm copy of a model */
  guint loads_at_once_max;
  guint loads_started;
} OrdersWorld;

/* Nothing is loaded; both controllers know the manifest, in which engine i is to carry the
 * models whose bits are set in wishes[i]. */
OrdersWorld *orders_world_new (const guint wishes[ENGINES]);
void orders_world_free (OrdersWorld *world);

void orders_run (OrdersWorld *world, DpUsec duration);
void orders_give_manifest (OrdersWorld *world, const guint wishes[ENGINES]);
void orders_give_view (OrdersWorld *world, int controller, gboolean is_leaving);

/* The controller that may order now, or -1. Fails the test if there are two. */
int orders_holder (const OrdersWorld *world);

/* Fail the test unless engines carry what is wished, or unless the promises were kept. */
void orders_check_carried (const OrdersWorld *world, const guint wishes[ENGINES]);
void orders_check_promises (const OrdersWorld *world);
