/* What a VM does for the limits that targets state for all VMs together: it remembers the
 * requests that it sent to targets lately, and which owners keep limits.
 *
 * An owner that begins to keep a target's limit asks for the requests sent so far. While there
 * is more than one owner, each is told of the requests that another one has assigned.
 */
#pragma once

#include "common/id.h"
#include "core/message.h"

#include <glib.h>

typedef struct DpLimitClient DpLimitClient;

DpLimitClient *dp_limit_client_new (void);
void dp_limit_client_free (DpLimitClient *client);

/* The owner has announced that it keeps limits of the pool's targets. */
void
dp_limit_client_on_announcement (DpLimitClient *client, DpName pool, DpName owner, DpUsec now);

/* This VM begins to use the owner, which may have restarted since its last announcement. */
void dp_limit_client_on_new_owner (DpLimitClient *client, DpName pool, DpName owner);

/* TRUE if the owner has announced itself lately. One that has not may have started after the
 * last announcement of the limits: its grants for targets with a limit must not be used. */
gboolean
dp_limit_client_is_keeper (const DpLimitClient *client, DpName pool, DpName owner, DpUsec now);

/* Appends the owners (DpName) other than `owner` that have announced themselves lately. */
void dp_limit_client_other_keepers (
  const DpLimitClient *client, DpName pool, DpName owner, DpUsec now, GArray *owners);

typedef struct DpLimitSend
{
  DpName pool;
  DpName target;
  DpName assigned_by; /* owner */
  gboolean is_limited;
} DpLimitSend;

/* Records a request that is sent now. Appends the owners (DpName) to tell of it. */
void dp_limit_client_record_send (DpLimitClient *client,
                                  const DpLimitSend *send,
                                  DpUsec now,
                                  GArray *owners);

/* Fills in the requests sent to `sent->target` within DP_LIMIT_WINDOW. */
void dp_limit_client_report (DpLimitClient *client, DpTargetSent *sent, DpUsec now);
