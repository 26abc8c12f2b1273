/* Rate limits of workspaces over all VMs.
 *
 * A workspace may use at most rate * window + burst in any window. One VM per limit, its owner
 * by core/owners.h, runs the quota server. The other VMs are clients: they request credit from
 * it, spend the credit and report what they spent. Each VM also keeps its own use of the last
 * window, so that a new server can rebuild the total from the VMs' reports. A client whose
 * server does not answer uses an equal share of the limit.
 */
#pragma once

#include "common/id.h"
#include "core/message.h"

#include <glib.h>

typedef struct DpQuotaLimit
{
  DpName workspace;
  double per_second; /* 0: no limit */
  double burst;
  DpUsec window;
  double slack; /* excess allowed in a window after VMs lost their usage history */
} DpQuotaLimit;

/* Upper limit for the use in any window. */
double dp_quota_allowance (const DpQuotaLimit *limit);

/* --- client: at the VM that takes requests --- */

typedef struct DpQuotaClientOptions
{
  guint64 seed;
  guint64 incarnation;
  DpUsec started;
  gboolean is_first_start; /* no use before this start */
} DpQuotaClientOptions;

typedef struct DpQuotaClient DpQuotaClient;

DpQuotaClient *dp_quota_client_new (const DpQuotaClientOptions *options);
void dp_quota_client_free (DpQuotaClient *client);

typedef enum DpQuotaDecision
{
  DP_QUOTA_ADMITTED, /* and charged */
  DP_QUOTA_REFUSED,  /* the workspace is over its limit */
  DP_QUOTA_PENDING,  /* waits for the server's response to the next credit request */
} DpQuotaDecision;

/* Charge for one request. The caller sets `cost`, `tier` and `vms` and clears the rest. */
typedef struct DpQuotaCharge
{
  double cost;
  guint tier; /* within the workspace, 0 is the most urgent; below DP_URGENCY_ROUTE_LEVELS */
  guint vms;  /* number that share the limit while the server does not answer */
  DpUsec charged;           /* admission time; 0: not charged */
  guint64 waiting_epoch;    /* last response + 1 when added to the waiting total; 0: never */
  guint64 request_sequence; /* first credit request that includes the cost */
} DpQuotaCharge;

/* Decides on a new request, or again on a pending one: after each response and periodically
 * without one. On refusal, `retry_after` is set to the time until the caller should retry. */
DpQuotaDecision dp_quota_client_admit (DpQuotaClient *client,
                                       const DpQuotaLimit *limit,
                                       DpQuotaCharge *charge,
                                       DpUsec now,
                                       DpUsec *retry_after);
/* Refunds the charge of a request that was not run. */
void dp_quota_client_refund (DpQuotaClient *client,
                             DpName workspace,
                             const DpQuotaCharge *charge,
                             DpUsec now);
/* Appends the credit requests (DpCreditAsk) that are due. */
void dp_quota_client_take_due_requests (DpQuotaClient *client, DpUsec now, GArray *out);
/* The same for one workspace, after a new request. Returns FALSE if none is due. */
gboolean dp_quota_client_take_due_request (DpQuotaClient *client,
                                           DpName workspace,
                                           DpUsec now,
                                           DpCreditAsk *request);
/* Another VM has become the limit's server. The client uses it for a while, even if
 * core/owners.h differs, so that two servers don't overlap for longer than a message takes. */
void dp_quota_client_on_new_server (DpQuotaClient *client,
                                    DpName workspace,
                                    DpName server,
                                    DpUsec now);
/* The VM to send credit requests to. `owner` is the limit's owner from this VM's point of view.
 */
DpName dp_quota_client_choose_server (const DpQuotaClient *client,
                                      DpName workspace,
                                      DpName owner,
                                      DpUsec now);
/* TRUE if the last response did not come from `server`. */
gboolean
dp_quota_client_is_new_server (const DpQuotaClient *client, DpName workspace, DpName server);
void dp_quota_client_on_given (DpQuotaClient *client,
                               const DpCreditGiven *given,
                               DpName server,
                               DpUsec now);
/* Fills in this VM's own use in the last window, for a new server. */
void dp_quota_client_make_report (DpQuotaClient *client,
                                  DpName workspace,
                                  DpUsec now,
                                  DpUseReport *report);

/* --- server: at the VM that owns the limit --- */

typedef struct DpQuotaServer DpQuotaServer;

/* Limits that are first served before `fresh_until` start with no use. */
DpQuotaServer *dp_quota_server_new (DpUsec fresh_until);
void dp_quota_server_free (DpQuotaServer *server);

typedef struct DpQuotaFleet
{
  guint vms;
  double reachable_fraction; /* of the VMs, by this server; the rest use their shares */
} DpQuotaFleet;

typedef struct DpQuotaResponse
{
  DpCreditGiven given;
  gboolean query_all; /* request use reports from all VMs: too little is known here */
} DpQuotaResponse;

DpQuotaResponse dp_quota_server_on_request (DpQuotaServer *server,
                                            const DpQuotaLimit *limit,
                                            const DpCreditAsk *request,
                                            DpName from,
                                            const DpQuotaFleet *fleet,
                                            DpUsec now);
/* Records the use that a VM has reported. */
void dp_quota_server_on_report (DpQuotaServer *server,
                                const DpQuotaLimit *limit,
                                const DpUseReport *report,
                                DpName from,
                                DpUsec now);
