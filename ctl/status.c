#include "ctl/commands.h"

#include "ctl/http_get.h"

#include <argp.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PLATFORM_PORT 7070

typedef struct Program
{
  const char *name;
  guint16 port; /* operator port */
} Program;

static const Program programs[] = {
  { "entry", 7081 },
  { "scheduler", 7082 },
  { "agent", 7083 },
};

typedef struct Arguments
{
  const char *platform; /* IP or IP:PORT; NULL: not queried */
  char **vms;
  int vm_count;
} Arguments;

static const struct argp_option option_table[] = {
  { "platform", 'p', "IP[:PORT]", 0, "show the data centres' status objects in the platform" },
  { 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;
  switch (key)
    {
    case 'p':
      arguments->platform = argument;
      return 0;
    case ARGP_KEY_ARGS:
      arguments->vms = &state->argv[state->next];
      arguments->vm_count = state->argc - state->next;
      return 0;
    case ARGP_KEY_END:
      if (arguments->platform == NULL && arguments->vm_count == 0)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_json (const char *text)
{
  struct json_object *object = json_tokener_parse (text);
  if (object != NULL)
    puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY
                                                    | JSON_C_TO_STRING_SPACED
                                                    | JSON_C_TO_STRING_NOSLASHESCAPE));
  else
    fputs ("not JSON\n", stdout);
  json_object_put (object);
}

/* Prints the counters, without empty lines and comments. */
static void
print_counters (const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0' && **line != '#')
      printf ("  %s\n", *line);
  g_strfreev (lines);
}

static gboolean
print_program (const char *address, const Program *program)
{
  const char *error;
  printf ("%s %s\n", address, program->name);
  char *status = dp_ctl_http_get (address, program->port, "/status", &error);
  if (status == NULL)
    {
      printf ("  %s\n", error);
      return FALSE;
    }
  print_json (status);
  g_free (status);
  char *counters = dp_ctl_http_get (address, program->port, "/metrics", &error);
  if (counters != NULL)
    print_counters (counters);
  else
    printf ("  %s\n", error);
  gboolean complete = counters != NULL;
  g_free (counters);
  return complete;
}

static gboolean
print_vm (const char *address)
{
  gboolean complete = TRUE;
  for (guint i = 0; i < G_N_ELEMENTS (programs); i++)
    complete = print_program (address, &programs[i]) && complete;
  return complete;
}

/* --- platform objects --- */

static gboolean
print_object (const char *address, guint16 port, const char *name)
{
  const char *error;
  char *path = g_strconcat ("/objects/", name, NULL);
  char *text = dp_ctl_http_get (address, port, path, &error);
  g_free (path);
  printf ("%s\n", name);
  if (text == NULL)
    printf ("  %s\n", error);
  else
    print_json (text);
  gboolean complete = text != NULL;
  g_free (text);
  return complete;
}

static gboolean
print_listed_objects (const char *address, guint16 port, struct json_object *list)
{
  struct json_object *rows;
  if (!json_object_object_get_ex (list, "objects", &rows)
      || !json_object_is_type (rows, json_type_array))
    return FALSE;
  gboolean complete = TRUE;
  for (gsize i = 0; i < json_object_array_length (rows); i++)
    {
      struct json_object *path;
      if (json_object_object_get_ex (json_object_array_get_idx (rows, i), "path", &path))
        complete = print_object (address, port, json_object_get_string (path)) && complete;
    }
  return complete;
}

static gboolean
print_data_centres (const char *platform)
{
  char **parts = g_strsplit (platform, ":", 2);
  guint64 port = parts[1] != NULL ? g_ascii_strtoull (parts[1], NULL, 10) : PLATFORM_PORT;
  const char *error;
  char *text = dp_ctl_http_get (parts[0], (guint16)port, "/list/status/", &error);
  struct json_object *list = text != NULL ? json_tokener_parse (text) : NULL;
  gboolean complete = list != NULL && print_listed_objects (parts[0], (guint16)port, list);
  if (text == NULL)
    printf ("%s: %s\n", platform, error);
  json_object_put (list);
  g_free (text);
  g_strfreev (parts);
  return complete;
}

int
dp_ctl_status (int argc, char **argv)
{
  Arguments arguments = { 0 };
  const struct argp argp
    = { .options = option_table,
        .parser = parse_option,
        .args_doc = "[IP...]",
        .doc = "Shows status and counters of the programs on the VMs at these IP addresses, or "
               "the data centres' status. Exit status 1 if a query failed." };
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  gboolean complete = arguments.platform == NULL || print_data_centres (arguments.platform);
  for (int i = 0; i < arguments.vm_count; i++)
    complete = print_vm (arguments.vms[i]) && complete;
  return complete ? EXIT_SUCCESS : EXIT_FAILURE;
}
