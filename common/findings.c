#include "common/findings.h"

struct DpFindings
{
  gatomicrefcount refs;
  GPtrArray *items;
};

static void
finding_free (gpointer data)
{
  DpFinding *finding = data;
  g_free (finding->file);
  g_free (finding->path);
  g_free (finding->message);
  g_free (finding);
}

DpFindings *
dp_findings_new (void)
{
  DpFindings *findings = g_new0 (DpFindings, 1);
  g_atomic_ref_count_init (&findings->refs);
  findings->items = g_ptr_array_new_with_free_func (finding_free);
  return findings;
}

DpFindings *
dp_findings_ref (DpFindings *findings)
{
  g_atomic_ref_count_inc (&findings->refs);
  return findings;
}

void
dp_findings_unref (DpFindings *findings)
{
  if (findings == NULL || !g_atomic_ref_count_dec (&findings->refs))
    return;
  g_ptr_array_unref (findings->items);
  g_free (findings);
}

void
dp_findings_add (
  DpFindings *findings, const char *file, guint line, const char *path, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  DpFinding *finding = g_new0 (DpFinding, 1);
  finding->file = g_strdup (file);
  finding->line = line;
  finding->path = g_strdup (path);
  finding->message = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (findings->items, finding);
}

guint
dp_findings_count (const DpFindings *findings)
{
  return findings->items->len;
}

const DpFinding *
dp_findings_get (const DpFindings *findings, guint index)
{
  return g_ptr_array_index (findings->items, index);
}

char *
dp_findings_format (const DpFindings *findings)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < findings->items->len; i++)
    {
      const DpFinding *finding = dp_findings_get (findings, i);
      if (finding->file != NULL)
        g_string_append_printf (text, "%s:", finding->file);
      if (finding->line > 0)
        g_string_append_printf (text, "%u:", finding->line);
      if (text->len > 0 && text->str[text->len - 1] == ':')
        g_string_append_c (text, ' ');
      if (finding->path != NULL)
        g_string_append_printf (text, "%s: ", finding->path);
      g_string_append_printf (text, "%s\n", finding->message);
    }
  return g_string_free (text, FALSE);
}
