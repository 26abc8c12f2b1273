/* standin-target: simulates a target of the users' platform, after its published protocol; see
 * docs/STANDINS.md. It does not register itself in the store.
 *
 * The response to a request with Token-Count is a stream of events, else a short body. On the
 * control port, GET /runs returns totals, GET /ids how often each request ran and GET /arrivals
 * when requests arrived; tests rely on these. */
#include "common/id.h"
#include "standins/fault.h"
#include "standins/http.h"

#include <argp.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX ((gsize)8 * 1024 * 1024)
#define STREAM_EVENTS 5
#define SLOTS 4
#define STALL_INTERVAL_USEC 50000

const char *argp_program_version = "standin-target " DP_VERSION;

typedef struct TargetFaults
{
  gint64 decline;     /* 1: refuses requests as not executed */
  gint64 other;       /* 1: refuses requests with 421, as another target's */
  gint64 cut_before;  /* 1: closes the connection without running the request */
  gint64 cut_after;   /* closes the connection after this many events, within the next one */
  gint64 stall_after; /* after this many events sends single bytes and never completes */
  gint64 pause_after; /* after this many events sends nothing for pause_ms */
  gint64 pause_ms;
  gint64 silent;       /* 1: runs the request but sends no response */
  gint64 status;       /* HTTP status of the response; the request ran */
  gint64 wrong_id;     /* 1: Request-Id is another request's */
  gint64 no_signature; /* 1: no signature in the response */
  gint64 second;       /* 1: a second response follows the first */
  gint64 unframed;     /* 1: the response has no length and ends with the connection */
  gint64 reset;        /* 1: that connection is reset instead of closed */
  gint64 wait_ms;      /* delay before the first event or the body */
  gint64 promise_503;  /* 1: status 503 although the request ran */
  gint64 leaving;      /* 1: responses have Server-Leaving */
  gint64 retry_after;  /* Retry-After in seconds of refused requests */
  char *limit;         /* Server-Limit of responses */
  char *brittle;       /* Server-Brittle of responses; with more rejections a second, crashes */
  gint64 slots;        /* requests run at a time; others wait or are rejected; off: no limit */
  gint64 queue;        /* requests that wait for a slot; off: none */
  gint64 down_ms;      /* time until it is back after it has crashed for rejections */
  char *reply;         /* bytes to send instead of a response; "{id}": the request's id */
  char *resume_reply;  /* the same for requests with Last-Event-Id; NULL: `reply` */
  char *crash_part;    /* crashes on requests with this part, unless it is the prompt's last */
} TargetFaults;

typedef struct Run
{
  struct evhttp_request *req;
  struct event *timer;
  gint64 next; /* id of the next event; 0: the response is a plain body */
  gint64 sent; /* events sent before a pause */
} Run;

static struct
{
  struct event_base *base;
  const char *id;
  GHashTable *runs; /* Request-Id -> number of runs */
  GHashTable *open; /* Run: not answered yet */
  GQueue waiting;   /* Run: of these, without a slot */
  StandinServer *server;
  struct event *restart_timer;
  GArray *rejections; /* monotonic time of each, in microseconds */
  guint falls;        /* crashes for rejections */
  GString *arrivals;  /* a line per request: monotonic milliseconds and Request-Id */
  guint total;
  guint declined;
  guint crashes;
  TargetFaults faults;
  FaultTable fault_table;
} target;

static const FaultSwitch fault_switches[] = {
  { "decline", .number = &target.faults.decline },
  { "other", .number = &target.faults.other },
  { "cut_before", .number = &target.faults.cut_before },
  { "cut_after", .number = &target.faults.cut_after },
  { "stall_after", .number = &target.faults.stall_after },
  { "pause_after", .number = &target.faults.pause_after },
  { "pause_ms", .number = &target.faults.pause_ms },
  { "silent", .number = &target.faults.silent },
  { "status", .number = &target.faults.status },
  { "wrong_id", .number = &target.faults.wrong_id },
  { "no_signature", .number = &target.faults.no_signature },
  { "second", .number = &target.faults.second },
  { "unframed", .number = &target.faults.unframed },
  { "reset", .number = &target.faults.reset },
  { "wait_ms", .number = &target.faults.wait_ms },
  { "promise_503", .number = &target.faults.promise_503 },
  { "leaving", .number = &target.faults.leaving },
  { "retry_after", .number = &target.faults.retry_after },
  { "limit", .text = &target.faults.limit },
  { "brittle", .text = &target.faults.brittle },
  { "slots", .number = &target.faults.slots },
  { "queue", .number = &target.faults.queue },
  { "down_ms", .number = &target.faults.down_ms },
  { "reply", .text = &target.faults.reply },
  { "resume_reply", .text = &target.faults.resume_reply },
  { "crash_part", .text = &target.faults.crash_part },
};

