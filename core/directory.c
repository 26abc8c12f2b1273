#include "core/directory.h"

#include <string.h>

/* Draining, and removed, incarnations that are remembered, so that a late or restored record
 * does not revive one. */
#define DRAINED_MAX 4096
#define GONE_MAX 4096

struct DpDirectory
{
  DpTable *rows;
  GHashTable *by_name; /* DpName -> DpHandle */
  GHashTable *drained; /* DpName -> guint64: `started` of the newest draining incarnation */
  GHashTable *gone;    /* DpName -> guint64: `started` of removed rows */
  GHashTable *brittle_pools; /* DpName -> DpTargetBrittleness, for new targets */
  guint64 version;
  DpUsec last_contact_at; /* 0: never */
  DpUsec grace_until;     /* rows that go missing before this are kept */
};

DpDirectory *
dp_directory_new (void)
{
  DpDirectory *directory = g_new0 (DpDirectory, 1);
  DpTableOptions rows = { .row_size = sizeof (DpDirectoryRow) };
  directory->rows = dp_table_new (&rows);
  directory->by_name = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  directory->drained = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  directory->gone = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  directory->brittle_pools
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return directory;
}

void
dp_directory_free (DpDirectory *directory)
{
  if (directory == NULL)
    return;
  dp_table_unref (directory->rows);
  g_hash_table_unref (directory->by_name);
  g_hash_table_unref (directory->drained);
  g_hash_table_unref (directory->gone);
  g_hash_table_unref (directory->brittle_pools);
  g_free (directory);
}

static DpDirectoryRow *
find (const DpDirectory *directory, DpName name)
{
  DpHandle *handle = g_hash_table_lookup (directory->by_name, &name);
  return handle != NULL ? dp_table_get (directory->rows, *handle) : NULL;
}

static void
remember (GHashTable *incarnations, guint maximum, DpName name, guint64 started)
{
  if (g_hash_table_size (incarnations) >= maximum)
    g_hash_table_remove_all (incarnations);
  g_hash_table_insert (incarnations, g_memdup2 (&name, sizeof name),
                       g_memdup2 (&started, sizeof started));
}

static void
remember_drain (DpDirectory *directory, DpName name, guint64 started)
{
  remember (directory->drained, DRAINED_MAX, name, started);
}

/* TRUE if this incarnation or a newer one was seen draining. */
static gboolean
was_drained (const DpDirectory *directory, DpName name, guint64 started)
{
  const guint64 *newest = g_hash_table_lookup (directory->drained, &name);
  return newest != NULL && started <= *newest;
}

static DpDirectoryRow *
add_row (DpDirectory *directory, DpName name)
{
  void *data;
  DpHandle handle = dp_table_add (directory->rows, &data);
  DpDirectoryRow *row = data;
  row->self = handle;
  row->name = name;
  g_hash_table_insert (directory->by_name, g_memdup2 (&name, sizeof name),
                       g_memdup2 (&handle, sizeof handle));
  return row;
}

static void
drop_row (DpDirectory *directory, DpDirectoryRow *row)
{
  DpHandle handle = row->self;
  remember (directory->gone, GONE_MAX, row->name, row->record.started);
  g_hash_table_remove (directory->by_name, &row->name);
  dp_table_remove (directory->rows, handle);
  directory->version++;
}

static gboolean
is_same_record (const DpTargetRecord *a, const DpTargetRecord *b)
{
  return strcmp (a->pool, b->pool) == 0 && strcmp (a->data_centre, b->data_centre) == 0
         && strcmp (a->address, b->address) == 0 && a->port_number == b->port_number
         && a->slots == b->slots && a->is_draining == b->is_draining && a->started == b->started
         && dp_software_version_name (&a->version) == dp_software_version_name (&b->version);
}

/* A target that starts is as brittle as its pool. */
static void
begin_incarnation (const DpDirectory *directory, DpDirectoryRow *row, DpName pool)
{
  const DpTargetBrittleness *brittle = g_hash_table_lookup (directory->brittle_pools, &pool);
  row->paused_until = 0;
  row->limit = (DpTargetLimit){ 0 };
  row->brittle = brittle != NULL ? *brittle : (DpTargetBrittleness){ 0 };
}

