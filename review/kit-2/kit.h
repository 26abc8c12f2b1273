/* Small helpers for the scripts of the second review: processes, a store, engines and
 * requesters on loopback addresses. Plain POSIX and threads; nothing of the project is linked.
 */
#pragma once

#include "review/kit-2/wire.inc"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define KIT_HOST "site.example"
#define KIT_KEY "key-of-one"
#define KIT_NODES_MAX 16

/* --- run --- */

/* Opens the record, makes a temporary folder, and ends everything after `seconds`. */
void kit_begin (const char *record, unsigned seconds);
/* Ends all processes that were started and exits with this code. */
void kit_end (int code) __attribute__ ((noreturn));
/* Ends with 2: the case couldn't run. */
void kit_fail (const char *format, ...) __attribute__ ((noreturn, format (printf, 1, 2)));
/* Writes a line with the time to the record. */
void kit_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* The same, and to the standard output. */
void kit_say (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Milliseconds since kit_begin(). */
double kit_now (void);
void kit_sleep (double ms);
/* FALSE if TROUBLE=0 is set. */
bool kit_has_trouble (void);

/* --- processes --- */

/* `variable`: "NAME=value" or NULL. Output goes to a file of that name in the temporary folder.
 */
pid_t kit_spawn (const char *name, char *const argv[], const char *variable);
/* Waits until the process has ended. */
void kit_reap (pid_t pid);
/* Resident memory in KB; 0 if the process is gone. */
long kit_resident_kb (pid_t pid);
/* FALSE if the process has ended; `status` is that of waitpid(). */
bool kit_is_running (pid_t pid, int *status);
/* A port that is free on the address. */
uint16_t kit_free_port (const char *address);

/* --- HTTP --- */

typedef struct KitBuffer
{
  char *data; /* ends with a zero byte */
  size_t length;
  size_t size;
} KitBuffer;

void kit_append (KitBuffer *buffer, const void *data, size_t length);
void kit_printf (KitBuffer *buffer, const char *format, ...)
  __attribute__ ((format (printf, 2, 3)));
void kit_clear (KitBuffer *buffer);

typedef struct KitMessage
{
  KitBuffer head; /* with the empty line */
  KitBuffer body; /* without chunk framing */
  bool is_chunked;
  bool is_complete;
} KitMessage;

/* Reads a request, or the head of a response. FALSE if the connection ends before. */
bool kit_read_request (int fd, KitMessage *message);
void kit_message_clear (KitMessage *message);
/* Copies the value of a header; FALSE if it is missing. */
bool kit_header (const char *head, const char *name, char *out, size_t size);
bool kit_write (int fd, const void *data, size_t length);
bool kit_write_text (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* A chunk of a body; an empty one ends it. */
bool kit_write_chunk (int fd, const char *text);
/* Closes the connection with a reset. */
void kit_reset (int fd);

/* --- requesters --- */

typedef struct KitEvent
{
  uint64_t id;
  char data[48];
} KitEvent;

#define KIT_EVENTS_MAX 512

typedef struct KitResponse
{
  int status; /* 0: none */
  KitMessage message;
  KitEvent events[KIT_EVENTS_MAX];
  unsigned event_count;
  bool is_complete;
  double retry_after; /* seconds; 0: not stated */
} KitResponse;

typedef struct KitCall
{
  const char *address;
  uint16_t port;
  const char *method;
  const char *path;
  const char *host;    /* NULL: KIT_HOST */
  const char *id;      /* NULL: none */
  const char *key;     /* NULL: none */
  const char *headers; /* further ones, each with CRLF; or NULL */
  const char *body;
  unsigned deadline_ms; /* 0: not stated */
  unsigned wait_ms;     /* gives up after this time */
  int *connection;      /* gets the descriptor while the call is in progress; or NULL */
} KitCall;

int kit_connect (const char *address, uint16_t port, unsigned wait_ms);
/* Sends the request on a connection of its own and reads the response until it ends. */
void kit_call (const KitCall *call, KitResponse *response);
void kit_response_clear (KitResponse *response);

/* --- engines and other servers --- */

typedef struct KitServer KitServer;
/* Handles one connection; closes it. */
typedef void (*KitHandler) (KitServer *server, int fd);

struct KitServer
{
  char address[32];
  uint16_t port;
  KitHandler handler;
  void *user;
  int listener;
};

/* `port` 0: a free one. */
void kit_serve (
  KitServer *server, const char *address, uint16_t port, KitHandler handler, void *user);
void kit_thread (void *(*function) (void *), void *data);

/* --- the system --- */

typedef struct KitNode
{
  char name[32];
  char zone[32];
  char address[32];
  uint16_t caller_port;
  uint16_t ready_port;
  uint16_t store_port; /* at the store's address, for this node; 0: the store's own */
  pid_t pid;
} KitNode;

typedef struct KitSystem
{
  const char *net; /* first two numbers of the addresses */
  const char *memory_mb;
  const char *descriptors;
  const char *share;
  const char *zones[4];
  unsigned zone_count;
  char store_address[32];
  uint16_t store_port;
  uint16_t store_control;
  uint16_t bus_port;
  uint16_t operator_port;
  pid_t store_pid;
  unsigned node_count;
  KitNode nodes[KIT_NODES_MAX];
} KitSystem;

/* Starts the store and chooses addresses and ports. */
void kit_system_begin (KitSystem *system, unsigned nodes);
/* Starts a node with the command of the deploy file. */
void kit_node_start (KitSystem *system, unsigned index, bool is_first);
bool kit_node_is_ready (const KitSystem *system, unsigned index);
void kit_wait_ready (const KitSystem *system, unsigned index, double ms);
/* Creates (POST) or replaces (PUT) an object of the store. */
int kit_store_write (const KitSystem *system,
                     const char *method,
                     const char *kind,
                     const char *name,
                     const char *spec);
int kit_store_remove (const KitSystem *system, const char *kind, const char *name);
int kit_store_control (const KitSystem *system, const char *path, const char *body);
