/* Which targets this VM reaches by connections of its own, and through which other VMs it
 * reaches the rest.
 *
 * A VM that can't connect to a target opens the connection through another VM, a gateway (see
 * net/tunnel_server.h). That this VM doesn't reach a target and that the target is down are two
 * facts: a target is blamed only if a gateway didn't reach it either.
 */
#pragma once

#include "core/owners.h"
#include "core/view.h"

#include <glib.h>

/* Gateways that one attempt tries at most. */
#define DP_GATEWAY_TRIES_MAX 3

typedef enum DpPathKind
{
  DP_PATH_NONE, /* nothing is likely to work */
  DP_PATH_DIRECT,
  DP_PATH_GATEWAY,
} DpPathKind;

typedef struct DpPath
{
  DpPathKind kind;
  DpName gateway; /* if DP_PATH_GATEWAY */
} DpPath;

typedef enum DpPathFailure
{
  DP_PATH_UNREACHED,       /* no connection to the target */
  DP_PATH_GATEWAY_FAILED,  /* the gateway did not open a connection, or didn't answer */
  DP_PATH_GATEWAY_REFUSED, /* the gateway doesn't use this target */
} DpPathFailure;

/* The paths that one attempt has tried, and the current one. */
typedef struct DpPathSearch
{
  DpName target;
  DpName data_centre; /* of the target */
  DpPath path;
  DpUsec started_at;
  gboolean direct_failed;
  gboolean is_target_unreached; /* by a gateway, too, or there is no other VM */
  gboolean is_target_refused;   /* by a gateway, which may open connections to others */
  guint gateway_count;
  DpName gateways[DP_GATEWAY_TRIES_MAX];
} DpPathSearch;

typedef struct DpReachOptions
{
  DpName self;
  DpName data_centre;
  guint64 seed;
  const DpOwners *owners; /* tells which VMs respond; must outlive the object */
} DpReachOptions;

typedef struct DpReach DpReach;

DpReach *dp_reach_new (const DpReachOptions *options);
void dp_reach_free (DpReach *reach);

/* Replaces the list of VMs; what is known of those that remain is kept. */
void dp_reach_set_view (DpReach *reach, DpView *view);

/* Starts an attempt to send to the target: sets the path to try first. */
DpPathSearch
dp_reach_begin (DpReach *reach, DpName target, DpName target_data_centre, DpUsec now);

/* The current path failed before a byte of the request was sent. Sets the next path, or
 * DP_PATH_NONE and returns FALSE. */
gboolean
dp_reach_next (DpReach *reach, DpPathSearch *search, DpPathFailure failure, DpUsec now);

/* The target responded on the current path. */
void dp_reach_succeeded (DpReach *reach, const DpPathSearch *search, DpUsec now);

/* Outcome of a connection that this VM opened for another one, as its gateway. */
void dp_reach_record_direct (DpReach *reach, DpName target, gboolean succeeded, DpUsec now);

/* TRUE if this VM reaches no target directly that others reach. */
gboolean dp_reach_is_cut_off (const DpReach *reach);

/* TRUE if this VM may be a gateway. It isn't while its own connections fail at several targets,
 * since it would blame them for its own links; from time to time they are tried again. */
gboolean dp_reach_may_serve (const DpReach *reach, DpUsec now);

/* TRUE if this VM's link to the target is lost while others reach the target. As a gateway it
 * would blame the target for its own link, also where a pool has a single target and the VM
 * can't tell that it is cut off. */
gboolean dp_reach_has_lost_link (const DpReach *reach, DpName target, DpUsec now);