gboolean
dp_directory_put (DpDirectory *directory, const DpTargetRecord *record)
{
  DpName name = dp_name (record->id);
  DpDirectoryRow *row = find (directory, name);
  gboolean is_new = row == NULL || row->record.started != record->started;
  if (row != NULL && record->started < row->record.started)
    return FALSE;
  g_hash_table_remove (directory->gone, &name);
  DpTargetRecord updated = *record;
  if (was_drained (directory, name, record->started))
    updated.is_draining = TRUE;
  else if (record->is_draining)
    remember_drain (directory, name, record->started);
  if (row != NULL && row->is_listed && is_same_record (&row->record, &updated))
    return FALSE;
  if (row == NULL)
    row = add_row (directory, name);
  row->record = updated;
  row->pool = dp_name (updated.pool);
  if (is_new)
    begin_incarnation (directory, row, row->pool);
  row->data_centre = dp_name (updated.data_centre);
  row->version = dp_software_version_name (&updated.version);
  row->is_listed = TRUE;
  directory->version++;
  return TRUE;
}

void
dp_directory_record_contact (DpDirectory *directory, DpUsec lifetime, DpUsec now)
{
  if (directory->last_contact_at != 0 && now - directory->last_contact_at > lifetime)
    directory->grace_until = now + DP_RECONNECT_GRACE_PERIOD;
  directory->last_contact_at = now;
}

DpUsec
dp_directory_last_contact_at (const DpDirectory *directory)
{
  return directory->last_contact_at;
}

void
dp_directory_begin_grace_period (DpDirectory *directory, DpUsec now)
{
  directory->grace_until = now + DP_RECONNECT_GRACE_PERIOD;
}

gboolean
dp_directory_is_gone (const DpDirectory *directory, DpName name, guint64 started)
{
  const guint64 *gone = g_hash_table_lookup (directory->gone, &name);
  return gone != NULL && started <= *gone;
}

void
dp_directory_remove (DpDirectory *directory, DpName name, DpUsec now)
{
  DpDirectoryRow *row = find (directory, name);
  if (row == NULL)
    return;
  if (now >= directory->grace_until || row->record.is_draining)
    {
      drop_row (directory, row);
      return;
    }
  if (row->is_listed)
    directory->version++;
  row->is_listed = FALSE;
}

void
dp_directory_replace (DpDirectory *directory,
                      const DpTargetRecord *records,
                      guint count,
                      DpUsec now)
{
  GHashTable *listed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (guint i = 0; i < count; i++)
    {
      DpName name = dp_name (records[i].id);
      g_hash_table_add (listed, g_memdup2 (&name, sizeof name));
      dp_directory_put (directory, &records[i]);
    }
  for (DpHandle at = dp_table_next (directory->rows, 0); at != 0;
       at = dp_table_next (directory->rows, at))
    {
      const DpDirectoryRow *row = dp_table_get (directory->rows, at);
      if (!g_hash_table_contains (listed, &row->name))
        dp_directory_remove (directory, row->name, now);
    }
  g_hash_table_unref (listed);
}

void
dp_directory_expire (DpDirectory *directory, DpUsec now)
{
  if (now < directory->grace_until)
    return;
  for (DpHandle at = dp_table_next (directory->rows, 0); at != 0;
       at = dp_table_next (directory->rows, at))
    {
      DpDirectoryRow *row = dp_table_get (directory->rows, at);
      if (!row->is_listed)
        drop_row (directory, row);
    }
}

const DpDirectoryRow *
dp_directory_find (const DpDirectory *directory, DpName name)
{
  return find (directory, name);
}

gboolean
dp_directory_record_leaving (DpDirectory *directory, DpName name, guint64 started)
{
  DpDirectoryRow *row = find (directory, name);
  if (was_drained (directory, name, started))
    return FALSE;
  remember_drain (directory, name, started);
  if (row == NULL || row->record.started > started)
    return row == NULL;
  row->record.is_draining = TRUE;
  directory->version++;
  return TRUE;
}

