/* All nodes but one are killed at once while engines of two software versions serve. Requesters
 * take their streams up at the one that is left. Do these go on as often as new streams begin?
 */
#include "review/kit-2/config.h"
#include "review/kit-2/kit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define NODES 12
#define LEFT 1 /* the others are killed */
#define ENGINES 18
#define STREAMS 72
#define EVENTS_LONG 60
#define EVENTS_SHORT 7
#define TRIES 3
#define FRESH_CLIENTS 4

static KitSystem sys = { .net = "127.62",
                         .memory_mb = "96",
                         .zones = { "lj-a", "lj-b", "kr-a", "nm-a" },
                         .zone_count = 4 };
static KitServer engines[ENGINES];
static volatile bool is_over;
static volatile bool is_broken_off;
static char mark[16]; /* of this run, in all ids */

/* The version of the engine's software. */
static unsigned
version_of (unsigned engine)
{
  return engine % 2 + 1;
}

/* Streams of short or long length by the number of tokens out; each event names the version. */
static void
on_connection (KitServer *server, int fd)
{
  KitMessage request = { 0 };
  char id[64] = "", last[32] = "", tokens[64] = "";
  unsigned engine = (unsigned)(server - engines);
  if (kit_read_request (fd, &request))
    {
      kit_header (request.head.data, "Request-Id", id, sizeof id);
      kit_header (request.head.data, W_TOKENS, tokens, sizeof tokens);
      bool is_long = strstr (tokens, ",420") != NULL;
      unsigned total = is_long ? EVENTS_LONG : EVENTS_SHORT, from = 0;
      if (kit_header (request.head.data, "Last-Event-Id", last, sizeof last))
        from = (unsigned)strtoul (last, NULL, 10);
      kit_record ("engine %u of v%u runs %s after event %u", engine, version_of (engine), id,
                  from);
      kit_sleep (40);
      bool ok = kit_write_text (fd,
                                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n" W_SEAL ": s.%s.%u\r\n"
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n",
                                id, id, engine);
      for (unsigned i = from + 1; i <= total && ok; i++)
        {
          char event[64];
          snprintf (event, sizeof event, "id: %u\ndata: v%u\n\n", i, version_of (engine));
          ok = kit_write_chunk (fd, event);
          kit_sleep (is_long ? 80 : 15);
        }
      if (ok)
        kit_write_chunk (fd, "");
    }
  kit_message_clear (&request);
  close (fd);
}

typedef struct Stream
{
  unsigned number;
  int connection;
  KitResponse first, next;
  bool is_taken_up, goes_on, is_mixed;
} Stream;
static Stream streams[STREAMS];
static unsigned done;

static void
chat (unsigned node,
      const char *id,
      const char *more,
      bool is_long,
      int *connection,
      KitResponse *response)
{
  char headers[256];
  snprintf (headers, sizeof headers,
            "Model: m\r\n" W_TOKENS ": 543,%s\r\n" W_PARTS ": 1:60,%lx:483\r\n%s",
            is_long ? "420" : "49", (unsigned long)strtoul (id + 1, NULL, 36), more);
  const KitCall call = { .address = sys.nodes[node].address,
                         .port = sys.nodes[node].caller_port,
                         .method = "POST",
                         .path = "/chat/1",
                         .id = id,
                         .key = KIT_KEY,
                         .headers = headers,
                         .body = "{}",
                         .deadline_ms = 10000,
                         .wait_ms = 10000,
                         .connection = connection };
  kit_call (&call, response);
}

/* Tries again as the answers say. */
static void
take_up (Stream *stream, const char *first_id)
{
  const KitResponse *first = &stream->first;
  char id[48], more[128];
  snprintf (more, sizeof more, "" W_CONTINUES ": %s\r\nLast-Event-Id: %u\r\n", first_id,
            (unsigned)first->events[first->event_count - 1].id);
  stream->is_taken_up = true;
  for (unsigned attempt = 1; attempt <= TRIES && !stream->goes_on; attempt++)
    {
      unsigned node = stream->number % LEFT;
      KitResponse *next = &stream->next;
      snprintf (id, sizeof id, "b%s%u-%u", mark, stream->number, attempt);
      kit_response_clear (next);
      chat (node, id, more, true, NULL, next);
      stream->goes_on = next->status == 200 && next->event_count > 0;
      kit_record ("%s takes up %s at node %u: %d, %u events, %s %s", id, first_id, node,
                  next->status, next->event_count, next->is_complete ? "whole" : "broken off",
                  next->status != 200 && next->message.body.data ? next->message.body.data
                                                                 : "");
      for (unsigned i = 0; i < next->event_count; i++)
        stream->is_mixed |= strcmp (next->events[i].data, first->events[0].data) != 0;
      if (!stream->goes_on)
        kit_sleep (next->retry_after * 1000 + 20);
    }
}

static void *
play_stream (void *data)
{
  Stream *stream = data;
  char id[48];
  unsigned node = LEFT + stream->number % (NODES - LEFT);
  snprintf (id, sizeof id, "a%s%u", mark, stream->number);
  chat (node, id, "", true, &stream->connection, &stream->first);
  const KitResponse *first = &stream->first;
  kit_record ("%s at node %u: %d, %u events, %s", id, node, first->status, first->event_count,
              first->is_complete ? "whole" : "broken off");
  if (first->status == 200 && !first->is_complete && first->event_count > 0)
    take_up (stream, id);
  __sync_fetch_and_add (&done, 1);
  return NULL;
}

