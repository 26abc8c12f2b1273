#include "tests/node_kit.h"

#include <check.h>
#include <string.h>

static const char config_format[]
  = "{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":%u,"
    "\"routes\":["
    "{\"name\":\"book\",\"host\":\"site.example\",\"path_prefix\":\"/book/"
    "\",\"kind\":\"unsafe\","
    "\"timeout_ms\":1500,\"target_latency_ms\":150,\"max_attempts\":1,\"priority\":2,"
    "\"service\":\"app\"},"
    "{\"name\":\"look\",\"host\":\"site.example\",\"path_prefix\":\"/look/\",\"kind\":\"safe\","
    "\"timeout_ms\":1500,\"target_latency_ms\":150,\"max_attempts\":2,\"priority\":2,"
    "\"service\":\"app\"},"
    "{\"name\":\"open\",\"host\":\"site.example\",\"path_prefix\":\"/open/\",\"kind\":\"safe\","
    "\"timeout_ms\":1500,\"public\":true,\"service\":\"app\"},"
    "{\"name\":\"draft\",\"host\":\"site.example\",\"path_prefix\":\"/draft/\","
    "\"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"max_attempts\":2,"
    "\"priority\":0,\"stream_resume\":true,\"gap_aim_ms\":200,\"service\":\"app\"},"
    "{\"name\":\"letter\",\"host\":\"site.example\",\"path_prefix\":\"/letter/\","
    "\"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"max_attempts\":1,"
    "\"priority\":1,\"stream_resume\":false,\"gap_aim_ms\":200,\"service\":\"app\"}%s],"
    "\"services\":[{\"name\":\"app\",\"engine\":{\"slots\":4}}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
    "\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"crew\",\"api_keys\":[\"letmein\"],\"unit\":\"tokens\","
    "\"plain_tokens\":10,\"rate_per_s\":1000000,\"burst\":1000000}]}}";

static int
write_object (NodeKitStore store, const char *method, const char *path, const char *body)
{
  int status = 0;
  char *full = g_strconcat ("/objects/", path, NULL);
  g_free (http_exchange (method, store.address, store.port, full, NULL, body, &status));
  g_free (full);
  return status;
}

int
node_kit_put_config (NodeKitStore store, guint version, const char *more_routes)
{
  char *body = g_strdup_printf (config_format, version, more_routes);
  int status = write_object (store, version == 1 ? "POST" : "PUT",
                             version == 1 ? "config" : "config/main", body);
  g_free (body);
  return status;
}

int
node_kit_put_target (NodeKitStore store, const char *method, const NodeKitTarget *target)
{
  char *body
    = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":\"%s\","
                       "\"address\":\"%s:%u\",\"zone\":\"%s\",\"slots\":4,\"state\":\"%s\","
                       "\"born\":%" G_GINT64_FORMAT ",\"version\":\"%s\",\"sequence\":1}}",
                       target->id, target->service != NULL ? target->service : "app",
                       target->address, target->port, target->data_centre, target->state,
                       target->started, target->version != NULL ? target->version : "v1");
  char *path = g_strcmp0 (method, "POST") == 0 ? g_strdup ("servers")
                                               : g_strconcat ("servers/", target->id, NULL);
  int status = write_object (store, method, path, body);
  g_free (path);
  g_free (body);
  return status;
}

int
node_kit_remove_target (NodeKitStore store, const char *id)
{
  char *path = g_strconcat ("servers/", id, NULL);
  int status = write_object (store, "DELETE", path, NULL);
  g_free (path);
  return status;
}

char *
node_kit_format_request (const NodeKitRequest *request)
{
  char *resumes = request->resumes != NULL
                    ? g_strdup_printf ("Resumes: %s\r\nLast-Event-Id: %u\r\n", request->resumes,
                                       request->last_event)
                    : g_strdup ("");
  char *more = request->prompt_parts != NULL
                 ? g_strconcat (resumes, "Prefix-Hash: ", request->prompt_parts, "\r\n", NULL)
                 : g_strdup (resumes);
  g_free (resumes);
  char *text = g_strdup_printf (
    "%s %s HTTP/1.1\r\nHost: " NODE_KIT_HOST "\r\nAuthorization: Bearer " NODE_KIT_KEY
    "\r\nRequest-Id: %s\r\nDeadline-Ms: %u\r\n%s%sContent-Length: %u\r\n\r\n%s",
    request->method, request->path, request->id, request->timeout_ms,
    request->is_stream ? "Token-Count: 100,40\r\nModel: m\r\n" : "", more,
    (guint)strlen (request->body), request->body);
  g_free (more);
  return text;
}

gboolean
node_kit_is_answer_to (const char *head, const char *id)
{
  char *header = g_strdup_printf ("\r\nRequest-Id: %s\r\n", id);
  gboolean found = strstr (head, header) != NULL;
  g_free (header);
  return found;
}

gboolean
node_kit_is_signed (const char *head)
{
  return strstr (head, "\r\nResponse-Seal: ") != NULL;
}

Process *
node_kit_start (const NodeKitVm *vm)
{
  char *tunnel_port = vm->tunnel_port != 0
                        ? g_strdup_printf ("\"tunnel_port\":%u,", vm->tunnel_port)
                        : g_strdup ("");
  char *text = g_strdup_printf (
    "// settings of a test\n{\"name\":\"%s\",\"address\":\"%s\",\"data_centre\":\"%s\","
    "%s\"agent_bus_port\":%u,%s\"operator_port\":%u,\"caller_listen\":\"%s:%u\","
    "\"ready_listen\":\"%s:%u\",\"store\":\"%s:%u\",\"seeds\":\"%s\","
    "\"first_start\":\"%s\"}",
    vm->name, vm->address, vm->data_centre, vm->more_settings != NULL ? vm->more_settings : "",
    vm->bus_port, tunnel_port, vm->operator_port, vm->address, vm->caller_port, vm->address,
    vm->ready_port, vm->store.address, vm->store.port, vm->seeds,
    vm->first_start ? "true" : "false");
  char *path = g_strdup_printf ("%s/%s.json", vm->folder, vm->name);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  char *program = g_strconcat (
    vm->build, vm->program != NULL ? vm->program : "/node/dogwoodplank-node", NULL);
  const char *const argv[] = { program, "--settings", path, NULL };
  Process *process = process_start (&(ProcessOptions){ .argv = argv, .log_path = vm->log });
  g_free (program);
  g_free (path);
  g_free (text);
  g_free (tunnel_port);
  return process;
}