void
dp_directory_pause (DpDirectory *directory, DpName name, DpUsec until)
{
  DpDirectoryRow *row = find (directory, name);
  if (row != NULL)
    row->paused_until = MAX (row->paused_until, until);
}

gboolean
dp_directory_record_limit (DpDirectory *directory, const DpLimitReport *report, DpUsec now)
{
  DpDirectoryRow *row = find (directory, report->target);
  if (row == NULL || row->record.started != report->started
      || report->observed_at < row->limit.observed_at)
    return FALSE;
  DpTargetLimit *limit = &row->limit;
  gboolean is_same = limit->is_set == report->is_set
                     && (!limit->is_set || limit->per_second == report->per_second);
  if (limit->is_set != report->is_set)
    limit->changed_at = now;
  limit->is_set = report->is_set;
  limit->per_second = report->is_set ? report->per_second : 0;
  limit->observed_at = report->observed_at;
  if (!is_same)
    directory->version++;
  return !is_same;
}

static gboolean
has_brittle_target (const DpDirectory *directory, DpName pool)
{
  DpHandle at = 0;
  const DpDirectoryRow *row;
  while ((row = dp_directory_next (directory, &at)) != NULL)
    if (row->pool == pool && row->brittle.is_set)
      return TRUE;
  return FALSE;
}

static void
record_brittle_pool (DpDirectory *directory, const DpDirectoryRow *row)
{
  if (row->brittle.is_set)
    g_hash_table_insert (directory->brittle_pools, g_memdup2 (&row->pool, sizeof row->pool),
                         g_memdup2 (&row->brittle, sizeof row->brittle));
  else if (!has_brittle_target (directory, row->pool))
    g_hash_table_remove (directory->brittle_pools, &row->pool);
}

/* Takes all other targets of the pool for brittle unless later responses are known. */
static void
spread_brittle (DpDirectory *directory, const DpDirectoryRow *source)
{
  for (DpHandle at = dp_table_next (directory->rows, 0); at != 0;
       at = dp_table_next (directory->rows, at))
    {
      DpDirectoryRow *row = dp_table_get (directory->rows, at);
      if (row->pool == source->pool && !row->brittle.is_set
          && row->brittle.observed_at <= source->brittle.observed_at)
        row->brittle = source->brittle;
    }
}

gboolean
dp_directory_record_brittle (DpDirectory *directory, const DpBrittleReport *report, DpUsec now)
{
  DpDirectoryRow *row = find (directory, report->target);
  if (row == NULL || row->record.started != report->started
      || report->observed_at < row->brittle.observed_at)
    return FALSE;
  DpTargetBrittleness *brittle = &row->brittle;
  gboolean was_set = brittle->is_set;
  guint previous = brittle->rejections_max;
  gboolean is_first = report->is_set && !was_set && !has_brittle_target (directory, row->pool);
  if (was_set != report->is_set)
    brittle->changed_at = now;
  brittle->is_set = report->is_set;
  brittle->rejections_max = report->is_set ? report->rejections_max : 0;
  brittle->observed_at = report->observed_at;
  record_brittle_pool (directory, row);
  if (is_first)
    spread_brittle (directory, row);
  gboolean is_same = was_set == brittle->is_set && previous == brittle->rejections_max;
  if (!is_same)
    directory->version++;
  return !is_same;
}

gboolean
dp_directory_is_pool_brittle (const DpDirectory *directory, DpName pool)
{
  return g_hash_table_contains (directory->brittle_pools, &pool);
}

gboolean
dp_directory_may_use (const DpDirectory *directory, DpName name, DpUsec now)
{
  const DpDirectoryRow *row = find (directory, name);
  return row != NULL && !row->record.is_draining && now >= row->paused_until;
}

const DpDirectoryRow *
dp_directory_next (const DpDirectory *directory, DpHandle *at)
{
  *at = dp_table_next (directory->rows, *at);
  return *at != 0 ? dp_table_get (directory->rows, *at) : NULL;
}

guint
dp_directory_count (const DpDirectory *directory)
{
  return dp_table_count (directory->rows);
}

guint64
dp_directory_version (const DpDirectory *directory)
{
  return directory->version;
}
