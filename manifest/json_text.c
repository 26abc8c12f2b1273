#include "manifest/json_text.h"

#include "manifest/json_scan.h"

#include <string.h>

struct DpJsonText
{
  gatomicrefcount refs;
  char *file;
  char *text; /* comments replaced by spaces */
  gsize length;
  struct json_object *root;
  DpDiagnostics *diagnostics;
  GHashTable *lines; /* member path -> line; built for the first diagnostic */
};

static guint
line_at (const char *text, gsize offset)
{
  guint line = 1;
  for (gsize i = 0; i < offset; i++)
    line += text[i] == '\n';
  return line;
}

/* Returns the offset after the string that starts at `start`. */
static gsize
skip_string (const char *text, gsize length, gsize start)
{
  gsize i = start + 1;
  while (i < length && text[i] != '"')
    i += text[i] == '\\' ? 2 : 1;
  return MIN (i + 1, length);
}

/* Returns the offset after the comment that starts at `start`, or 0 if it is unterminated. */
static gsize
find_comment_end (const char *text, gsize length, gsize start)
{
  if (text[start + 1] == '/')
    {
      const char *newline = memchr (&text[start], '\n', length - start);
      return newline != NULL ? (gsize)(newline - text) : length;
    }
  for (gsize i = start + 2; i + 1 < length; i++)
    if (text[i] == '*' && text[i + 1] == '/')
      return i + 2;
  return 0;
}

static gboolean
starts_comment (const char *text, gsize length, gsize at)
{
  return text[at] == '/' && at + 1 < length && (text[at + 1] == '/' || text[at + 1] == '*');
}

/* Replaces comments by spaces, keeping newlines. Also rejects strings in single quotes, which
 * json-c accepts even in strict mode. */
static gboolean
blank_comments (DpJsonText *document)
{
  char *text = document->text;
  gsize i = 0;
  while (i < document->length)
    {
      if (text[i] == '\'')
        {
          dp_diagnostics_add (document->diagnostics, document->file, line_at (text, i), NULL,
                              "strings must be in double quotes");
          return FALSE;
        }
      if (text[i] == '"')
        {
          i = skip_string (text, document->length, i);
          continue;
        }
      if (!starts_comment (text, document->length, i))
        {
          i++;
          continue;
        }
      gsize end = find_comment_end (text, document->length, i);
      if (end == 0)
        {
          dp_diagnostics_add (document->diagnostics, document->file, line_at (text, i), NULL,
                              "unterminated comment");
          return FALSE;
        }
      for (; i < end; i++)
        if (text[i] != '\n')
          text[i] = ' ';
    }
  return TRUE;
}

static gboolean
parse_strictly (DpJsonText *document, guint depth)
{
  struct json_tokener *tokener = json_tokener_new_ex ((int)depth);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  document->root = json_tokener_parse_ex (tokener, document->text, (int)document->length);
  enum json_tokener_error error = json_tokener_get_error (tokener);
  gsize end = MIN (json_tokener_get_parse_end (tokener), document->length);
  json_tokener_free (tokener);
  if (error == json_tokener_success && json_object_is_type (document->root, json_type_object))
    return TRUE;

  const char *problem = json_tokener_error_desc (error);
  if (error == json_tokener_success)
    problem = "the top-level value must be an object";
  else if (error == json_tokener_continue)
    problem = "unexpected end of text";
  else if (error == json_tokener_error_depth)
    problem = "objects and arrays are nested too deeply";
  dp_diagnostics_add (document->diagnostics, document->file, line_at (document->text, end),
                      NULL, "%s", problem);
  return FALSE;
}

static gboolean
check_size_and_encoding (DpJsonText *document, const char *text, gsize length, gsize limit)
{
  if (length > limit)
    {
      dp_diagnostics_add (document->diagnostics, document->file, 0, NULL,
                          "the text has %" G_GSIZE_FORMAT " bytes; at most %" G_GSIZE_FORMAT
                          " are allowed",
                          length, limit);
      return FALSE;
    }
  const char *end = text;
  if (!g_utf8_validate (text, (gssize)length, &end))
    {
      dp_diagnostics_add (document->diagnostics, document->file,
                          line_at (text, (gsize)(end - text)), NULL,
                          "the text is not valid UTF-8 or contains a NUL byte");
      return FALSE;
    }
  return TRUE;
}

