/* explain: collects the log lines of one request from all processes. */
#include "ctl/commands.h"

#include <argp.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct Arguments
{
  const char *request;
  GPtrArray *files; /* const char *; empty: standard input */
} Arguments;

/* The lines of all files, in order. All lines are kept, as those about a target may precede the
 * request's first line. */
typedef struct Log
{
  GPtrArray *lines; /* char * */
} Log;

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;
  switch (key)
    {
    case ARGP_KEY_ARG:
      if (arguments->request == NULL)
        arguments->request = argument;
      else
        g_ptr_array_add (arguments->files, argument);
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
read_lines (Log *log, FILE *file)
{
  char *line = NULL;
  size_t size = 0;
  ssize_t length;
  while ((length = getline (&line, &size, file)) > 0)
    g_ptr_array_add (log->lines, g_strndup (line, (gsize)length));
  free (line);
}

/* Prints an error and returns FALSE if the file can't be opened. */
static gboolean
read_file (Log *log, const char *path)
{
  FILE *file = fopen (path, "re");
  if (file == NULL)
    {
      perror (path);
      return FALSE;
    }
  read_lines (log, file);
  fclose (file);
  return TRUE;
}

/* Returns the value of KEY=VALUE in the line, or NULL. Free with g_free(). */
static char *
find_value (const char *line, const char *key)
{
  char *pattern = g_strdup_printf (" %s=", key);
  const char *at = strstr (line, pattern);
  char *value = NULL;
  if (at != NULL)
    {
      at += strlen (pattern);
      value = g_strndup (at, strcspn (at, " \n"));
    }
  g_free (pattern);
  return value;
}

static gboolean
has_value (const char *line, const char *key, const char *wanted)
{
  char *value = find_value (line, key);
  gboolean same = g_strcmp0 (value, wanted) == 0;
  g_free (value);
  return same;
}

/* Prints the lines of the request; returns the set of targets that they mention. */
static GHashTable *
print_request (const Log *log, const char *request, guint *count)
{
  GHashTable *targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < log->lines->len; i++)
    {
      const char *line = g_ptr_array_index (log->lines, i);
      if (!has_value (line, "request", request))
        continue;
      (*count)++;
      fputs (line, stdout);
      char *target = find_value (line, "target");
      if (target != NULL && target[0] != '\0' && target[0] != '"')
        g_hash_table_add (targets, target);
      else
        g_free (target);
    }
  return targets;
}

/* Prints the log lines about each target and its number of failed attempts of other requests.
 */
static void
print_targets (const Log *log, GHashTable *targets, const char *request)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const char *target = key;
      guint failures = 0;
      printf ("--- target %s\n", target);
      for (guint i = 0; i < log->lines->len; i++)
        {
          const char *line = g_ptr_array_index (log->lines, i);
          if (has_value (line, "name", target))
            fputs (line, stdout);
          else if (strstr (line, "event=sending_failed") != NULL
                   && has_value (line, "target", target)
                   && !has_value (line, "request", request))
            failures++;
        }
      printf ("failed attempts of other requests on this target: %u\n", failures);
    }
}

static gboolean
read_log (Log *log, const Arguments *arguments)
{
  gboolean ok = TRUE;
  for (guint i = 0; i < arguments->files->len; i++)
    ok &= read_file (log, g_ptr_array_index (arguments->files, i));
  if (arguments->files->len == 0)
    read_lines (log, stdin);
  return ok;
}

int
dp_ctl_explain (int argc, char **argv)
{
  Arguments arguments = { .files = g_ptr_array_new () };
  const struct argp argp
    = { .parser = parse_option,
        .args_doc = "REQUEST-ID [FILE...]",
        .doc
        = "Prints the log lines of a request from the logs of all processes (without FILE, "
          "from standard input), and those about the targets it was sent to." };
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  Log log = { .lines = g_ptr_array_new_with_free_func (g_free) };
  gboolean ok = read_log (&log, &arguments);
  guint count = 0;
  GHashTable *targets = print_request (&log, arguments.request, &count);
  print_targets (&log, targets, arguments.request);
  if (count == 0)
    fprintf (stderr, "no log line mentions request %s\n", arguments.request);
  g_hash_table_unref (targets);
  g_ptr_array_unref (log.lines);
  g_ptr_array_unref (arguments.files);
  return ok && count > 0 ? EXIT_SUCCESS : DP_EXIT_DIAGNOSTICS;
}
