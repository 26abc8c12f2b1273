/* Findings: problems of an input, collected with their place and reported together. */
#pragma once

#include <glib.h>

typedef struct DpFinding
{
  char *file;    /* may be NULL */
  guint line;    /* from 1; 0 if the finding has no line */
  char *path;    /* member path such as "engines[3].window"; may be NULL */
  char *message; /* one sentence without a full stop */
} DpFinding;

typedef struct DpFindings DpFindings;

DpFindings *dp_findings_new (void);
DpFindings *dp_findings_ref (DpFindings *findings);
void dp_findings_unref (DpFindings *findings);

void dp_findings_add (
  DpFindings *findings, const char *file, guint line, const char *path, const char *format, ...)
  G_GNUC_PRINTF (5, 6);

guint dp_findings_count (const DpFindings *findings);
const DpFinding *dp_findings_get (const DpFindings *findings, guint index);

/* "file:line: path: message", one line a finding. Free with g_free(). */
char *dp_findings_format (const DpFindings *findings);