static void
add_header (struct evhttp_request *req, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (req), name, value);
}

/* Adds the headers in which the target states its own condition. */
static void
add_state_headers (struct evhttp_request *req)
{
  if (target.faults.leaving == 1)
    add_header (req, "Server-Leaving", "1");
  if (target.faults.limit != NULL)
    add_header (req, "Server-Limit", target.faults.limit);
  if (target.faults.brittle != NULL)
    add_header (req, "Server-Brittle", target.faults.brittle);
}

static void
add_id_header (struct evhttp_request *req)
{
  const char *id = standin_request_header (req, "Request-Id");
  add_header (req, "Request-Id", target.faults.wrong_id == 1 || id == NULL ? "other" : id);
}

/* Adds the headers that show that the request ran: its id and a signature. */
static void
add_run_headers (struct evhttp_request *req)
{
  const char *id = standin_request_header (req, "Request-Id");
  add_id_header (req);
  char *signature = g_strdup_printf ("signature.%s.%s", target.id, id != NULL ? id : "");
  if (target.faults.no_signature != 1)
    add_header (req, "Response-Seal", signature);
  add_state_headers (req);
  g_free (signature);
}

static void
decline (struct evhttp_request *req, int status)
{
  target.declined++;
  add_header (req, "Not-Executed", "1");
  add_id_header (req);
  add_state_headers (req);
  char *retry_after = g_strdup_printf ("%d", (int)target.faults.retry_after);
  if (target.faults.retry_after != FAULT_OFF)
    add_header (req, "Retry-After", retry_after);
  g_free (retry_after);
  standin_reply (req, status, "text/plain", "not run\n");
}

static void
record_run (struct evhttp_request *req)
{
  const char *id = standin_request_header (req, "Request-Id");
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (target.runs, id != NULL ? id : ""));
  g_hash_table_replace (target.runs, g_strdup (id != NULL ? id : ""),
                        GUINT_TO_POINTER (count + 1));
  target.total++;
}

static void
send_and_end (struct evhttp_request *req, const char *data, gsize length)
{
  if (target.faults.reset == 1)
    standin_send_and_reset (req, data, length);
  else
    standin_send_and_close (req, data, length);
}

/* --- plain responses --- */

static void
send_raw_and_close (struct evhttp_request *req, const char *format)
{
  const char *id = standin_request_header (req, "Request-Id");
  char *raw = g_strdup_printf (format, id != NULL ? id : "", target.id);
  send_and_end (req, raw, strlen (raw));
  g_free (raw);
}

static void
send_plain_response (struct evhttp_request *req)
{
  if (target.faults.unframed == 1)
    send_raw_and_close (
      req, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: signature.%s\r\n\r\n"
           "unframed\n");
  else if (target.faults.second == 1)
    send_raw_and_close (req,
                        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: signature.%s\r\n"
                        "Content-Length: 6\r\n\r\nfirst\nHTTP/1.1 200 OK\r\n"
                        "Content-Length: 7\r\n\r\nsecond\n");
  else if (target.faults.cut_after != FAULT_OFF)
    send_raw_and_close (req,
                        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: signature.%s\r\n"
                        "Content-Length: 100\r\n\r\nonly a part");
  else
    {
      add_run_headers (req);
      int status = target.faults.status != FAULT_OFF ? (int)target.faults.status : 200;
      standin_reply (req, target.faults.promise_503 == 1 ? 503 : status, "text/plain",
                     "done\n");
    }
}

/* --- streams --- */

static void start_run (Run *run);

static guint
count_running (void)
{
  return g_hash_table_size (target.open) - target.waiting.length;
}

