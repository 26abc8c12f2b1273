#include "core/limit_client.h"

#include "core/target_limiter.h"

#include <string.h>

/* 16 bytes each. The oldest are dropped first: about 3,000 a second fill it. */
#define SENDS_MAX 16384

typedef struct Send
{
  DpName target;
  DpUsec at;
} Send;

typedef struct Owner
{
  DpName pool;
  DpName vm;
  DpUsec announced_at;
} Owner;

struct DpLimitClient
{
  GArray *sends;  /* Send, oldest first */
  guint first;    /* index of the oldest one that is in use */
  GArray *owners; /* Owner: one per pool with limits as a rule, more while VMs disagree */
};

DpLimitClient *
dp_limit_client_new (void)
{
  DpLimitClient *client = g_new0 (DpLimitClient, 1);
  client->sends = g_array_new (FALSE, FALSE, sizeof (Send));
  client->owners = g_array_new (FALSE, FALSE, sizeof (Owner));
  return client;
}

void
dp_limit_client_free (DpLimitClient *client)
{
  if (client == NULL)
    return;
  g_array_unref (client->sends);
  g_array_unref (client->owners);
  g_free (client);
}

void
dp_limit_client_on_announcement (DpLimitClient *client, DpName pool, DpName owner, DpUsec now)
{
  dp_limit_client_on_new_owner (client, pool, owner);
  for (guint i = client->owners->len; i > 0; i--)
    if (now - g_array_index (client->owners, Owner, i - 1).announced_at > DP_LIMIT_WINDOW)
      g_array_remove_index_fast (client->owners, i - 1);
  const Owner row = { .pool = pool, .vm = owner, .announced_at = now };
  g_array_append_val (client->owners, row);
}

void
dp_limit_client_on_new_owner (DpLimitClient *client, DpName pool, DpName owner)
{
  for (guint i = client->owners->len; i > 0; i--)
    {
      const Owner *row = &g_array_index (client->owners, Owner, i - 1);
      if (row->vm == owner && row->pool == pool)
        g_array_remove_index_fast (client->owners, i - 1);
    }
}

gboolean
dp_limit_client_is_keeper (const DpLimitClient *client, DpName pool, DpName owner, DpUsec now)
{
  for (guint i = 0; i < client->owners->len; i++)
    {
      const Owner *row = &g_array_index (client->owners, Owner, i);
      if (row->pool == pool && row->vm == owner && now - row->announced_at <= DP_LIMIT_WINDOW)
        return TRUE;
    }
  return FALSE;
}

void
dp_limit_client_other_keepers (
  const DpLimitClient *client, DpName pool, DpName owner, DpUsec now, GArray *owners)
{
  for (guint i = 0; i < client->owners->len; i++)
    {
      const Owner *row = &g_array_index (client->owners, Owner, i);
      if (row->pool == pool && row->vm != owner && now - row->announced_at <= DP_LIMIT_WINDOW)
        g_array_append_val (owners, row->vm);
    }
}

static void
expire_sends (DpLimitClient *client, DpUsec now)
{
  const GArray *sends = client->sends;
  while (client->first < sends->len
         && (now - g_array_index (sends, Send, client->first).at > DP_LIMIT_WINDOW
             || sends->len - client->first > SENDS_MAX))
    client->first++;
  /* Moves the rest only once half of the array is unused, which keeps this cheap. */
  if (client->first * 2 <= sends->len)
    return;
  g_array_remove_range (client->sends, 0, client->first);
  client->first = 0;
}

void
dp_limit_client_record_send (DpLimitClient *client,
                             const DpLimitSend *send,
                             DpUsec now,
                             GArray *owners)
{
  const Send row = { .target = send->target, .at = now };
  g_array_append_val (client->sends, row);
  expire_sends (client, now);
  if (send->is_limited)
    dp_limit_client_other_keepers (client, send->pool, send->assigned_by, now, owners);
}

void
dp_limit_client_report (DpLimitClient *client, DpTargetSent *sent, DpUsec now)
{
  expire_sends (client, now);
  sent->slot = DP_LIMIT_WINDOW / DP_SENT_SLOTS_MAX;
  sent->count = DP_SENT_SLOTS_MAX;
  memset (sent->slots, 0, sizeof sent->slots);
  for (guint i = client->first; i < client->sends->len; i++)
    {
      const Send *row = &g_array_index (client->sends, Send, i);
      DpUsec slot = (now - row->at) / sent->slot;
      if (row->target == sent->target && slot < DP_SENT_SLOTS_MAX)
        sent->slots[slot]++;
    }
}
