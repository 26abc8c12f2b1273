#include "ctl/commands.h"

#include "ctl/http_get.h"

#include <argp.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>

#define OPERATOR_PORT 7083
#define MSEC_PER_SEC 1000

typedef struct Arguments
{
  char **vms;
  int vm_count;
} Arguments;

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;
  switch (key)
    {
    case ARGP_KEY_ARGS:
      arguments->vms = &state->argv[state->next];
      arguments->vm_count = state->argc - state->next;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const char *
text_of (struct json_object *object, const char *name)
{
  struct json_object *value;
  return json_object_object_get_ex (object, name, &value) ? json_object_get_string (value)
                                                          : "-";
}

static gint64
number_of (struct json_object *object, const char *name)
{
  struct json_object *value;
  return json_object_object_get_ex (object, name, &value) ? json_object_get_int64 (value) : 0;
}

static double
decimal_of (struct json_object *object, const char *name)
{
  struct json_object *value;
  return json_object_object_get_ex (object, name, &value) ? json_object_get_double (value) : 0;
}

static void
print_counts (struct json_object *order, const char *name)
{
  struct json_object *counts;
  if (json_object_object_get_ex (order, name, &counts))
    printf ("    %s version: sent %" G_GINT64_FORMAT ", good %" G_GINT64_FORMAT
            ", bad %" G_GINT64_FORMAT "\n",
            name, number_of (counts, "sent"), number_of (counts, "good"),
            number_of (counts, "bad"));
}

/* What the owner decides; other VMs don't know it. */
static void
print_decision (struct json_object *order)
{
  if (!json_object_object_get_ex (order, "participants", NULL))
    {
      puts ("    decided by another VM, the pool's owner");
      return;
    }
  printf ("    wanted: %s, cause: %s\n", text_of (order, "wanted"), text_of (order, "cause"));
  printf ("    step %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
          ", share %.3f, targets: %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
          " new, %" G_GINT64_FORMAT " old with %" G_GINT64_FORMAT " requests\n",
          number_of (order, "step") + 1, number_of (order, "steps"),
          decimal_of (order, "share"), number_of (order, "participants"),
          number_of (order, "new_targets"), number_of (order, "old_targets"),
          number_of (order, "old_running"));
  print_counts (order, "new");
  print_counts (order, "old");
  printf ("    test: %.2f, rolled back above %.2f\n", decimal_of (order, "score"),
          decimal_of (order, "threshold"));
}

static void
print_order (const char *service, struct json_object *order)
{
  printf ("  %s to %s: %s (order %s, in the store: %s), %" G_GINT64_FORMAT
          " of %" G_GINT64_FORMAT " s\n",
          service, text_of (order, "target"), text_of (order, "state"),
          text_of (order, "order"), text_of (order, "stored"),
          number_of (order, "age_ms") / MSEC_PER_SEC,
          number_of (order, "duration_ms") / MSEC_PER_SEC);
  print_decision (order);
}

static gboolean
print_vm (const char *vm)
{
  char **parts = g_strsplit (vm, ":", 2);
  guint64 port = parts[1] != NULL ? g_ascii_strtoull (parts[1], NULL, 10) : OPERATOR_PORT;
  const char *error = "not JSON";
  char *text = dp_ctl_http_get (parts[0], (guint16)port, "/status", &error);
  struct json_object *status = text != NULL ? json_tokener_parse (text) : NULL;
  struct json_object *orders;
  printf ("%s\n", vm);
  if (status == NULL)
    printf ("  %s\n", error);
  else if (!json_object_object_get_ex (status, "rollouts", &orders))
    puts ("  staged roll-outs are off");
  else if (json_object_object_length (orders) == 0)
    puts ("  no orders");
  else
    {
      json_object_object_foreach (orders, service, order)
      {
        print_order (service, order);
      }
    }
  gboolean complete = status != NULL;
  json_object_put (status);
  g_free (text);
  g_strfreev (parts);
  return complete;
}

int
dp_ctl_rollouts (int argc, char **argv)
{
  Arguments arguments = { 0 };
  const struct argp argp
    = { .parser = parse_option,
        .args_doc = "IP[:PORT]...",
        .doc = "Shows the orders to roll out versions as the nodes at these operator addresses "
               "know them, and their progress at the owner. Exit status 1 if a query failed." };
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  gboolean complete = TRUE;
  for (int i = 0; i < arguments.vm_count; i++)
    complete = print_vm (arguments.vms[i]) && complete;
  return complete ? EXIT_SUCCESS : EXIT_FAILURE;
}
