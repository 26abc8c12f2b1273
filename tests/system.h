/* A small system of real processes for tests: platform, two unlike engines, one plain service,
 * three VMs with an agent, a scheduler and an entry each, on loopback addresses of its own.
 *
 * All processes die with the test's process, also when an assertion fails.
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
  const char *build; /* build folder */
  char *folder;      /* logs and manifest; removed at the end */
  char *manifest;    /* path */
  char net[16];      /* first three numbers of all addresses */
  Process *platform;
  Process *service;
  Process *engines[SYSTEM_ENGINES];
  Process *entries[SYSTEM_VMS];
  Process *schedulers[SYSTEM_VMS];
  Process *agents[SYSTEM_VMS];
} System;

/* Starts all processes and waits until each entry serves. Fails the test otherwise. */
System *system_start (const char *build);
void system_stop (System *system);

/* Single processes, to be started again after a kill. */
void system_start_engine (System *system, guint index);
void system_start_entry (System *system, guint vm);
void system_start_scheduler (System *system, guint vm);
void system_start_agent (System *system, guint vm);

/* Kills without warning, by process id. */
void system_kill (Process **process);

/* Addresses, in static buffers that live until the next few calls. */
const char *system_vm_address (const System *system, guint vm);
const char *system_engine_address (const System *system, guint index);
const char *system_service_address (const System *system);
const char *system_platform_address (const System *system);

/* Sets fault switches by POST /fault of a control port. */
void system_set_fault (const char *address, const char *json);

/* Sum of a counter over both engines. */
gint64 system_engine_sum (const System *system, const char *name);

/* Waits until that sum has reached `wanted`; fails the test if it doesn't. */
void system_wait_engines (const System *system, const char *name, gint64 wanted);

/* A run of standin-load. */
typedef struct Load
{
  Process *process;
  char *out_path;
  const char *folder; /* the system's */
} Load;

typedef struct LoadSummary
{
  int exit_code;
  gint64 right;
  gint64 problem;
  gint64 broken;
  gint64 wrong;
  gint64 stuck;
  char *text; /* all of its output */
} LoadSummary;

/* Starts the load client against the VMs of `vm_mask` (bit per VM), with further flags that
 * are ended by NULL. */
Load *system_start_load (System *system, guint vm_mask, const char *const *flags);

/* Waits for its end. Free the text with g_free(). */
LoadSummary system_finish_load (Load *load);
