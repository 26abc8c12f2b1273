/* dogwoodplankctl: for people and the build pipeline; reads, never changes anything. */
#include "ctl/commands.h"
#include "replay/replay.h"

#include <argp.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "dogwoodplankctl " DP_VERSION;

static const char doc[]
  = "Checks manifests and shows what the system reports.\v"
    "Commands:\n"
    "  check FILE...      checks manifests; prints every finding with file, line and member\n"
    "  status [IP...]     shows what programs on VMs, or the platform, report\n"
    "  explain ID [LOG...] shows a request's way through the processes' logs\n"
    "  keypair            makes keys for the traffic between processes\n"
    "  replay [TRACE...]  replays recorded traces on the shipping decisions\n"
    "\nCOMMAND --help tells more.\n"
    "\nExit status: 0 if all is well, 1 on findings, 64 on wrong usage.";

typedef struct Command
{
  const char *name;
  /* Runs with the command's name and the arguments behind it; returns the exit status. */
  int (*run) (int argc, char **argv);
} Command;

static const Command commands[] = {
  { "check", dp_ctl_check },     { "status", dp_ctl_status },  { "explain", dp_ctl_explain },
  { "keypair", dp_ctl_keypair }, { "replay", dp_replay_main },
};

typedef struct Arguments
{
  const Command *command;
  char **rest;
  int rest_count;
} Arguments;

static const Command *
find_command (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;
  switch (key)
    {
    case ARGP_KEY_ARG:
      arguments->command = find_command (argument);
      if (arguments->command == NULL)
        argp_error (state, "no such command: %s", argument);
      arguments->rest = &state->argv[state->next - 1];
      arguments->rest_count = state->argc - state->next + 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  Arguments arguments = { 0 };
  const struct argp argp
    = { .parser = parse_option, .args_doc = "COMMAND [ARGUMENT...]", .doc = doc };
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &arguments);
  return arguments.command->run (arguments.rest_count, arguments.rest);
}
