/* standin-store: an in-memory implementation of the users' object store, written from their
 * published protocol; see docs/STANDINS.md.
 *
 * GET, POST and PUT on /objects/KIND; DELETE on /objects/KIND/NAME; PUT on
 * /objects/KIND/NAME/status replaces the status alone. A PUT that states a revision other than
 * the object's gets 409 with the object. A GET with the query parameter `watch` (a revision)
 * waits up to `wait_ms` for changes after that revision. On the control port, POST /copy keeps
 * a copy of everything, and POST /restore returns to it; POST /raw?kind=KIND&name=NAME stores
 * an object whose text in responses is the body.
 */
#include "common/id.h"
#include "standins/fault.h"
#include "standins/http.h"

#include <argp.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX ((gsize)2 * 1024 * 1024)
#define PAGE_DEFAULT 500
#define PATH_PREFIX "/objects/"

const char *argp_program_version = "standin-store " DP_VERSION;

typedef struct StoreFaults
{
  gint64 unavailable;  /* 1: all calls get 503 */
  gint64 silent;       /* 1: calls get no response and have no effect */
  gint64 history_gone; /* 1: watches get 410 */
  gint64 page;         /* maximum objects in a listing; 0: PAGE_DEFAULT */
  gint64 broken;       /* 1: responses are truncated JSON */
  gint64 as_of;        /* listings and watches get what they would have got at this revision */
  char *era;           /* Store-Era of all responses instead of the number of the era */
  char *status_state;  /* the next two apply to writes of a status with this state only */
  gint64 lose_status;  /* number of writes of a status to leave without a response */
  gint64 late_status;  /* 1: such writes get no response; they take effect, if their condition
                        * still holds, with POST /late on the control port */
} StoreFaults;

/* A change, or the current state of an object. */
typedef struct Object
{
  char *kind;
  char *name;
  guint64 revision;
  gboolean is_deleted;
  struct json_object *body;
} Object;

/* A watch that waits for a change after `revision`. */
typedef struct Watch
{
  struct evhttp_request *req;
  struct event *timer;
  char *kind;
  guint64 revision;
} Watch;

typedef struct Content
{
  guint64 revision;
  GHashTable *objects; /* "KIND/NAME" -> Object */
  GPtrArray *changes;  /* Object, oldest first */
} Content;

static struct
{
  struct event_base *base;
  guint64 revision;
  GHashTable *objects;
  GPtrArray *changes;
  Content copy;   /* `objects` NULL: none was made */
  guint era;      /* rises with each restore */
  GQueue watches; /* Watch */
  StoreFaults faults;
  FaultTable fault_table;
  GPtrArray *late; /* struct json_object: writes of a status that have not taken effect */
} store;

static const FaultSwitch fault_switches[] = {
  { "unavailable", .number = &store.faults.unavailable },
  { "silent", .number = &store.faults.silent },
  { "history_gone", .number = &store.faults.history_gone },
  { "page", .number = &store.faults.page },
  { "broken", .number = &store.faults.broken },
  { "as_of", .number = &store.faults.as_of },
  { "era", .text = &store.faults.era },
  { "status_state", .text = &store.faults.status_state },
  { "lose_status", .number = &store.faults.lose_status },
  { "late_status", .number = &store.faults.late_status },
};

static void
object_free (gpointer data)
{
  Object *object = data;
  g_free (object->kind);
  g_free (object->name);
  json_object_put (object->body);
  g_free (object);
}

static Object *
object_new (const char *kind, const char *name, struct json_object *body, gboolean is_deleted)
{
  Object *object = g_new0 (Object, 1);
  object->kind = g_strdup (kind);
  object->name = g_strdup (name);
  object->body = json_object_get (body);
  object->revision = store.revision;
  object->is_deleted = is_deleted;
  return object;
}

static void
reply_json (struct evhttp_request *req, int status, struct json_object *body)
{
  char era[16];
  g_snprintf (era, sizeof era, "%u", store.era);
  evhttp_add_header (evhttp_request_get_output_headers (req), "Store-Era",
                     store.faults.era != NULL ? store.faults.era : era);
  const char *text
    = store.faults.broken == 1 ? "{\"items\":[" : json_object_to_json_string (body);
  standin_reply (req, status, "application/json", text);
  json_object_put (body);
}

static void
reply_status (struct evhttp_request *req, int status)
{
  reply_json (req, status, json_object_new_object ());
}

/* --- watches --- */

