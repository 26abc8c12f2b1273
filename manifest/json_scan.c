#include "manifest/json_scan.h"

#include "manifest/json_text.h"

#include <string.h>

typedef struct Scanner
{
  const DpJsonScanOptions *options;
  gsize at;
  guint line;
  GString *path;
} Scanner;

static void scan_value (Scanner *scanner);

static gboolean
at_end (const Scanner *scanner)
{
  return scanner->at >= scanner->options->length;
}

static char
peek (const Scanner *scanner)
{
  return at_end (scanner) ? '\0' : scanner->options->text[scanner->at];
}

static void
advance (Scanner *scanner)
{
  if (at_end (scanner))
    return;
  if (scanner->options->text[scanner->at] == '\n')
    scanner->line++;
  scanner->at++;
}

static void
skip_space (Scanner *scanner)
{
  while (!at_end (scanner) && g_ascii_isspace (peek (scanner)))
    advance (scanner);
}

static void
report_member (Scanner *scanner)
{
  if (scanner->options->on_member != NULL)
    scanner->options->on_member (scanner->path->str, scanner->line, scanner->options->data);
}

static void
report_problem (Scanner *scanner, const char *problem)
{
  if (scanner->options->on_problem != NULL)
    scanner->options->on_problem (scanner->path->str, scanner->line, problem,
                                  scanner->options->data);
}

/* Skips a string. Returns it with its quotes. */
static char *
scan_string (Scanner *scanner)
{
  gsize start = scanner->at;
  advance (scanner);
  while (!at_end (scanner) && peek (scanner) != '"')
    {
      if ((guchar)peek (scanner) < 0x20)
        report_problem (scanner, "contains an unescaped control character");
      if (peek (scanner) == '\\')
        {
          advance (scanner);
          if (strncmp (&scanner->options->text[scanner->at], "u0000",
                       MIN ((gsize)5, scanner->options->length - scanner->at))
              == 0)
            report_problem (scanner, "contains a NUL character");
        }
      advance (scanner);
    }
  advance (scanner);
  return g_strndup (&scanner->options->text[start], scanner->at - start);
}

/* Returns the key without quotes and with its escapes decoded. */
static char *
decode_key (const char *quoted)
{
  struct json_object *string = json_tokener_parse (quoted);
  char *key = g_strdup (string != NULL ? json_object_get_string (string) : quoted);
  json_object_put (string);
  return key;
}

static void
scan_member (Scanner *scanner, GHashTable *keys)
{
  gsize parent = scanner->path->len;
  guint line = scanner->line;
  char *quoted = scan_string (scanner);
  char *key = decode_key (quoted);
  g_free (quoted);
  char *path = dp_json_member_path (scanner->path->str, key);
  g_string_assign (scanner->path, path);
  g_free (path);

  guint end_line = scanner->line;
  scanner->line = line;
  if (!g_hash_table_add (keys, key))
    report_problem (scanner, "duplicate key in this object");
  scanner->line = end_line;

  skip_space (scanner);
  advance (scanner); /* the colon */
  skip_space (scanner);
  report_member (scanner);
  scan_value (scanner);
  g_string_truncate (scanner->path, parent);
}

static void
scan_object (Scanner *scanner)
{
  GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  advance (scanner);
  skip_space (scanner);
  while (!at_end (scanner) && peek (scanner) == '"')
    {
      scan_member (scanner, keys);
      skip_space (scanner);
      if (peek (scanner) == ',')
        advance (scanner);
      skip_space (scanner);
    }
  /* json-c accepts keys in single quotes even in strict mode. */
  if (peek (scanner) != '}')
    report_problem (scanner, "has a key that is not in double quotes");
  advance (scanner);
  g_hash_table_unref (keys);
}

static void
scan_array (Scanner *scanner)
{
  gsize parent = scanner->path->len;
  guint index = 0;
  advance (scanner);
  skip_space (scanner);
  while (!at_end (scanner) && peek (scanner) != ']')
    {
      g_string_append_printf (scanner->path, "[%u]", index++);
      report_member (scanner);
      scan_value (scanner);
      g_string_truncate (scanner->path, parent);
      skip_space (scanner);
      if (peek (scanner) == ',')
        advance (scanner);
      skip_space (scanner);
    }
  advance (scanner);
}

/* json-c accepts NaN and Infinity even in strict mode. */
static gboolean
is_strict_literal (const char *literal)
{
  if (literal[0] == '-')
    return g_ascii_isdigit (literal[1]);
  return g_ascii_isdigit (literal[0]) || strcmp (literal, "true") == 0
         || strcmp (literal, "false") == 0 || strcmp (literal, "null") == 0;
}

/* A number, true, false or null. */
static void
scan_literal (Scanner *scanner)
{
  gsize start = scanner->at;
  while (!at_end (scanner) && !g_ascii_isspace (peek (scanner))
         && strchr (",]}", peek (scanner)) == NULL)
    advance (scanner);
  char *literal = g_strndup (&scanner->options->text[start], scanner->at - start);
  if (!is_strict_literal (literal))
    report_problem (scanner, "must be a number, true, false or null");
  g_free (literal);
}

static void
scan_value (Scanner *scanner)
{
  switch (peek (scanner))
    {
    case '{':
      scan_object (scanner);
      break;
    case '[':
      scan_array (scanner);
      break;
    case '"':
      g_free (scan_string (scanner));
      break;
    default:
      scan_literal (scanner);
      break;
    }
}

void
dp_json_scan (const DpJsonScanOptions *options)
{
  Scanner scanner = { .options = options, .line = 1, .path = g_string_new (NULL) };
  skip_space (&scanner);
  report_member (&scanner);
  scan_value (&scanner);
  g_string_free (scanner.path, TRUE);
}
