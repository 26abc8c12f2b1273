/* Scans JSON text that json-c has already accepted. Reports the line of each member, and what
 * json-c accepts although strict JSON forbids it: duplicate keys, keys in single quotes, NaN,
 * Infinity, and control characters in strings. NUL in strings is reported as well.
 */
#pragma once

#include <glib.h>

typedef struct DpJsonScanOptions
{
  const char *text; /* comments replaced by spaces */
  gsize length;
  /* Called for the root and each member and array element, with path and line; may be NULL. */
  void (*on_member) (const char *path, guint line, gpointer data);
  /* Called for each problem; may be NULL. */
  void (*on_problem) (const char *path, guint line, const char *problem, gpointer data);
  gpointer data;
} DpJsonScanOptions;

void dp_json_scan (const DpJsonScanOptions *options);