/* The revision that responses show. */
static guint64
shown_revision (void)
{
  return store.faults.as_of > 0 ? (guint64)store.faults.as_of : store.revision;
}

static struct json_object *
collect_events (const char *kind, guint64 after)
{
  struct json_object *events = json_object_new_array ();
  for (guint i = 0; i < store.changes->len; i++)
    {
      const Object *change = g_ptr_array_index (store.changes, i);
      if (change->revision <= after || change->revision > shown_revision ()
          || strcmp (change->kind, kind) != 0)
        continue;
      struct json_object *event = json_object_new_object ();
      json_object_object_add (event, "deleted", json_object_new_boolean (change->is_deleted));
      json_object_object_add (event, "object", json_object_get (change->body));
      json_object_array_add (events, event);
    }
  return events;
}

static void
reply_events (struct evhttp_request *req, struct json_object *events)
{
  struct json_object *body = json_object_new_object ();
  json_object_object_add (body, "events", events);
  json_object_object_add (body, "store_revision", json_object_new_uint64 (shown_revision ()));
  reply_json (req, 200, body);
}

static void
watch_free (Watch *watch)
{
  g_queue_remove (&store.watches, watch);
  event_free (watch->timer);
  g_free (watch->kind);
  g_free (watch);
}

static void
on_watch_closed (struct evhttp_connection *connection, void *data)
{
  Watch *watch = data;
  standin_release_request (watch->req);
  watch_free (watch);
}

static void
complete_watch (Watch *watch)
{
  standin_unwatch_close (watch->req);
  reply_events (watch->req, collect_events (watch->kind, watch->revision));
  watch_free (watch);
}

static void
on_watch_timeout (evutil_socket_t fd, short what, void *data)
{
  complete_watch (data);
}

static void
wake_watches (const char *kind)
{
  GList *next;
  for (GList *link = store.watches.head; link != NULL; link = next)
    {
      Watch *watch = link->data;
      next = link->next;
      if (strcmp (watch->kind, kind) == 0)
        complete_watch (watch);
    }
}

static void
start_watch (struct evhttp_request *req, const char *kind, guint64 revision, guint64 wait_ms)
{
  if (store.faults.history_gone == 1 || revision > store.revision)
    {
      reply_status (req, 410);
      return;
    }
  struct json_object *events = collect_events (kind, store.faults.as_of > 0 ? 0 : revision);
  if (json_object_array_length (events) > 0 || wait_ms == 0)
    {
      reply_events (req, events);
      return;
    }
  json_object_put (events);
  Watch *watch = g_new0 (Watch, 1);
  watch->req = req;
  watch->kind = g_strdup (kind);
  watch->revision = revision;
  watch->timer = evtimer_new (store.base, on_watch_timeout, watch);
  const struct timeval timeout
    = { .tv_sec = (time_t)(wait_ms / 1000), .tv_usec = (suseconds_t)(wait_ms % 1000 * 1000) };
  event_add (watch->timer, &timeout);
  g_queue_push_tail (&store.watches, watch);
  standin_watch_close (req, on_watch_closed, watch);
}

/* --- objects --- */

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  const Object *left = *(Object *const *)a;
  const Object *right = *(Object *const *)b;
  return strcmp (left->name, right->name);
}

/* Returns a new table "KIND/NAME" -> Object of the objects at the revision that is shown. */
static GHashTable *
shown_objects (void)
{
  if (store.faults.as_of <= 0)
    return g_hash_table_ref (store.objects);
  GHashTable *objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < store.changes->len; i++)
    {
      Object *change = g_ptr_array_index (store.changes, i);
      char *key = g_strconcat (change->kind, "/", change->name, NULL);
      if (change->revision > shown_revision ())
        g_free (key);
      else if (change->is_deleted)
        {
          g_hash_table_remove (objects, key);
          g_free (key);
        }
      else
        g_hash_table_insert (objects, key, change);
    }
  return objects;
}

