#include "admin.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

enum
{
  ADMIN_BODY_MAX_BYTES = 16 * 1024,
  ADMIN_CONNECTIONS_MAX = 64,
  ADMIN_TIMEOUT_S = 10,
  RECENT_ANSWER_MAX = 200
};

struct admin_t
{
  daemon_t *daemon;
  struct MHD_Daemon *mhd;
  uint16_t port;
};

typedef struct admin_body_t
{
  char text[ADMIN_BODY_MAX_BYTES];
  size_t size;
  bool overflow;
} admin_body_t;

bool
admin_parse_announcement (const char *text, size_t size, backend_t *backend,
                          error_info_t *error)
{
  json_error_t fault;
  json_t *root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &fault);
  const char *service = NULL;
  const char *ip = NULL;
  int port = 0;
  int slots = 0;
  int connections = 0;
  int cold_slots = 0;
  int cold_ramp_ms = 0;
  int leaving = 0;
  struct in_addr addr;

  memset (backend, 0, sizeof *backend);
  if (root == NULL)
    return error_set (error, ERROR_PROTOCOL, "",
                      "announcement is not JSON: %s; send one JSON object",
                      fault.text);
  int bad = json_unpack (root, "{s:s, s:s, s:i, s:i, s?i, s?{s?i, s?i}, s?b}",
                         "service", &service, "ip", &ip, "port", &port,
                         "slots", &slots, "connections", &connections,
                         "cold_start", "slots_start", &cold_slots, "ramp_ms",
                         &cold_ramp_ms, "leaving", &leaving);
  bool ok = bad == 0 && strlen (service) < NAME_BYTES
            && inet_pton (AF_INET, ip, &addr) == 1 && port > 0 && port < 65536
            && slots > 0 && cold_slots >= 0 && cold_ramp_ms >= 0;
  if (ok)
    {
      backend->present = true;
      backend->leaving = leaving;
      backend->addr = (endpoint_addr_t){ ntohl (addr.s_addr), (uint16_t)port };
      snprintf (backend->service, sizeof backend->service, "%s", service);
      backend->slots = (uint32_t)slots;
      backend->connections
          = connections > 0 ? (uint32_t)connections : (uint32_t)slots;
      backend->cold_slots = (uint32_t)cold_slots;
      backend->cold_ramp_ms = (uint32_t)cold_ramp_ms;
    }
  json_decref (root);
  if (!ok)
    return error_set (error, ERROR_PROTOCOL, "",
                      "announcement lacks service, ip, port or slots, or one "
                      "is out of range; send all four");
  return true;
}

static json_t *
backend_json (daemon_t *daemon)
{
  backend_t backend = daemon_backend (daemon);
  char addr[ADDR_TEXT_BYTES];

  if (!backend.present)
    return json_null ();
  settings_format_addr (backend.addr, addr);
  return json_pack ("{s:s, s:s, s:i, s:i, s:b}", "service", backend.service,
                    "address", addr, "slots", (int)backend.slots,
                    "connections", (int)backend.connections, "leaving",
                    (int)backend.leaving);
}

static json_t *
refusals_json (const counters_t *counters)
{
  json_t *ends = json_object ();

  for (int i = 0; i < REASON_COUNT; i++)
    {
      uint64_t count = counters_get_end (counters, (reason_t)i);
      if (count > 0)
        json_object_set_new (ends, reason_name ((reason_t)i),
                             json_integer ((json_int_t)count));
    }
  return ends;
}

static json_t *
retries_json (const counters_t *counters)
{
  json_t *retries = json_object ();

  for (int i = 0; i < RETRY_COUNT; i++)
    {
      uint64_t count = counters_get_retry (counters, (retry_t)i);
      if (count > 0)
        json_object_set_new (retries, retry_name ((retry_t)i),
                             json_integer ((json_int_t)count));
    }
  return retries;
}

static char *
status_text (daemon_t *daemon)
{
  char vm[ADDR_TEXT_BYTES];
  endpoint_addr_t control = { vm_id_ip (daemon->vm), vm_id_port (daemon->vm) };
  const doc_t *doc = snapshot_acquire (&daemon->snapshot);
  doc_version_t version = doc != NULL ? doc->version : 0;

  snapshot_release (&daemon->snapshot);
  settings_format_addr (control, vm);
  json_t *status = json_pack (
      "{s:s, s:s, s:I, s:b, s:i, s:o, s:o, s:o, s:o, s:o, s:o, s:o}", "vm", vm,
      "zone", daemon->settings.zone, "config_version", (json_int_t)version,
      "draining", (int)atomic_load (&daemon->draining), "requests_open",
      (int)atomic_load (&daemon->requests_open), "backend_server",
      backend_json (daemon), "ends", refusals_json (daemon->counters),
      "retries", retries_json (daemon->counters), "executor",
      exec_status_json (daemon->exec), "services",
      directory_status (daemon->directory), "parts",
      control_status (daemon->control), "misspelled",
      misspelled_list (daemon->misspelled));
  char *text = json_dumps (status, JSON_INDENT (2));
  json_decref (status);
  return text;
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned status, const char *type,
       char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);

  MHD_add_response_header (response, "Content-Type", type);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_error (struct MHD_Connection *connection, unsigned status,
             const error_info_t *error)
{
  char *text = NULL;
  if (asprintf (&text, "%s\n", error->message) < 0)
    return MHD_NO;
  return reply (connection, status, "text/plain", text);
}

static enum MHD_Result
announce (admin_t *admin, struct MHD_Connection *connection,
          const admin_body_t *body)
{
  backend_t backend;
  error_info_t error = { ERROR_NONE, "", "" };

  if (body->overflow
      || !admin_parse_announcement (body->text, body->size, &backend, &error))
    return reply_error (connection, MHD_HTTP_BAD_REQUEST, &error);
  backend.announced_us = daemon_now_us (admin->daemon);
  daemon_announce (admin->daemon, &backend);
  return reply (connection, MHD_HTTP_OK, "application/json", strdup ("{}\n"));
}