static void
add_scan_problem (const char *path, guint line, const char *problem, gpointer data)
{
  DpJsonText *document = data;
  dp_diagnostics_add (document->diagnostics, document->file, line, path, "%s", problem);
}

static void
check_scanned_text (DpJsonText *document)
{
  dp_json_scan (&(DpJsonScanOptions){ .text = document->text,
                                      .length = document->length,
                                      .on_problem = add_scan_problem,
                                      .data = document });
}

DpJsonText *
dp_json_text_parse (const char *file,
                    const char *text,
                    gsize length,
                    const DpJsonLimits *limits,
                    DpDiagnostics *diagnostics)
{
  DpJsonText *document = g_new0 (DpJsonText, 1);
  g_atomic_ref_count_init (&document->refs);
  document->file = g_strdup (file);
  document->diagnostics = dp_diagnostics_ref (diagnostics);
  gboolean valid = check_size_and_encoding (document, text, length, limits->bytes);
  if (valid)
    {
      document->text = g_strndup (text, length);
      document->length = length;
      valid = blank_comments (document) && parse_strictly (document, limits->depth);
    }
  if (!valid)
    {
      dp_json_text_unref (document);
      return NULL;
    }
  check_scanned_text (document);
  return document;
}

DpJsonText *
dp_json_text_ref (DpJsonText *document)
{
  g_atomic_ref_count_inc (&document->refs);
  return document;
}

void
dp_json_text_unref (DpJsonText *document)
{
  if (document == NULL || !g_atomic_ref_count_dec (&document->refs))
    return;
  g_free (document->file);
  g_free (document->text);
  json_object_put (document->root);
  dp_diagnostics_unref (document->diagnostics);
  g_clear_pointer (&document->lines, g_hash_table_unref);
  g_free (document);
}

struct json_object *
dp_json_text_root (const DpJsonText *document)
{
  return document->root;
}

static void
store_line (const char *path, guint line, gpointer data)
{
  g_hash_table_insert (data, g_strdup (path), GUINT_TO_POINTER (line));
}

/* Removes the last member or array index from the path. */
static void
truncate_to_parent (char *path)
{
  char *dot = strrchr (path, '.');
  char *bracket = strrchr (path, '[');
  char *end = MAX (dot, bracket);
  *(end != NULL ? end : path) = '\0';
}

static guint
find_line (DpJsonText *document, const char *path)
{
  if (document->lines == NULL)
    {
      document->lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      dp_json_scan (&(DpJsonScanOptions){ .text = document->text,
                                          .length = document->length,
                                          .on_member = store_line,
                                          .data = document->lines });
    }
  char *known = g_strdup (path);
  while (known[0] != '\0' && !g_hash_table_contains (document->lines, known))
    truncate_to_parent (known);
  guint line = GPOINTER_TO_UINT (g_hash_table_lookup (document->lines, known));
  g_free (known);
  return line;
}

void
dp_json_text_add_diagnostic (DpJsonText *document, const char *path, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *message = g_strdup_vprintf (format, args);
  va_end (args);
  dp_diagnostics_add (document->diagnostics, document->file, find_line (document, path),
                      path[0] != '\0' ? path : NULL, "%s", message);
  g_free (message);
}

char *
dp_json_member_path (const char *path, const char *name)
{
  char *escaped = g_strescape (name, NULL);
  char *member = path[0] != '\0' ? g_strconcat (path, ".", escaped, NULL) : g_strdup (escaped);
  g_free (escaped);
  return member;
}

char *
dp_json_element_path (const char *path, guint index)
{
  return g_strdup_printf ("%s[%u]", path, index);
}
