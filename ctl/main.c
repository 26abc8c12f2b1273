/* dogwoodplankctl: read-only command-line tool for operators and the build pipeline. */
#include "ctl/commands.h"
#include "replay/replay.h"

#include <argp.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "dogwoodplankctl " DP_VERSION;

static const char doc[]
  = "Checks manifests and shows the state of the system.\v"
    "Commands:\n"
    "  check FILE...        lists findings in manifests with file, line and member\n"
    "  status [IP...]       shows the status of programs on VMs, or of data centres\n"
    "  rollouts IP...       shows the orders to roll out versions, as nodes know them\n"
    "  explain ID [LOG...]  shows the log lines of a request from all processes\n"
    "  keypair              generates a key pair for traffic between processes\n"
    "  replay [TRACE...]    replays traces through the production decision code\n"
    "\nSee COMMAND --help for details.\n"
    "\nExit status: 0 on success, 1 on findings or failures, 64 on usage errors.";

typedef struct Command
{
  const char *name;
  /* Takes the command's name and arguments; returns the exit status. */
  int (*run) (int argc, char **argv);
} Command;

static const Command commands[] = {
  { "check", dp_ctl_check },     { "status", dp_ctl_status },  { "explain", dp_ctl_explain },
  { "keypair", dp_ctl_keypair }, { "replay", dp_replay_main }, { "rollouts", dp_ctl_rollouts },
};

typedef struct Arguments
{
  const Command *command;
  char **command_argv;
  int command_argc;
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
        argp_error (state, "unknown command: %s", argument);
      arguments->command_argv = &state->argv[state->next - 1];
      arguments->command_argc = state->argc - state->next + 1;
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
  return arguments.command->run (arguments.command_argc, arguments.command_argv);
}
