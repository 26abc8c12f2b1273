#include "manifest/json_text.h"

#include "manifest/json_scan.h"

#include <string.h>

struct DpJsonText
{
  gatomicrefcount refs;
  char *file;
  char *text; /* comments blanked */
  gsize length;
  struct json_object *root;
  DpFindings *findings;
  GHashTable *lines; /* member path -> line; built with the first finding */
};

static guint
line_at (const char *text, gsize offset)
{
  guint line = 1;
  for (gsize i = 0; i < offset; i++)
    line += text[i] == '\n';
  return line;
}

/* Index behind the string that starts at `start`. */
static gsize
skip_string (const char *text, gsize length, gsize start)
{
  gsize i = start + 1;
  while (i < length && text[i] != '"')
    i += text[i] == '\\' ? 2 : 1;
  return MIN (i + 1, length);
}

/* Index behind the comment that starts at `start`; 0 if it is never closed. */
static gsize
comment_end (const char *text, gsize length, gsize start)
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

/* Replaces comments by spaces, keeping newlines. Refuses single quotes on the way, which json-c
 * takes also where it is told to be strict. */
static gboolean
blank_comments (DpJsonText *document)
{
  char *text = document->text;
  gsize i = 0;
  while (i < document->length)
    {
      if (text[i] == '\'')
        {
          dp_findings_add (document->findings, document->file, line_at (text, i), NULL,
                           "strings need double quotes");
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
      gsize end = comment_end (text, document->length, i);
      if (end == 0)
        {
          dp_findings_add (document->findings, document->file, line_at (text, i), NULL,
                           "the comment is never closed");
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
    problem = "the text is not an object";
  else if (error == json_tokener_continue)
    problem = "the text ends too early";
  else if (error == json_tokener_error_depth)
    problem = "objects and arrays are nested too deeply";
  dp_findings_add (document->findings, document->file, line_at (document->text, end), NULL,
                   "%s", problem);
  return FALSE;
}

/* Size and character set, before any parsing. */
static gboolean
check_raw_text (DpJsonText *document, const char *text, gsize length, gsize limit)
{
  if (length > limit)
    {
      dp_findings_add (document->findings, document->file, 0, NULL,
                       "the text has %" G_GSIZE_FORMAT " bytes; at most %" G_GSIZE_FORMAT
                       " are allowed",
                       length, limit);
      return FALSE;
    }
  const char *end = text;
  if (!g_utf8_validate (text, (gssize)length, &end))
    {
      dp_findings_add (document->findings, document->file, line_at (text, (gsize)(end - text)),
                       NULL, "the text is not UTF-8, or holds a NUL byte");
      return FALSE;
    }
  return TRUE;
}

static void
add_scan_problem (const char *path, guint line, const char *problem, gpointer data)
{
  DpJsonText *document = data;
  dp_findings_add (document->findings, document->file, line, path, "%s", problem);
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
                    DpFindings *findings)
{
  DpJsonText *document = g_new0 (DpJsonText, 1);
  g_atomic_ref_count_init (&document->refs);
  document->file = g_strdup (file);
  document->findings = dp_findings_ref (findings);
  gboolean valid = check_raw_text (document, text, length, limits->bytes);
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
  dp_findings_unref (document->findings);
  g_clear_pointer (&document->lines, g_hash_table_unref);
  g_free (document);
}

struct json_object *
dp_json_text_root (const DpJsonText *document)
{
  return document->root;
}

static void
remember_line (const char *path, guint line, gpointer data)
{
  g_hash_table_insert (data, g_strdup (path), GUINT_TO_POINTER (line));
}

/* Cuts the last member or element off the path. */
static void
cut_path (char *path)
{
  char *dot = strrchr (path, '.');
  char *bracket = strrchr (path, '[');
  char *end = MAX (dot, bracket);
  *(end != NULL ? end : path) = '\0';
}

static guint
line_of (DpJsonText *document, const char *path)
{
  if (document->lines == NULL)
    {
      document->lines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      dp_json_scan (&(DpJsonScanOptions){ .text = document->text,
                                          .length = document->length,
                                          .on_member = remember_line,
                                          .data = document->lines });
    }
  char *place = g_strdup (path);
  while (place[0] != '\0' && !g_hash_table_contains (document->lines, place))
    cut_path (place);
  guint line = GPOINTER_TO_UINT (g_hash_table_lookup (document->lines, place));
  g_free (place);
  return line;
}

void
dp_json_text_add_finding (DpJsonText *document, const char *path, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *message = g_strdup_vprintf (format, args);
  va_end (args);
  dp_findings_add (document->findings, document->file, line_of (document, path),
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