static gboolean
has_slot (void)
{
  return target.faults.slots == FAULT_OFF || count_running () < target.faults.slots;
}

static void
run_free (Run *run)
{
  g_hash_table_remove (target.open, run);
  g_queue_remove (&target.waiting, run);
  event_free (run->timer);
  g_free (run);
  if (target.waiting.length > 0 && has_slot ())
    start_run (g_queue_pop_head (&target.waiting));
}

static void
send_event (struct evhttp_request *req, gint64 id)
{
  struct evbuffer *buffer = evbuffer_new ();
  evbuffer_add_printf (buffer, "id: %d\ndata: piece %d\n\n", (int)id, (int)id);
  evhttp_send_reply_chunk (req, buffer);
  evbuffer_free (buffer);
}

static void
on_run_closed (struct evhttp_connection *connection, void *data)
{
  Run *run = data;
  standin_release_request (run->req);
  run_free (run);
}

static void
on_stall_timer (evutil_socket_t fd, short what, void *data)
{
  const Run *run = data;
  struct evbuffer *buffer = evbuffer_new ();
  evbuffer_add (buffer, "d", 1);
  evhttp_send_reply_chunk (run->req, buffer);
  evbuffer_free (buffer);
}

static void
start_stall (struct evhttp_request *req)
{
  Run *run = g_new0 (Run, 1);
  g_hash_table_add (target.open, run);
  run->req = req;
  run->timer = event_new (target.base, -1, EV_PERSIST, on_stall_timer, run);
  const struct timeval interval = { .tv_usec = STALL_INTERVAL_USEC };
  event_add (run->timer, &interval);
  standin_watch_close (req, on_run_closed, run);
}

/* The response ends with its connection, within an event if that fault is set. */
static void
send_unframed_stream (struct evhttp_request *req, gint64 next)
{
  const char *id = standin_request_header (req, "Request-Id");
  GString *raw = g_string_new (NULL);
  g_string_printf (raw,
                   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: signature.%s\r\n"
                   "Content-Type: text/event-stream\r\n\r\n",
                   id != NULL ? id : "", target.id);
  for (gint64 sent = 0; next <= STREAM_EVENTS && sent != target.faults.cut_after;
       sent++, next++)
    g_string_append_printf (raw, "id: %d\ndata: piece %d\n\n", (int)next, (int)next);
  if (next <= STREAM_EVENTS)
    g_string_append (raw, "id: 99\nd");
  send_and_end (req, raw->str, raw->len);
  g_string_free (raw, TRUE);
}

static void start_pause (struct evhttp_request *req, gint64 next, gint64 sent);

/* `sent`: number of events sent before; `may_pause`: FALSE after a pause. */
static void
send_events (struct evhttp_request *req, gint64 next, gint64 sent, gboolean may_pause)
{
  for (; next <= STREAM_EVENTS; next++, sent++)
    {
      if (may_pause && sent == target.faults.pause_after)
        {
          start_pause (req, next, sent);
          return;
        }
      if (sent == target.faults.stall_after)
        {
          start_stall (req);
          return;
        }
      if (sent == target.faults.cut_after)
        {
          const char *part = "8\r\nid: 99\nd\r\n";
          standin_send_and_close (req, part, strlen (part));
          return;
        }
      send_event (req, next);
    }
  evhttp_send_reply_end (req);
}

/* Returns the bytes to send instead of a response, NULL if there are none. */
static const char *
find_reply (struct evhttp_request *req)
{
  gboolean resumes = standin_request_header (req, "Last-Event-Id") != NULL;
  return resumes && target.faults.resume_reply != NULL ? target.faults.resume_reply
                                                       : target.faults.reply;
}

static void
send_reply_bytes (struct evhttp_request *req, const char *reply)
{
  const char *id = standin_request_header (req, "Request-Id");
  GString *bytes = g_string_new (reply);
  g_string_replace (bytes, "{id}", id != NULL ? id : "", 0);
  standin_send_and_close (req, bytes->str, bytes->len);
  g_string_free (bytes, TRUE);
}

static void
on_pause_timer (evutil_socket_t fd, short what, void *data)
{
  Run *run = data;
  standin_unwatch_close (run->req);
  send_events (run->req, run->next, run->sent, FALSE);
  run_free (run);
}

