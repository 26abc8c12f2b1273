/* A list of problems found in an input, with their locations. */
#pragma once

#include <glib.h>

typedef struct DpDiagnostic
{
  char *file;    /* may be NULL */
  guint line;    /* from 1; 0: unknown or none */
  char *path;    /* member path such as "engines[3].window"; may be NULL */
  char *message; /* without a final full stop */
} DpDiagnostic;

typedef struct DpDiagnostics DpDiagnostics;

DpDiagnostics *dp_diagnostics_new (void);
DpDiagnostics *dp_diagnostics_ref (DpDiagnostics *diagnostics);
void dp_diagnostics_unref (DpDiagnostics *diagnostics);

/* Appends a diagnostic. The strings are copied; `file` and `path` may be NULL, `line` 0. */
void dp_diagnostics_add (DpDiagnostics *diagnostics,
                         const char *file,
                         guint line,
                         const char *path,
                         const char *format,
                         ...) G_GNUC_PRINTF (5, 6);

guint dp_diagnostics_count (const DpDiagnostics *diagnostics);
const DpDiagnostic *dp_diagnostics_get (const DpDiagnostics *diagnostics, guint index);

/* Formats one line per diagnostic: "file:line: path: message". Free with g_free(). */
char *dp_diagnostics_format (const DpDiagnostics *diagnostics);