static void
list_kind (struct evhttp_request *req, const char *kind)
{
  char *after = standin_query_parameter (req, "after");
  GPtrArray *rows = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  GHashTable *objects = shown_objects ();
  g_hash_table_iter_init (&iter, objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Object *object = value;
      if (strcmp (object->kind, kind) == 0
          && (after == NULL || strcmp (object->name, after) > 0))
        g_ptr_array_add (rows, value);
    }
  g_ptr_array_sort (rows, compare_names);
  guint page = store.faults.page > 0 ? (guint)store.faults.page : PAGE_DEFAULT;
  struct json_object *items = json_object_new_array ();
  for (guint i = 0; i < MIN (rows->len, page); i++)
    json_object_array_add (items,
                           json_object_get (((Object *)g_ptr_array_index (rows, i))->body));
  struct json_object *body = json_object_new_object ();
  json_object_object_add (body, "items", items);
  json_object_object_add (body, "has_more", json_object_new_boolean (rows->len > page));
  json_object_object_add (body, "store_revision", json_object_new_uint64 (shown_revision ()));
  reply_json (req, 200, body);
  g_hash_table_unref (objects);
  g_ptr_array_unref (rows);
  g_free (after);
}

/* Sets the revision at which the object was created; `object` NULL: by this change. */
static void
keep_created (struct json_object *metadata, const Object *object)
{
  guint64 created = store.revision;
  struct json_object *before;
  struct json_object *number;
  if (object != NULL && json_object_object_get_ex (object->body, "metadata", &before)
      && json_object_object_get_ex (before, "created_rev", &number))
    created = json_object_get_uint64 (number);
  json_object_object_add (metadata, "created_rev", json_object_new_uint64 (created));
}

static void
apply_change (const char *kind, const char *name, struct json_object *body, gboolean is_deleted)
{
  store.revision++;
  struct json_object *metadata;
  char *key = g_strconcat (kind, "/", name, NULL);
  if (json_object_object_get_ex (body, "metadata", &metadata))
    {
      json_object_object_add (metadata, "revision", json_object_new_uint64 (store.revision));
      keep_created (metadata, g_hash_table_lookup (store.objects, key));
    }
  if (is_deleted)
    g_hash_table_remove (store.objects, key);
  else
    g_hash_table_insert (store.objects, g_strdup (key), object_new (kind, name, body, FALSE));
  g_free (key);
  g_ptr_array_add (store.changes, object_new (kind, name, body, is_deleted));
  wake_watches (kind);
}

static struct json_object *
read_body (struct evhttp_request *req, const char **name)
{
  gsize length;
  char *text = standin_request_body (req, &length);
  struct json_object *body = json_tokener_parse (text);
  g_free (text);
  struct json_object *metadata;
  struct json_object *member;
  *name = NULL;
  if (json_object_object_get_ex (body, "metadata", &metadata)
      && json_object_object_get_ex (metadata, "name", &member))
    *name = json_object_get_string (member);
  return body;
}

static const Object *
find_object (const char *kind, const char *name)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  const Object *object = g_hash_table_lookup (store.objects, key);
  g_free (key);
  return object;
}

/* FALSE if the call states a revision that is not the object's. */
static gboolean
meets_condition (struct json_object *body, const Object *object)
{
  struct json_object *metadata;
  struct json_object *revision;
  return !json_object_object_get_ex (body, "metadata", &metadata)
         || !json_object_object_get_ex (metadata, "revision", &revision)
         || json_object_get_uint64 (revision) == object->revision;
}

static void
write_object (struct evhttp_request *req, const char *kind, gboolean must_exist)
{
  const char *name;
  struct json_object *body = read_body (req, &name);
  if (name == NULL)
    {
      json_object_put (body);
      reply_status (req, 400);
      return;
    }
  const Object *object = find_object (kind, name);
  if ((object != NULL) != must_exist)
    {
      json_object_put (body);
      reply_status (req, object != NULL ? 409 : 404);
      return;
    }
  if (object != NULL && !meets_condition (body, object))
    {
      json_object_put (body);
      reply_json (req, 409, json_object_get (object->body));
      return;
    }
  struct json_object *status;
  if (object != NULL && json_object_object_get_ex (object->body, "status", &status))
    json_object_object_add (body, "status", json_object_get (status));
  apply_change (kind, name, body, FALSE);
  reply_json (req, 200, body);
}

/* Replaces the status of an object as `body` says. */
static void
apply_status (const Object *object, struct json_object *body)
{
  struct json_object *changed = NULL;
  struct json_object *status = NULL;
  char *kind = g_strdup (object->kind);
  char *name = g_strdup (object->name);
  json_object_deep_copy (object->body, &changed, NULL);
  json_object_object_get_ex (body, "status", &status);
  json_object_object_add (changed, "status", json_object_get (status));
  apply_change (kind, name, changed, FALSE);
  json_object_put (changed);
  g_free (name);
  g_free (kind);
}

