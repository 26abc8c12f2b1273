/* Commands of dogwoodplankctl. Each takes its name and arguments, like main(), and returns the
 * program's exit status. */
#pragma once

#define DP_EXIT_DIAGNOSTICS 1
#define DP_EXIT_USAGE 64

/* check FILE...: prints the diagnostics of all manifests to standard output. */
int dp_ctl_check (int argc, char **argv);

/* status IP... | --platform IP[:PORT]: prints status and counters of the programs on VMs, or
 * the status objects in the platform. */
int dp_ctl_status (int argc, char **argv);

/* rollouts IP[:PORT]...: prints the orders to roll out versions and their progress, as nodes
 * know them. */
int dp_ctl_rollouts (int argc, char **argv);

/* keypair: prints a new key pair for the settings files of all processes. */
int dp_ctl_keypair (int argc, char **argv);

/* explain REQUEST-ID [FILE...]: prints the log lines of a request and of its targets. */
int dp_ctl_explain (int argc, char **argv);