static void
start_pause (struct evhttp_request *req, gint64 next, gint64 sent)
{
  Run *run = g_new0 (Run, 1);
  g_hash_table_add (target.open, run);
  run->req = req;
  run->next = next;
  run->sent = sent;
  run->timer = event_new (target.base, -1, 0, on_pause_timer, run);
  gint64 pause = MAX (target.faults.pause_ms, 0);
  const struct timeval interval
    = { .tv_sec = pause / 1000, .tv_usec = (suseconds_t)(pause % 1000 * 1000) };
  event_add (run->timer, &interval);
  standin_watch_close (req, on_run_closed, run);
}

static void
send_stream (struct evhttp_request *req, gint64 next)
{
  if (target.faults.unframed == 1)
    {
      send_unframed_stream (req, next);
      return;
    }
  add_run_headers (req);
  add_header (req, "Content-Type", "text/event-stream");
  evhttp_send_reply_start (req, 200, NULL);
  send_events (req, next, 0, TRUE);
}

static void
on_run_timer (evutil_socket_t fd, short what, void *data)
{
  Run *run = data;
  if (target.faults.silent == 1)
    return;
  standin_unwatch_close (run->req);
  const char *reply = find_reply (run->req);
  if (reply != NULL)
    send_reply_bytes (run->req, reply);
  else if (run->next > 0)
    send_stream (run->req, run->next);
  else
    send_plain_response (run->req);
  run_free (run);
}

/* --- crashes --- */

static gboolean
crashes_on (struct evhttp_request *req)
{
  const char *header = standin_request_header (req, "Prefix-Hash");
  if (target.faults.crash_part == NULL || header == NULL)
    return FALSE;
  char **parts = g_strsplit (header, ",", -1);
  gsize length = strlen (target.faults.crash_part);
  gboolean found = FALSE;
  for (guint i = 0; i + 1 < g_strv_length (parts); i++)
    found = found
            || (strncmp (parts[i], target.faults.crash_part, length) == 0
                && parts[i][length] == ':');
  g_strfreev (parts);
  return found;
}

/* Closes all connections with open requests; the target is back at once. */
static void
crash (struct evhttp_request *req)
{
  target.crashes++;
  g_queue_clear (&target.waiting);
  GList *runs = g_hash_table_get_keys (target.open);
  for (GList *at = runs; at != NULL; at = at->next)
    {
      Run *run = at->data;
      standin_unwatch_close (run->req);
      standin_send_and_close (run->req, "", 0);
      run_free (run);
    }
  g_list_free (runs);
  standin_send_and_close (req, "", 0);
}

/* The monotonic clock is the same for all processes of the machine. */
static void
record_arrival (struct evhttp_request *req)
{
  const char *id = standin_request_header (req, "Request-Id");
  g_string_append_printf (target.arrivals, "%" G_GINT64_FORMAT " %s\n",
                          g_get_monotonic_time () / 1000, id != NULL ? id : "");
}

/* --- slots --- */

static void
on_restart_timer (evutil_socket_t fd, short what, void *data)
{
  standin_server_refuse (target.server, FALSE);
}

/* Rejects the request for lack of room; crashes if it is one too many. */
static void
reject (struct evhttp_request *req)
{
  gint64 now = g_get_monotonic_time ();
  g_array_append_val (target.rejections, now);
  while (g_array_index (target.rejections, gint64, 0) <= now - G_USEC_PER_SEC)
    g_array_remove_index (target.rejections, 0);
  if (target.faults.brittle == NULL
      || target.rejections->len <= strtoul (target.faults.brittle, NULL, 10))
    {
      decline (req, 503);
      return;
    }
  target.declined++;
  target.falls++;
  g_array_set_size (target.rejections, 0);
  standin_server_refuse (target.server, TRUE);
  crash (req);
  gint64 down = MAX (target.faults.down_ms, 0);
  const struct timeval time = { .tv_sec = down / 1000, .tv_usec = down % 1000 * 1000 };
  event_add (target.restart_timer, &time);
}

static gboolean
is_full (void)
{
  return !has_slot () && target.waiting.length >= MAX (target.faults.queue, 0);
}

static void
start_run (Run *run)
{
  gint64 wait = MAX (target.faults.wait_ms, 0);
  const struct timeval time = { .tv_sec = wait / 1000, .tv_usec = wait % 1000 * 1000 };
  event_add (run->timer, &time);
}