static gboolean
has_fault_state (struct json_object *body)
{
  struct json_object *status;
  struct json_object *state;
  return store.faults.status_state == NULL
         || (json_object_object_get_ex (body, "status", &status)
             && json_object_object_get_ex (status, "state", &state)
             && strcmp (json_object_get_string (state), store.faults.status_state) == 0);
}

/* PUT on /objects/KIND/NAME/status. */
static void
write_status (struct evhttp_request *req, const char *kind, const char *name)
{
  const char *stated;
  struct json_object *body = read_body (req, &stated);
  const Object *object = find_object (kind, name);
  gboolean is_faulty = has_fault_state (body);
  if (object == NULL)
    reply_status (req, 404);
  else if (!meets_condition (body, object))
    reply_json (req, 409, json_object_get (object->body));
  else if (is_faulty && store.faults.late_status == 1)
    {
      json_object_object_add (body, "kind", json_object_new_string (kind));
      g_ptr_array_add (store.late, json_object_get (body));
      standin_send_and_close (req, "", 0);
    }
  else
    {
      apply_status (object, body);
      if (is_faulty && store.faults.lose_status > 0)
        {
          store.faults.lose_status--;
          standin_send_and_close (req, "", 0);
        }
      else
        reply_json (req, 200, json_object_get (find_object (kind, name)->body));
    }
  json_object_put (body);
}

/* Lets the writes of a status take effect that got no response, if their condition holds. */
static void
apply_late_writes (void)
{
  for (guint i = 0; i < store.late->len; i++)
    {
      struct json_object *body = g_ptr_array_index (store.late, i);
      struct json_object *kind;
      struct json_object *metadata;
      struct json_object *name;
      if (!json_object_object_get_ex (body, "kind", &kind)
          || !json_object_object_get_ex (body, "metadata", &metadata)
          || !json_object_object_get_ex (metadata, "name", &name))
        continue;
      const Object *object
        = find_object (json_object_get_string (kind), json_object_get_string (name));
      if (object != NULL && meets_condition (body, object))
        apply_status (object, body);
    }
  for (guint i = 0; i < store.late->len; i++)
    json_object_put (g_ptr_array_index (store.late, i));
  g_ptr_array_set_size (store.late, 0);
}

static void
remove_object (struct evhttp_request *req, const char *kind, const char *name)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  const Object *object = g_hash_table_lookup (store.objects, key);
  g_free (key);
  if (object == NULL)
    {
      reply_status (req, 404);
      return;
    }
  struct json_object *body = json_object_get (object->body);
  apply_change (kind, name, body, TRUE);
  reply_json (req, 200, body);
}

static void
read_object (struct evhttp_request *req, const char *kind, const char *name)
{
  char *key = g_strconcat (kind, "/", name, NULL);
  const Object *object = g_hash_table_lookup (store.objects, key);
  g_free (key);
  if (object != NULL)
    reply_json (req, 200, json_object_get (object->body));
  else
    reply_status (req, 404);
}

static void
handle_get (struct evhttp_request *req, const char *kind, const char *name)
{
  if (name != NULL)
    {
      read_object (req, kind, name);
      return;
    }
  char *watch = standin_query_parameter (req, "watch");
  char *wait = standin_query_parameter (req, "wait_ms");
  if (watch != NULL)
    start_watch (req, kind, g_ascii_strtoull (watch, NULL, 10),
                 wait != NULL ? g_ascii_strtoull (wait, NULL, 10) : 0);
  else
    list_kind (req, kind);
  g_free (watch);
  g_free (wait);
}

static void
put_object (struct evhttp_request *req, const char *kind, const char *name)
{
  if (name == NULL || !g_str_has_suffix (name, "/status"))
    {
      write_object (req, kind, TRUE);
      return;
    }
  char *object = g_strndup (name, strlen (name) - strlen ("/status"));
  write_status (req, kind, object);
  g_free (object);
}

static void
on_call (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_request_path (req);
  if (store.faults.silent == 1)
    return;
  if (store.faults.unavailable == 1 || !g_str_has_prefix (path, PATH_PREFIX))
    {
      reply_status (req, store.faults.unavailable == 1 ? 503 : 404);
      return;
    }
  char **parts = g_strsplit (path + strlen (PATH_PREFIX), "/", 2);
  switch (evhttp_request_get_command (req))
    {
    case EVHTTP_REQ_GET:
      handle_get (req, parts[0], parts[1]);
      break;
    case EVHTTP_REQ_POST:
      write_object (req, parts[0], FALSE);
      break;
    case EVHTTP_REQ_PUT:
      put_object (req, parts[0], parts[1]);
      break;
    case EVHTTP_REQ_DELETE:
      remove_object (req, parts[0], parts[1] != NULL ? parts[1] : "");
      break;
    default:
      reply_status (req, 405);
      break;
    }
  g_strfreev (parts);
}

