/* Reads new versions of the config in steps and puts them in force.
 *
 * A step is short, and callers are served between steps. A newer version that arrives meanwhile
 * takes the place of the one that is being read; what was read of their common rows is kept.
 */
#include "node/node.h"

#include "common/log.h"
#include "platform/config_rows.h"

#include <string.h>

/* Rows that one step parses, at a few microseconds each. */
#define ROWS_PER_STEP 32

struct DpNodeConfig
{
  DpNode *node;
  DpRowList *rows;   /* of the version in force; NULL: none */
  DpRowList *latest; /* the same, or of the version that is being read */
  /* version that is being read */
  DpConfigReader *reader; /* NULL: none */
  guint64 version;
  const char *source;
  DpUsec received_at;
  struct event *step;
};

static void on_step (evutil_socket_t fd, short what, void *user);

DpNodeConfig *
dp_node_config_new (DpNode *node)
{
  DpNodeConfig *config = g_new0 (DpNodeConfig, 1);
  config->node = node;
  config->step = evtimer_new (node->base, on_step, config);
  return config;
}

void
dp_node_config_free (DpNodeConfig *config)
{
  if (config == NULL)
    return;
  event_free (config->step);
  dp_config_reader_free (config->reader);
  dp_row_list_unref (config->rows);
  dp_row_list_unref (config->latest);
  g_free (config);
}

gboolean
dp_node_config_is_reading (const DpNode *node)
{
  return node->config->reader != NULL;
}

static guint64
version_in_force (const DpNode *node)
{
  return node->manifest != NULL ? node->manifest->revision : 0;
}

static void
log_in_force (const DpNodeConfig *config, const DpManifest *manifest)
{
  char version[24], rows[16], parsed[16], read_ms[24];
  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT, manifest->revision);
  g_snprintf (rows, sizeof rows, "%u", config->latest->rows->len);
  g_snprintf (parsed, sizeof parsed, "%u", dp_config_reader_parsed (config->reader));
  g_snprintf (read_ms, sizeof read_ms, "%" G_GINT64_FORMAT,
              (dp_node_now () - config->received_at) / DP_USEC_PER_MSEC);
  dp_log (DP_LOG_NOTICE, "config_in_force", "version", version, "source", config->source,
          "rows", rows, "parsed", parsed, "read_ms", read_ms, NULL);
}

/* TRUE if only workspaces, keys or limits may differ. */
static gboolean
has_same_routes (const DpManifest *manifest, const DpManifest *previous)
{
  return previous != NULL && manifest->routes == previous->routes
         && manifest->pools == previous->pools;
}

static gboolean
has_same_limits (const DpManifest *manifest, const DpManifest *previous)
{
  return previous != NULL
         && memcmp (&manifest->caller_limits, &previous->caller_limits,
                    sizeof manifest->caller_limits)
              == 0;
}

/* Takes over the manifest. */
static void
set_manifest (DpNodeConfig *config, DpManifest *manifest)
{
  DpNode *node = config->node;
  log_in_force (config, manifest);
  DpManifest *previous = node->manifest;
  node->manifest = manifest;
  node->manifest_confirmed_at = MAX (node->manifest_confirmed_at, config->received_at);
  dp_row_list_unref (config->rows);
  config->rows = dp_row_list_ref (config->latest);
  if (!has_same_routes (manifest, previous))
    dp_placement_set_manifest (node);
  if (!has_same_limits (manifest, previous))
    dp_caller_listener_set_limits (node);
  dp_manifest_unref (previous);
  const DpStoreVersion version = { .revision = manifest->revision };
  dp_peer_sync_set (node, DP_ROWS_CONFIG, version, config->rows);
}

static void
finish (DpNodeConfig *config, DpDiagnostics *diagnostics)
{
  DpManifest *manifest = dp_config_reader_finish (config->reader, diagnostics);
  if (manifest != NULL)
    set_manifest (config, manifest);
  g_clear_pointer (&config->reader, dp_config_reader_free);
}

static void
read_step (DpNodeConfig *config)
{
  DpNode *node = config->node;
  DpUsec begun_at = dp_node_now ();
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  if (dp_config_reader_step (config->reader, ROWS_PER_STEP, diagnostics))
    finish (config, diagnostics);
  else
    {
      /* With a timer, unlike an active event, sockets are polled before the next step. */
      const struct timeval now = { 0 };
      event_add (config->step, &now);
    }
  dp_store_watch_log_diagnostics (node->store_watch, "config", config->version, diagnostics);
  dp_diagnostics_unref (diagnostics);
  dp_work_meter_add (dp_process_meter (node->process), "config_step", 0, begun_at,
                     dp_node_now ());
}

static void
on_step (evutil_socket_t fd, short what, void *user)
{
  DpNodeConfig *config = user;
  if (config->reader != NULL)
    read_step (config);
}

gboolean
dp_node_config_put_rows (DpNode *node, DpRowList *rows, const char *source)
{
  DpNodeConfig *config = node->config;
  guint64 version = dp_config_rows_version (rows);
  guint64 known = config->reader != NULL ? config->version : version_in_force (node);
  if (version <= known)
    {
      char text[24];
      g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, version);
      if (version < known)
        dp_log (DP_LOG_NOTICE, "config_ignored", "version", text, "source", source, "reason",
                "older than the one in force", NULL);
      return FALSE;
    }
  dp_config_reader_free (config->reader);
  config->reader = dp_config_reader_new (rows, node->manifest, config->rows);
  dp_row_list_ref (rows);
  dp_row_list_unref (config->latest);
  config->latest = rows;
  config->version = version;
  config->source = source;
  config->received_at = dp_node_now ();
  read_step (config);
  return TRUE;
}

void
dp_node_config_put_text (DpNode *node,
                         const DpJsonSpan *text,
                         guint64 revision,
                         const char *source)
{
  DpUsec begun_at = dp_node_now ();
  DpDiagnostics *diagnostics = dp_diagnostics_new ();
  DpRowList *rows = dp_config_rows_split (text, node->config->latest, diagnostics);
  dp_store_watch_log_diagnostics (node->store_watch, "config", revision, diagnostics);
  dp_diagnostics_unref (diagnostics);
  dp_work_meter_add (dp_process_meter (node->process), "config_split", text->length, begun_at,
                     dp_node_now ());
  if (rows != NULL)
    dp_node_config_put_rows (node, rows, source);
  dp_row_list_unref (rows);
}

GBytes *
dp_node_config_text (const DpNode *node)
{
  return node->config->rows != NULL ? dp_config_rows_join (node->config->rows) : NULL;
}
