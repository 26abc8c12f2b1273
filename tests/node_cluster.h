/* A small system of the users' platform: a store, targets and nodes as real processes. */
#pragma once

#include "tests/node_kit.h"

#define TARGETS 2
/* Some tests are built with more. */
#ifndef VMS
#define VMS 2
#endif
/* Let one VM, given by its number, run the node of an older build folder. */
#define OLDER_BUILD_VARIABLE "DP_OLDER_BUILD"
#define OLDER_VM_VARIABLE "DP_OLDER_VM"
#define WAIT (10 * DP_USEC_PER_SEC)
#define HOST "Host: site.example\r\n"
#define KEY "Authorization: Bearer letmein\r\n"
#define TOKENS "Token-Count: 100,40\r\nModel: m\r\n"

typedef struct Cluster
{
  const char *build;         /* build directory */
  const char *older_build;   /* NULL: none */
  gboolean is_older[VMS];    /* the next start runs `older_build` */
  const char *node_program;  /* in the build directory; NULL: the node's */
  const char *more_settings; /* of the nodes, see NodeKitVm */
  gboolean was_started;      /* nodes are not told of a first start of the whole system */
  char *folder;
  char *log;
  const char *data_centre[VMS]; /* NULL: "a" */
  char address[VMS][16];
  guint16 store;
  guint16 store_control;
  guint16 target[TARGETS];
  guint16 target_control[TARGETS];
  guint16 caller_port[VMS];
  guint16 ready_port[VMS];
  guint16 bus_port;
  guint16 vm_bus_port[VMS]; /* 0: bus_port; VMs with different ports don't reach each other */
  guint16 tunnel_port;
  guint16 operator_port;
  NodeKitStore vm_store[VMS]; /* store's address for this VM; port 0: the store itself */
  Process *store_process;
  Process *target_process[TARGETS];
  Process *node[VMS];
} Cluster;

/* Starts the store and the targets. */
Cluster *cluster_new (const char *build);
/* Fills the store, starts all nodes and waits until they are ready. */
void cluster_start_nodes (Cluster *cluster);
/* Starts the whole system and waits until all nodes are ready. */
Cluster *cluster_start (const char *build);
void cluster_free (Cluster *cluster);

NodeKitStore store_of (const Cluster *cluster);
void put_config (const Cluster *cluster, guint version, const char *more_routes);
void put_target (const Cluster *cluster, guint index, const char *method, const char *state);
void put_target_of (const Cluster *cluster,
                    guint index,
                    const char *method,
                    const char *state,
                    const char *service);
void put_target_version (const Cluster *cluster,
                         guint index,
                         const char *method,
                         const char *version);
/* Writes the config and the targets to the store. */
void fill_store (Cluster *cluster);
void start_node (Cluster *cluster, guint vm);
/* Waits until /ready of the VM answers 200. */
gboolean wait_ready (const Cluster *cluster, guint vm);
void set_fault (const Cluster *cluster, guint16 control, const char *json);
/* Sum of a number in GET /runs of all targets. */
gint64 sum_target_counter (const Cluster *cluster, const char *name);
/* Waits until the VM shows this number on its metrics address. */
void wait_for_metric_at (const Cluster *cluster, guint vm, const char *name, gint64 wanted);
/* The same for all VMs. */
void wait_for_metric (const Cluster *cluster, const char *name, gint64 wanted);
/* Kills the first `count` nodes and starts them again. */
void kill_nodes (Cluster *cluster, guint count);
/* Status of a GET by a caller. */
int get_status (const Cluster *cluster, guint vm, const char *path);

/* Waits until requests of the path get the status. FALSE if they don't within WAIT. */
gboolean wait_status (const Cluster *cluster, guint vm, const char *path, int wanted);
