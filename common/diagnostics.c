#include "common/diagnostics.h"

struct DpDiagnostics
{
  gatomicrefcount refs;
  GPtrArray *items;
};

static void
diagnostic_free (gpointer data)
{
  DpDiagnostic *diagnostic = data;
  g_free (diagnostic->file);
  g_free (diagnostic->path);
  g_free (diagnostic->message);
  g_free (diagnostic);
}

DpDiagnostics *
dp_diagnostics_new (void)
{
  DpDiagnostics *diagnostics = g_new0 (DpDiagnostics, 1);
  g_atomic_ref_count_init (&diagnostics->refs);
  diagnostics->items = g_ptr_array_new_with_free_func (diagnostic_free);
  return diagnostics;
}

DpDiagnostics *
dp_diagnostics_ref (DpDiagnostics *diagnostics)
{
  g_atomic_ref_count_inc (&diagnostics->refs);
  return diagnostics;
}

void
dp_diagnostics_unref (DpDiagnostics *diagnostics)
{
  if (diagnostics == NULL || !g_atomic_ref_count_dec (&diagnostics->refs))
    return;
  g_ptr_array_unref (diagnostics->items);
  g_free (diagnostics);
}

void
dp_diagnostics_add (DpDiagnostics *diagnostics,
                    const char *file,
                    guint line,
                    const char *path,
                    const char *format,
                    ...)
{
  va_list args;
  va_start (args, format);
  DpDiagnostic *diagnostic = g_new0 (DpDiagnostic, 1);
  diagnostic->file = g_strdup (file);
  diagnostic->line = line;
  diagnostic->path = g_strdup (path);
  diagnostic->message = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (diagnostics->items, diagnostic);
}

guint
dp_diagnostics_count (const DpDiagnostics *diagnostics)
{
  return diagnostics->items->len;
}

const DpDiagnostic *
dp_diagnostics_get (const DpDiagnostics *diagnostics, guint index)
{
  return g_ptr_array_index (diagnostics->items, index);
}

char *
dp_diagnostics_format (const DpDiagnostics *diagnostics)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < diagnostics->items->len; i++)
    {
      const DpDiagnostic *diagnostic = dp_diagnostics_get (diagnostics, i);
      if (diagnostic->file != NULL)
        g_string_append_printf (text, "%s:", diagnostic->file);
      if (diagnostic->line > 0)
        g_string_append_printf (text, "%u:", diagnostic->line);
      if (text->len > 0 && text->str[text->len - 1] == ':')
        g_string_append_c (text, ' ');
      if (diagnostic->path != NULL)
        g_string_append_printf (text, "%s: ", diagnostic->path);
      g_string_append_printf (text, "%s\n", diagnostic->message);
    }
  return g_string_free (text, FALSE);
}
