/* Network side of orders to engines: the lease object in the platform and the engines' /orders.
 *
 * Owns its board and all calls under way; see core/orders.h for the decisions.
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
  DpOrdersOptions board;
} DpOrdersShellOptions;

typedef struct DpOrdersShell DpOrdersShell;

DpOrdersShell *dp_orders_shell_new (const DpOrdersShellOptions *options);

/* Calls under way end without effect on the shell. */
void dp_orders_shell_free (DpOrdersShell *shell);

/* Every 100 ms, with the manifest in force (NULL: none yet) and the view. */
void dp_orders_shell_tick (DpOrdersShell *shell, const DpManifest *manifest, DpView *view);
