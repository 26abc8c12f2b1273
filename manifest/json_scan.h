/* A walk over JSON text that json-c has already accepted, for what json-c does not tell: the
 * line of each member, repeated keys, and characters that strict JSON forbids in strings.
 */
#pragma once

#include <glib.h>

typedef struct DpJsonScanOptions
{
  const char *text; /* without comments */
  gsize length;
  /* called for each member and array element, with its path and line; may be NULL */
  void (*on_member) (const char *path, guint line, gpointer data);
  /* called for each problem; may be NULL */
  void (*on_problem) (const char *path, guint line, const char *problem, gpointer data);
  gpointer data;
} DpJsonScanOptions;

void dp_json_scan (const DpJsonScanOptions *options);
