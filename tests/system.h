/* A small system of real processes for tests: the platform, two engines of different speed, one
 * service, and three VMs with an agent, a scheduler and an entry each. It uses its own loopback
 * addresses.
 *
 * All processes are killed when the test's process ends, also after a failed assertion.
 */
#pragma once

#include "tests/process.h"

#define SYSTEM_VMS 3
#define SYSTEM_ENGINES 2

#define SYSTEM_ENTRY_PORT 7080
#define SYSTEM_ENTRY_OPERATOR_PORT 7081
#define SYSTEM_SCHEDULER_OPERATOR_PORT 7082
#define SYSTEM_TARGET_PORT 8000
#define SYSTEM_CONTROL_PORT 8001

typedef struct System
{
  const char *build;   /* build directory */
  char *folder;        /* logs, manifest and VM list; system_stop() removes it */
  char *manifest;      /* path of the first manifest */
  char net_prefix[16]; /* first three octets of all addresses */
  Process *platform;
  Process *service;
  Process *engines[SYSTEM_ENGINES];
  Process *entries[SYSTEM_VMS];
  Process *schedulers[SYSTEM_VMS];
  Process *agents[SYSTEM_VMS];
} System;

/* Starts all processes and waits until each entry and scheduler has the manifest. Fails the
 * test on a timeout. */
System *system_start (const char *build);
void system_stop (System *system);

/* Start a single process, as after a kill. */
void system_start_engine (System *system, guint index);
void system_start_entry (System *system, guint vm);
void system_start_scheduler (System *system, guint vm);
void system_start_agent (System *system, guint vm);

/* Sends SIGKILL, waits for the exit and sets `*process` to NULL. */
void system_kill (Process **process);

/* The addresses are in static buffers; each is reused after eight calls. */
const char *system_vm_address (const System *system, guint vm);
const char *system_engine_address (const System *system, guint index);
const char *system_service_address (const System *system);
const char *system_platform_address (const System *system);

/* Sets the faults of a stand-in by POST /fault on its control port. */
void system_set_fault (const char *address, const char *json);

/* Sums a number of /stats over the engines; an engine that does not respond counts as 0. */
gint64 system_sum_engine_stat (const System *system, const char *name);

/* Waits until that sum is at least `wanted`; fails the test on a timeout. */
void system_wait_for_engine_stat (const System *system, const char *name, gint64 wanted);

/* A run of standin-load. */
typedef struct Load
{
  Process *process;
  char *out_path;
  const char *folder; /* of the system's logs */
} Load;

typedef struct LoadSummary
{
  int exit_code;
  gint64 right;
  gint64 problem;
  gint64 broken;
  gint64 wrong;
  gint64 stuck;
  char *text; /* its output, then the entries' log lines of incomplete responses */
} LoadSummary;

/* Starts the load client against the VMs in `vm_mask` (one bit per VM). `flags` are further
 * arguments, NULL-terminated. */
Load *system_start_load (System *system, guint vm_mask, const char *const *flags);

/* Waits for the load client's exit and frees `load`. Free the text with g_free(). */
LoadSummary system_finish_load (Load *load);
