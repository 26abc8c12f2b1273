/* What the programs have in common: loop, bus, the manifest and view in force, ticks,
 * the operators' listener, signals.
 *
 * Manifest and view come from the VM's agent, which gets a HELLO each second; or, for a static
 * set-up, from a file and flags. A manifest never gives way to one of a lower revision.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "manifest/manifest.h"
#include "manifest/settings.h"

#include <event2/event.h>
#include <glib.h>
#include <json-c/json.h>

typedef struct DpProcessSettings
{
  char *name;
  char *address;
  char *data_centre;
  guint16 entry_bus_port;
  guint16 scheduler_bus_port;
  guint16 agent_bus_port;
  guint16 operator_port;
  guint log_level;
  /* CURVE; all NULL: without */
  char *curve_public_key;
  char *curve_secret_key;
  char *curve_allowed_keys;
  /* static set-up */
  char *manifest;
  GPtrArray *vms; /* "NAME=IP=DATACENTRE"; of an agent: peers to ask */
} DpProcessSettings;

#define DP_PORT_SETTING(member, Type, field, text, port)                                       \
  {                                                                                            \
    .name = member, .type = DP_SETTING_PORT, .offset = G_STRUCT_OFFSET (Type, field),          \
    .argument = "PORT", .help = text, .minimum = 1, .maximum = G_MAXUINT16,                    \
    .default_number = port                                                                     \
  }

#define DP_TEXT_SETTING(member, Type, field, argument_text, text, is_required)                 \
  {                                                                                            \
    .name = member, .type = DP_SETTING_TEXT, .offset = G_STRUCT_OFFSET (Type, field),          \
    .argument = argument_text, .help = text, .required = is_required                           \
  }

#define DP_NUMBER_SETTING(member, Type, field, argument_text, text, low, high, number)         \
  {                                                                                            \
    .name = member, .type = DP_SETTING_NUMBER, .offset = G_STRUCT_OFFSET (Type, field),        \
    .argument = argument_text, .help = text, .minimum = low, .maximum = high,                  \
    .default_number = number                                                                   \
  }

/* Rows of an option table for the DpProcessSettings at `field` of Type: of all programs. */
#define DP_PROCESS_COMMON_SETTINGS(Type, field, default_operator_port)                         \
  DP_TEXT_SETTING ("name", Type, field.name, "NAME", "name of this VM", TRUE),                 \
    DP_TEXT_SETTING ("address", Type, field.address, "IP", "IP number of this VM", TRUE),      \
    DP_TEXT_SETTING ("data_centre", Type, field.data_centre, "NAME", "data centre of this VM", \
                     TRUE),                                                                    \
    DP_PORT_SETTING ("entry_bus_port", Type, field.entry_bus_port,                             \
                     "ZeroMQ port of entries (7091)", 7091),                                   \
    DP_PORT_SETTING ("scheduler_bus_port", Type, field.scheduler_bus_port,                     \
                     "ZeroMQ port of schedulers (7092)", 7092),                                \
    DP_PORT_SETTING ("agent_bus_port", Type, field.agent_bus_port,                             \
                     "ZeroMQ port of agents (7093)", 7093),                                    \
    DP_PORT_SETTING ("operator_port", Type, field.operator_port,                               \
                     "port of /metrics and /status", default_operator_port),                   \
    DP_NUMBER_SETTING ("log_level", Type, field.log_level, "N",                                \
                       "least severe syslog level that is logged (6)", 3, 7, 6),               \
    DP_TEXT_SETTING ("curve_public_key", Type, field.curve_public_key, "Z85",                  \
                     "key pair of all processes; without it the bus is not encrypted", FALSE), \
    DP_TEXT_SETTING ("curve_secret_key", Type, field.curve_secret_key, "Z85",                  \
                     "belongs in the settings file", FALSE),                                   \
    DP_TEXT_SETTING ("curve_allowed_keys", Type, field.curve_allowed_keys, "KEYS",             \
                     "further public keys that may connect", FALSE)

/* Further rows of those that follow an agent. */
#define DP_PROCESS_SETTINGS(Type, field, default_operator_port)                                \
  DP_PROCESS_COMMON_SETTINGS (Type, field, default_operator_port),                             \
    DP_TEXT_SETTING ("manifest", Type, field.manifest, "FILE",                                 \
                     "use this manifest instead of the agent's", FALSE),                       \
  {                                                                                            \
    .name = "vm", .type = DP_SETTING_TEXTS, .offset = G_STRUCT_OFFSET (Type, field.vms),       \
    .argument = "NAME=IP=DC", .help = "a VM, instead of the agent's view; repeatable"          \
  }

typedef struct DpProcess DpProcess;

/* All are called from the loop only. */
typedef struct DpProcessCallbacks
{
  void (*manifest) (gpointer user, DpManifest *manifest);
  void (*view) (gpointer user, DpView *view);
  void (*message) (gpointer user, DpPeer from, const DpMessage *message);
  void (*tick) (gpointer user);
  /* Open requests, for the agent; may be NULL. */
  guint (*open_requests) (gpointer user);
  /* Adds members to /status. */
  void (*status) (gpointer user, struct json_object *status);
  /* SIGTERM, once: finish what is open, then call dp_process_quit(). */
  void (*stop) (gpointer user);
} DpProcessCallbacks;

typedef struct DpProcessOptions
{
  const char *program;
  DpRole role;
  const DpProcessSettings *settings; /* must outlive the process */
  const DpProcessCallbacks *callbacks;
  gpointer user;
} DpProcessOptions;

/* Binds all sockets. NULL: findings say why. */
DpProcess *dp_process_new (const DpProcessOptions *options, DpFindings *findings);
void dp_process_free (DpProcess *process);

/* Puts the manifest and view of a static set-up in force, if the settings name them. */
gboolean dp_process_load_static (DpProcess *process, DpFindings *findings);

/* Runs until dp_process_quit(). */
void dp_process_run (DpProcess *process);
void dp_process_quit (DpProcess *process);

struct event_base *dp_process_base (DpProcess *process);
DpCounters *dp_process_counters (DpProcess *process);
guint64 dp_process_incarnation (const DpProcess *process);
gboolean dp_process_is_stopping (const DpProcess *process);
/* In force; NULL if there is none yet. */
DpManifest *dp_process_manifest (const DpProcess *process);

/* Parses "NAME=IP=DATACENTRE"; FALSE with a finding. */
gboolean dp_process_parse_vm (const char *text, DpVm *vm, DpFindings *findings);

/* Agents only: reaches peers at the addresses of this view from now on. */
void dp_process_set_peers (DpProcess *process, DpView *view);

void dp_process_send (DpProcess *process, DpPeer to, const DpMessage *message);

/* Unpredictable; for seeds. */
guint64 dp_process_random (void);

/* Clocks for events. */
DpUsec dp_process_now (void);
DpUsec dp_process_wall (void);
