/* A VM's own state, and the object that holds all parts. */
#include "core/row_sync/row_sync_private.h"

static void
clear_version (gpointer data)
{
  DpRowVersion *version = data;
  dp_row_list_unref (version->list);
}

DpRowSync *
dp_row_sync_new (const DpRowSyncOptions *options)
{
  DpRowSync *sync = g_new0 (DpRowSync, 1);
  sync->options = *options;
  sync->versions = g_array_new (FALSE, TRUE, sizeof (DpRowVersion));
  g_array_set_clear_func (sync->versions, clear_version);
  dp_row_source_init (sync);
  dp_row_follower_init (sync);
  return sync;
}

void
dp_row_sync_free (DpRowSync *sync)
{
  if (sync == NULL)
    return;
  dp_row_follower_clear (sync);
  dp_row_source_clear (sync);
  g_array_unref (sync->versions);
  g_free (sync);
}

DpRowVersion *
dp_row_sync_current (const DpRowSync *sync)
{
  guint count = sync->versions->len;
  return count > 0 ? &g_array_index (sync->versions, DpRowVersion, count - 1) : NULL;
}

void
dp_row_sync_set (DpRowSync *sync, DpStoreVersion version, DpRowList *list, DpUsec now)
{
  DpRowVersion *current = dp_row_sync_current (sync);
  if (current != NULL && current->list->digest == list->digest)
    {
      current->version = version;
      current->used_at = now;
    }
  else
    {
      const DpRowVersion next
        = { .list = dp_row_list_ref (list), .version = version, .used_at = now };
      g_array_append_val (sync->versions, next);
    }
  dp_row_source_expire (sync, now);
  dp_row_follower_on_set (sync);
}

DpRowList *
dp_row_sync_list (const DpRowSync *sync)
{
  const DpRowVersion *current = dp_row_sync_current (sync);
  return current != NULL ? current->list : NULL;
}

DpStoreVersion
dp_row_sync_version (const DpRowSync *sync)
{
  const DpRowVersion *current = dp_row_sync_current (sync);
  return current != NULL ? current->version : (DpStoreVersion){ 0 };
}

guint64
dp_row_sync_digest (const DpRowSync *sync)
{
  const DpRowVersion *current = dp_row_sync_current (sync);
  return current != NULL ? current->list->digest : 0;
}

void
dp_row_sync_on_ask (DpRowSync *sync, DpName from, const DpRowsAsk *ask, DpUsec now)
{
  dp_row_source_on_ask (sync, from, ask, now);
  dp_row_source_serve (sync, now);
}

void
dp_row_sync_tick (DpRowSync *sync, DpUsec now)
{
  dp_row_source_expire (sync, now);
  dp_row_source_serve (sync, now);
  dp_row_follower_advance (sync, now);
}

DpRowSyncStatus
dp_row_sync_status (const DpRowSync *sync, DpUsec now)
{
  DpRowSyncStatus status = sync->status;
  status.behind = sync->behind_since != 0 ? now - sync->behind_since : 0;
  status.confirmed_at = sync->confirmed_at;
  return status;
}