/* An operator's word that no process of earlier epochs is alive.  */
static enum MHD_Result
close_epochs (admin_t *admin, struct MHD_Connection *connection)
{
  once_part_t *part = once_serve_part (admin->daemon->once);

  once_part_force_closed (part, once_part_stats (part).epoch);
  log_write (LOG_PART_ONCE, LOG_LEVEL_WARN,
             "An operator closed the epochs before this one.");
  return reply (connection, MHD_HTTP_OK, "application/json", strdup ("{}\n"));
}

/* The body is one fingerprint, as listed.  */
static enum MHD_Result
lift (admin_t *admin, struct MHD_Connection *connection,
      const admin_body_t *body)
{
  char text[NAME_BYTES];
  fingerprint_t fingerprint;
  error_info_t error = { ERROR_NONE, "", "" };

  snprintf (text, sizeof text, "%.*s", (int)body->size, body->text);
  text[strcspn (text, "\r\n")] = '\0';
  if (!quarantine_parse_fingerprint (text, &fingerprint))
    {
      error_set (&error, ERROR_USAGE, "",
                 "no fingerprint; send 16 hexadecimal digits as listed");
      return reply_error (connection, MHD_HTTP_BAD_REQUEST, &error);
    }
  if (!quarantine_part_lift (exec_quarantine (admin->daemon->exec),
                             fingerprint))
    {
      error_set (&error, ERROR_USAGE, "",
                 "not in quarantine; see the list in /status");
      return reply_error (connection, MHD_HTTP_NOT_FOUND, &error);
    }
  return reply (connection, MHD_HTTP_OK, "application/json", strdup ("{}\n"));
}

/* GET /recent?request=ID, ?account=NAME, or all.  */
static char *
recent_text (daemon_t *daemon, struct MHD_Connection *connection)
{
  const char *request = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "request");
  const char *account = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "account");
  json_t *found
      = recent_find (daemon->recent, request, account, RECENT_ANSWER_MAX);
  char *text = json_dumps (found, JSON_INDENT (1));
  json_decref (found);
  return text;
}

static enum MHD_Result
route (admin_t *admin, struct MHD_Connection *connection, const char *url,
       const char *method, const admin_body_t *body)
{
  daemon_t *daemon = admin->daemon;
  error_info_t error = { ERROR_NONE, "", "" };

  if (strcmp (method, "POST") == 0 && strcmp (url, "/announce") == 0)
    return announce (admin, connection, body);
  if (strcmp (method, "POST") == 0 && strcmp (url, "/once/close") == 0)
    return close_epochs (admin, connection);
  if (strcmp (method, "POST") == 0 && strcmp (url, "/quarantine/lift") == 0)
    return lift (admin, connection, body);
  if (strcmp (method, "GET") == 0 && strcmp (url, "/status") == 0)
    return reply (connection, MHD_HTTP_OK, "application/json",
                  status_text (daemon));
  if (strcmp (method, "GET") == 0 && strcmp (url, "/recent") == 0)
    return reply (connection, MHD_HTTP_OK, "application/json",
                  recent_text (daemon, connection));
  if (strcmp (method, "GET") == 0 && strcmp (url, "/metrics") == 0)
    return reply (connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
                  counters_format (daemon->counters));
  error_set (&error, ERROR_USAGE, url,
             "no such page; use /status, /metrics, /recent or POST /announce");
  return reply_error (connection, MHD_HTTP_NOT_FOUND, &error);
}

static enum MHD_Result
handle (void *ctx, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload_data,
        size_t *upload_data_size, void **con_cls)
{
  admin_body_t *body = *con_cls;
  (void)version;

  if (body == NULL)
    {
      *con_cls = calloc (1, sizeof *body);
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      body->overflow |= body->size + *upload_data_size > sizeof body->text;
      if (!body->overflow)
        {
          memcpy (body->text + body->size, upload_data, *upload_data_size);
          body->size += *upload_data_size;
        }
      *upload_data_size = 0;
      return MHD_YES;
    }
  return route (ctx, connection, url, method, body);
}

static void
complete (void *ctx, struct MHD_Connection *connection, void **con_cls,
          enum MHD_RequestTerminationCode code)
{
  (void)ctx;
  (void)connection;
  (void)code;
  free (*con_cls);
  *con_cls = NULL;
}

admin_t *
admin_new (daemon_t *daemon, endpoint_addr_t addr, error_info_t *error)
{
  admin_t *admin = calloc (1, sizeof *admin);
  struct sockaddr_in name = { .sin_family = AF_INET };

  admin->daemon = daemon;
  name.sin_addr.s_addr = htonl (addr.ip);
  name.sin_port = htons (addr.port);
  admin->mhd = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, addr.port, NULL, NULL, handle, admin,
      MHD_OPTION_SOCK_ADDR, &name, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)ADMIN_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)ADMIN_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED, complete, NULL,
      MHD_OPTION_END);
  if (admin->mhd == NULL)
    {
      error_set (error, ERROR_IO, "/admin",
                 "cannot listen; name a free address of this VM");
      free (admin);
      return NULL;
    }
  admin->port
      = MHD_get_daemon_info (admin->mhd, MHD_DAEMON_INFO_BIND_PORT)->port;
  return admin;
}

void
admin_free (admin_t *admin)
{
  MHD_stop_daemon (admin->mhd);
  free (admin);
}

uint16_t
admin_port (const admin_t *admin)
{
  return admin->port;
}
