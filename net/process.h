/* Functionality shared by all programs: event loop, bus, current manifest and view, ticks,
 * operator HTTP server, signals.
 *
 * Manifest and view come from the VM's agent, to which a HELLO is sent every second, or, in a
 * static setup, from a file and flags. A manifest is never replaced by one of a lower revision.
 */
#pragma once

#include "common/counters.h"
#include "core/message.h"
#include "core/view.h"
#include "manifest/manifest.h"
#include "manifest/settings.h"
#include "net/http_connections.h"
#include "net/work_meter.h"

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
  /* ZeroMQ CURVE keys; all NULL: no encryption */
  char *curve_public_key;
  char *curve_secret_key;
  char *curve_allowed_keys;
  /* static setup */
  char *manifest;
  GPtrArray *vms; /* "NAME=IP=DATACENTRE"; for an agent: its initial peers */
} DpProcessSettings;

#define DP_PORT_SETTING(key, Type, field, help_text, default_port)                             \
  {                                                                                            \
    .name = key, .type = DP_SETTING_PORT, .offset = G_STRUCT_OFFSET (Type, field),             \
    .argument = "PORT", .help = help_text, .minimum = 1, .maximum = G_MAXUINT16,               \
    .default_number = default_port                                                             \
  }

#define DP_TEXT_SETTING(key, Type, field, argument_text, help_text, is_required)               \
  {                                                                                            \
    .name = key, .type = DP_SETTING_STRING, .offset = G_STRUCT_OFFSET (Type, field),           \
    .argument = argument_text, .help = help_text, .required = is_required                      \
  }

#define DP_NUMBER_SETTING(key, Type, field, argument_text, help_text, min, max, default_value) \
  {                                                                                            \
    .name = key, .type = DP_SETTING_NUMBER, .offset = G_STRUCT_OFFSET (Type, field),           \
    .argument = argument_text, .help = help_text, .minimum = min, .maximum = max,              \
    .default_number = default_value                                                            \
  }

/* Settings rows of all programs, for the DpProcessSettings member `field` of Type. */
#define DP_PROCESS_COMMON_SETTINGS(Type, field, default_operator_port)                         \
  DP_TEXT_SETTING ("name", Type, field.name, "NAME", "name of this VM", TRUE),                 \
    DP_TEXT_SETTING ("address", Type, field.address, "IP", "IP address of this VM", TRUE),     \
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
                     "public key of all processes; without it the bus is not encrypted",       \
                     FALSE),                                                                   \
    DP_TEXT_SETTING ("curve_secret_key", Type, field.curve_secret_key, "Z85",                  \
                     "secret key of all processes; belongs in the settings file", FALSE),      \
    DP_TEXT_SETTING ("curve_allowed_keys", Type, field.curve_allowed_keys, "KEYS",             \
                     "additional public keys that may connect", FALSE)

/* Settings rows of programs that get manifest and view from an agent. */
#define DP_PROCESS_SETTINGS(Type, field, default_operator_port)                                \
  DP_PROCESS_COMMON_SETTINGS (Type, field, default_operator_port),                             \
    DP_TEXT_SETTING ("manifest", Type, field.manifest, "FILE",                                 \
                     "use this manifest instead of the agent's", FALSE),                       \
  {                                                                                            \
    .name = "vm", .type = DP_SETTING_STRING_LIST, .offset = G_STRUCT_OFFSET (Type, field.vms), \
    .argument = "NAME=IP=DC", .help = "a VM, replaces the agent's view; repeatable"            \
  }

typedef struct DpProcess DpProcess;

/* All are called from the event loop only. */
typedef struct DpProcessCallbacks
{
  void (*manifest) (gpointer user, DpManifest *manifest);
  void (*view) (gpointer user, DpView *view);
  void (*message) (gpointer user, DpPeer from, const DpMessage *message);
  void (*tick) (gpointer user);
  /* Returns the number of open requests, which is reported to the agent; may be NULL. */
  guint (*open_requests) (gpointer user);
  /* Adds members to /status; may be NULL. */
  void (*status) (gpointer user, struct json_object *status);
  /* Called once, on SIGTERM or SIGINT: finish open work, then call dp_process_quit(). */
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

/* Holds back SIGTERM and SIGHUP until dp_process_new() handles them. */
void dp_process_block_signals (void);

/* Binds all sockets. Returns NULL with diagnostics on failure. */
DpProcess *dp_process_new (const DpProcessOptions *options, DpDiagnostics *diagnostics);
void dp_process_free (DpProcess *process);

/* Applies the manifest and view of a static setup if the settings name them. Returns FALSE if
 * there are diagnostics. */
gboolean dp_process_load_static (DpProcess *process, DpDiagnostics *diagnostics);

/* Runs until dp_process_quit(). */
void dp_process_run (DpProcess *process);
/* To be called by a callback of the event loop, which ends after it. */
void dp_process_quit (DpProcess *process);

struct event_base *dp_process_base (DpProcess *process);
DpCounters *dp_process_counters (DpProcess *process);
/* Measures the work of the event loop, messages included. */
DpWorkMeter *dp_process_meter (DpProcess *process);
/* What clients of the operators' listener may make the process hold, together with others. Call
 * it before the process runs, and with empty budgets before they are freed. */
void dp_process_set_client_budgets (DpProcess *process, const DpHttpBudgets *budgets);
guint64 dp_process_incarnation (const DpProcess *process);
gboolean dp_process_is_stopping (const DpProcess *process);
/* The current manifest, owned by the process; NULL if there is none yet. */
DpManifest *dp_process_manifest (const DpProcess *process);

/* Parses "NAME=IP=DATACENTRE". Returns FALSE with a diagnostic if it is invalid. */
gboolean dp_process_parse_vm (const char *text, DpVm *vm, DpDiagnostics *diagnostics);

/* For agents: replaces the addresses of peers by those of this view. */
void dp_process_set_peers (DpProcess *process, DpView *view);

void dp_process_send (DpProcess *process, DpPeer to, const DpMessage *message);

/* Cryptographically secure; for seeds. */
guint64 dp_process_random (void);

/* common/clock.h, and the wall clock. */
DpUsec dp_process_now (void);
DpUsec dp_process_wall_time (void);
