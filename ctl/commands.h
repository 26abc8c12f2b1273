/* The commands of dogwoodplankctl. Each gets its own name and the arguments behind it, as
 * main() would, and returns the program's exit status. */
#pragma once

#define DP_EXIT_FINDINGS 1
#define DP_EXIT_USAGE 64

/* check FILE...: prints all findings of all files to standard output. */
int dp_ctl_check (int argc, char **argv);

/* status IP... | --platform IP[:PORT]: prints what the programs or the platform's objects tell.
 */
int dp_ctl_status (int argc, char **argv);

/* keypair: prints a new key pair for the settings of all processes. */
int dp_ctl_keypair (int argc, char **argv);

/* explain REQUEST-ID [FILE...]: prints a request's way through the processes' logs. */
int dp_ctl_explain (int argc, char **argv);