static void
on_request (struct evhttp_request *req, gpointer data)
{
  const char *expected = standin_request_header (req, "Expect-Instance");
  record_arrival (req);
  if (target.faults.cut_before == 1)
    {
      standin_send_and_close (req, "", 0);
      return;
    }
  if (target.faults.other == 1 || g_strcmp0 (expected, target.id) != 0)
    {
      decline (req, 421);
      return;
    }
  if (target.faults.decline == 1)
    {
      decline (req, 503);
      return;
    }
  if (is_full ())
    {
      reject (req);
      return;
    }
  record_run (req);
  if (crashes_on (req))
    {
      crash (req);
      return;
    }
  Run *run = g_new0 (Run, 1);
  g_hash_table_add (target.open, run);
  run->req = req;
  const char *resume = standin_request_header (req, "Last-Event-Id");
  if (standin_request_header (req, "Token-Count") != NULL)
    run->next = resume != NULL ? atoi (resume) + 1 : 1;
  run->timer = evtimer_new (target.base, on_run_timer, run);
  standin_watch_close (req, on_run_closed, run);
  /* The run itself is among the open ones already. */
  if (target.faults.slots == FAULT_OFF || count_running () <= target.faults.slots)
    start_run (run);
  else
    g_queue_push_tail (&target.waiting, run);
}

/* --- control --- */

static void
reply_runs (struct evhttp_request *req)
{
  guint max_runs = 0;
  GHashTableIter iter;
  gpointer count;
  g_hash_table_iter_init (&iter, target.runs);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    max_runs = MAX (max_runs, GPOINTER_TO_UINT (count));
  char text[128];
  g_snprintf (text, sizeof text,
              "{\"runs\":%u,\"most\":%u,\"declined\":%u,\"crashes\":%u,\"falls\":%u}\n",
              target.total, max_runs, target.declined, target.crashes, target.falls);
  standin_reply (req, 200, "application/json", text);
}

/* One line per request: its id and how often it ran. */
static void
reply_ids (struct evhttp_request *req)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer id;
  gpointer count;
  g_hash_table_iter_init (&iter, target.runs);
  while (g_hash_table_iter_next (&iter, &id, &count))
    g_string_append_printf (text, "%s %u\n", (const char *)id, GPOINTER_TO_UINT (count));
  standin_reply (req, 200, "text/plain", text->str);
  g_string_free (text, TRUE);
}

static void
on_control_request (struct evhttp_request *req, gpointer data)
{
  if (strcmp (standin_request_path (req), "/runs") == 0)
    reply_runs (req);
  else if (strcmp (standin_request_path (req), "/ids") == 0)
    reply_ids (req);
  else if (strcmp (standin_request_path (req), "/arrivals") == 0)
    standin_reply (req, 200, "text/plain", target.arrivals->str);
  else
    fault_handle (&target.fault_table, req);
}

int
main (int argc, char **argv)
{
  char *address;
  guint16 port;
  if (argc != 4 || !standin_parse_address (argv[1], &address, &port))
    {
      fprintf (stderr, "usage: standin-target IP:PORT CONTROL_PORT ID\n");
      return EXIT_FAILURE;
    }
  target.base = event_base_new ();
  target.id = argv[3];
  target.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  target.arrivals = g_string_new (NULL);
  target.open = g_hash_table_new (NULL, NULL);
  target.rejections = g_array_new (FALSE, FALSE, sizeof (gint64));
  target.restart_timer = evtimer_new (target.base, on_restart_timer, NULL);
  target.fault_table
    = (FaultTable){ .switches = fault_switches, .count = G_N_ELEMENTS (fault_switches) };
  fault_clear (&target.fault_table);
  const StandinServerOptions options = { .base = target.base,
                                         .address = address,
                                         .port = port,
                                         .control_port = (guint16)atoi (argv[2]),
                                         .body_max = BODY_MAX,
                                         .handle = on_request,
                                         .control = on_control_request };
  target.server = standin_server_new (&options);
  if (target.server == NULL)
    return EXIT_FAILURE;
  standin_run (target.base);
  g_free (address);
  return EXIT_SUCCESS;
}