/* --- copies --- */

static Object *
object_copy (const Object *object)
{
  Object *copy = g_new0 (Object, 1);
  struct json_object *body = NULL;
  json_object_deep_copy (object->body, &body, NULL);
  *copy = (Object){ .kind = g_strdup (object->kind),
                    .name = g_strdup (object->name),
                    .revision = object->revision,
                    .is_deleted = object->is_deleted,
                    .body = body };
  return copy;
}

static Content
copy_content (guint64 revision, GHashTable *objects, const GPtrArray *changes)
{
  Content copy
    = { .revision = revision,
        .objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free),
        .changes = g_ptr_array_new_with_free_func (object_free) };
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (copy.objects, g_strdup (key), object_copy (value));
  for (guint i = 0; i < changes->len; i++)
    g_ptr_array_add (copy.changes, object_copy (g_ptr_array_index (changes, i)));
  return copy;
}

static void
make_copy (void)
{
  g_clear_pointer (&store.copy.objects, g_hash_table_unref);
  g_clear_pointer (&store.copy.changes, g_ptr_array_unref);
  store.copy = copy_content (store.revision, store.objects, store.changes);
}

/* Watches that wait stay open. */
static void
restore_copy (void)
{
  Content content = copy_content (store.copy.revision, store.copy.objects, store.copy.changes);
  g_hash_table_unref (store.objects);
  g_ptr_array_unref (store.changes);
  store.revision = content.revision;
  store.objects = content.objects;
  store.changes = content.changes;
  store.era++;
}

/* Creates or replaces an object without parsing its text. */
static void
write_raw (struct evhttp_request *req)
{
  char *kind = standin_query_parameter (req, "kind");
  char *name = standin_query_parameter (req, "name");
  struct json_object *body = json_object_new_object ();
  json_object_set_serializer (body, json_object_userdata_to_json_string,
                              standin_request_body (req, NULL), json_object_free_userdata);
  if (kind != NULL && name != NULL)
    apply_change (kind, name, body, FALSE);
  json_object_put (body);
  reply_status (req, kind != NULL && name != NULL ? 200 : 400);
  g_free (kind);
  g_free (name);
}

static void
on_control (struct evhttp_request *req, gpointer data)
{
  const char *path = standin_request_path (req);
  gboolean is_copy = strcmp (path, "/copy") == 0;
  if (is_copy || strcmp (path, "/restore") == 0)
    {
      if (is_copy)
        make_copy ();
      else if (store.copy.objects != NULL)
        restore_copy ();
      reply_status (req, store.copy.objects != NULL ? 200 : 409);
      return;
    }
  if (strcmp (path, "/late") == 0)
    {
      apply_late_writes ();
      reply_status (req, 200);
      return;
    }
  if (strcmp (path, "/raw") == 0)
    {
      write_raw (req);
      return;
    }
  fault_handle (&store.fault_table, req);
}

int
main (int argc, char **argv)
{
  char *address;
  guint16 port;
  if (argc != 3 || !standin_parse_address (argv[1], &address, &port))
    {
      fprintf (stderr, "usage: standin-store IP:PORT CONTROL_PORT\n");
      return EXIT_FAILURE;
    }
  store.base = event_base_new ();
  store.objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  store.changes = g_ptr_array_new_with_free_func (object_free);
  store.late = g_ptr_array_new ();
  store.era = 1;
  store.fault_table
    = (FaultTable){ .switches = fault_switches, .count = G_N_ELEMENTS (fault_switches) };
  fault_clear (&store.fault_table);
  const StandinServerOptions options = { .base = store.base,
                                         .address = address,
                                         .port = port,
                                         .control_port = (guint16)atoi (argv[2]),
                                         .body_max = BODY_MAX,
                                         .handle = on_call,
                                         .control = on_control };
  if (standin_server_new (&options) == NULL)
    return EXIT_FAILURE;
  standin_run (store.base);
  g_free (address);
  return EXIT_SUCCESS;
}