static unsigned fresh_sent, fresh_begun;

/* New streams at the node that is left. */
static void *
play_fresh (void *data)
{
  static unsigned number;
  while (!is_over)
    {
      char id[48];
      KitResponse response;
      unsigned n = __sync_add_and_fetch (&number, 1);
      bool counts = is_broken_off;
      snprintf (id, sizeof id, "c%s%u", mark, n);
      chat (n % LEFT, id, "", false, NULL, &response);
      bool begins = response.status == 200 && response.event_count > 0;
      __sync_fetch_and_add (&fresh_sent, counts);
      __sync_fetch_and_add (&fresh_begun, counts && begins);
      kit_record ("%s at node %u: %d, %u events", id, n % LEFT, response.status,
                  response.event_count);
      kit_response_clear (&response);
      kit_sleep (60);
    }
  return NULL;
}

static void
start_system (void)
{
  kit_system_begin (&sys, NODES);
  kit_store_write (
    &sys, "POST", "config", "main",
    "{\"version\":7,\"routes\":[{\"name\":\"chat\",\"host\":\"" KIT_HOST "\","
    "\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":10000,"
    "\"" W_OBJECTIVE "\":600,\"priority\":2,\"service\":\"plank-pool\",\"max_attempts\":2,"
    "\"public\":false,\"sticky_sessions\":true,\"" W_RESUMABLE "\":true,\"" W_PAUSE "\":200}],"
    "\"services\":[" CONFIG_ENGINES ("plank-pool", "320",
                                     "507081") "]," CONFIG_LIMITS
                                               ",\"tenants\":[{\"name\":\"one\",\"" W_KEYS
                                               "\":[\"" KIT_KEY "\"],\"priority\":1}]}");
  for (unsigned i = 0; i < ENGINES; i++)
    {
      char address[32], name[32], spec[400];
      snprintf (address, sizeof address, "%s.2.%u", sys.net, i + 1);
      snprintf (name, sizeof name, "i-%04u", i);
      kit_serve (&engines[i], address, 0, on_connection, NULL);
      snprintf (spec, sizeof spec,
                "{\"service\":\"plank-pool\",\"address\":\"%s:%u\",\"zone\":\"%s\","
                "\"version\":\"v%u\",\"slots\":5,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                "\"sequence\":4,\"born\":1700000000000}",
                address, engines[i].port, sys.zones[i / 2 % 4], version_of (i));
      kit_store_write (&sys, "POST", "servers", name, spec);
    }
  for (unsigned i = 0; i < NODES; i++)
    kit_node_start (&sys, i, true);
  for (unsigned i = 0; i < NODES; i++)
    kit_wait_ready (&sys, i, 15000);
  /* Longer than contact_ms. */
  kit_sleep (5000);
}

/* All streams but those of the node that is left break off at once. */
static void
break_off (void)
{
  is_broken_off = true;
  if (!kit_has_trouble ())
    {
      for (unsigned i = 0; i < STREAMS; i++)
        if (streams[i].connection > 0)
          shutdown (streams[i].connection, SHUT_RDWR);
      kit_say ("the requesters have closed the channels of their streams");
      return;
    }
  for (unsigned i = LEFT; i < NODES; i++)
    kill (sys.nodes[i].pid, SIGKILL);
  for (unsigned i = LEFT; i < NODES; i++)
    kit_reap (sys.nodes[i].pid);
  kit_say ("killed %d of %d nodes", NODES - LEFT, NODES);
  kit_sleep (1000);
  for (unsigned i = LEFT; i < NODES; i++)
    kit_node_start (&sys, i, false);
}

int
main (int argc, char **argv)
{
  kit_begin (argc > 1 ? argv[1] : "record.txt", 100);
  snprintf (mark, sizeof mark, "%d", (int)getpid () % 100000);
  start_system ();
  for (unsigned i = 0; i < FRESH_CLIENTS; i++)
    kit_thread (play_fresh, NULL);
  for (unsigned i = 0; i < STREAMS; i++)
    {
      streams[i].number = i;
      kit_thread (play_stream, &streams[i]);
      kit_sleep (10);
    }
  kit_sleep (1500);
  break_off ();
  while (done < STREAMS)
    kit_sleep (50);
  is_over = true;
  kit_sleep (500);
  unsigned taken_up = 0, go_on = 0, mixed = 0;
  for (unsigned i = 0; i < STREAMS; i++)
    {
      taken_up += streams[i].is_taken_up;
      go_on += streams[i].goes_on;
      mixed += streams[i].is_mixed;
    }
  kit_say ("taken up: %u, of these go on: %u (%u with events of two versions)", taken_up, go_on,
           mixed);
  kit_say ("new streams at the same node: %u, of these begin: %u", fresh_sent, fresh_begun);
  if (taken_up < 12 || fresh_sent < 12)
    kit_fail ("too few streams");
  kit_end ((double)go_on / taken_up < 0.5 * fresh_begun / fresh_sent ? 1 : 0);
}
