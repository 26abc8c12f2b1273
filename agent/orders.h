/* I/O of orders to engines: accesses the lease object in the platform and the engines' /orders.
 *
 * Owns its core and all calls in progress. core/orders.h makes the decisions.
 */
#pragma once

#include "core/orders.h"
#include "platform/client.h"

#include <event2/event.h>

typedef struct DpOrdersShellOptions
{
  struct event_base *base;    /* must outlive the shell */
  DpPlatformClient *platform; /* a reference is taken */
  const char *data_centre;    /* copied */
  DpOrdersOptions core;
} DpOrdersShellOptions;

typedef struct DpOrdersShell DpOrdersShell;

DpOrdersShell *dp_orders_shell_new (const DpOrdersShellOptions *options);

/* Cancels calls to engines. The event loop must not run afterwards: an open platform call still
 * refers to the shell. */
void dp_orders_shell_free (DpOrdersShell *shell);

/* To be called every 100 ms with the manifest in force and the view; NULL: none yet. */
void dp_orders_shell_tick (DpOrdersShell *shell, const DpManifest *manifest, DpView *view);
