/* The commands of dogwoodplankctl. Each gets the arguments behind its own name and returns the
 * program's exit status. */
#pragma once

#define DP_EXIT_FINDINGS 1
#define DP_EXIT_USAGE 64

/* check FILE...: prints all findings of all files to standard output. */
int dp_ctl_check (int argc, char **argv);
