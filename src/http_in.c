#include "http_in.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "caller_watch.h"
#include "edge/http_syntax.h"
#include "entry.h"
#include "explain.h"
#include "http_reply.h"

enum
{
  IN_THREADS = 2,
  CONNECTION_TIMEOUT_S = 30,
  CONNECTION_MEMORY_BYTES = 24 * 1024,
  BODY_TIME_MAX_MS = 20000,
  BODY_ROOM_FIRST_BYTES = 4096
};

struct http_in_t
{
  daemon_t *daemon;
  http_in_kind_t kind;
  struct MHD_Daemon *mhd;
  uint16_t port;
};

/* One HTTP request on one connection.  */
typedef struct inbound_t
{
  http_in_t *in;
  struct MHD_Connection *connection;
  char path[CALL_PATH_BYTES];
  bool headers_seen;
  reason_t fault; /* found before the request was whole */
  char *body;
  size_t body_size;
  size_t body_room;
  int64_t began_us;
  request_t *request; /* owned reference; NULL until the body is whole */
  bool submitted;     /* counted as open until its answer is out */
} inbound_t;

static void *
begin_inbound (void *ctx, const char *uri, struct MHD_Connection *connection)
{
  inbound_t *inbound = calloc (1, sizeof *inbound);

  inbound->in = ctx;
  inbound->connection = connection;
  inbound->began_us = daemon_now_us (inbound->in->daemon);
  if (strlen (uri) >= sizeof inbound->path)
    inbound->fault = REASON_BAD_REQUEST;
  else
    memcpy (inbound->path, uri, strlen (uri) + 1);
  return inbound;
}

static void
complete_inbound (void *ctx, struct MHD_Connection *connection, void **con_cls,
                  enum MHD_RequestTerminationCode code)
{
  inbound_t *inbound = *con_cls;
  (void)ctx;
  (void)connection;
  (void)code;
  if (inbound == NULL)
    return;
  if (inbound->request != NULL)
    request_unref (inbound->request);
  if (inbound->submitted)
    atomic_fetch_sub (&inbound->in->daemon->requests_open, 1);
  free (inbound->body);
  free (inbound);
  *con_cls = NULL;
}

static const char *
header_of (const inbound_t *inbound, const char *name)
{
  return MHD_lookup_connection_value (inbound->connection, MHD_HEADER_KIND,
                                      name);
}

typedef struct framing_t
{
  int lengths;
  int codings;
  bool malformed; /* a field name or value is not valid */
} framing_t;

static enum MHD_Result
count_framing (void *ctx, enum MHD_ValueKind kind, const char *name,
               const char *value)
{
  framing_t *framing = ctx;
  (void)kind;
  if (!http_syntax_is_token (name, strlen (name))
      || (value != NULL && !http_syntax_is_value (value, strlen (value))))
    framing->malformed = true;
  if (strcasecmp (name, "Content-Length") == 0)
    framing->lengths++;
  if (strcasecmp (name, "Transfer-Encoding") == 0)
    framing->codings++;
  return MHD_YES;
}

static reason_t
check_framing (const inbound_t *inbound)
{
  framing_t framing = { 0, 0, false };
  const char *length = header_of (inbound, "Content-Length");

  MHD_get_connection_values (inbound->connection, MHD_HEADER_KIND,
                             count_framing, &framing);
  if (framing.malformed)
    return REASON_BAD_REQUEST;
  if (framing.lengths + framing.codings > 1)
    return REASON_HEADER_CONFLICT;
  if (length != NULL
      && strtoull (length, NULL, 10)
             > inbound->in->daemon->settings.body_bytes_max)
    return REASON_BODY_TOO_LARGE;
  return REASON_NONE;
}

static void
append_body (inbound_t *inbound, const char *data, size_t size)
{
  size_t max = inbound->in->daemon->settings.body_bytes_max;

  if (inbound->fault != REASON_NONE)
    return;
  if (inbound->body_size + size > max)
    {
      inbound->fault = REASON_BODY_TOO_LARGE;
      return;
    }
  if (inbound->body_size + size > inbound->body_room)
    {
      size_t room = inbound->body_room ? inbound->body_room * 2
                                       : BODY_ROOM_FIRST_BYTES;
      while (room < inbound->body_size + size)
        room *= 2;
      inbound->body = realloc (inbound->body, room);
      inbound->body_room = room;
    }
  memcpy (inbound->body + inbound->body_size, data, size);
  inbound->body_size += size;
}

static enum MHD_Result
copy_header (void *ctx, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
  headers_t *headers = ctx;
  (void)kind;
  if (!headers_is_private (name) && strcasecmp (name, "Idempotency-Key") != 0)
    headers_add (headers, name, value != NULL ? value : "");
  return MHD_YES;
}

static void
resume (void *ctx, request_t *request)
{
  inbound_t *inbound = ctx;
  daemon_t *daemon = inbound->in->daemon;

  const answer_t *answer = &request->answer;

  if (request->from_peer)
    prober_ended (daemon->prober, request->call.request, request->ended_us);
  if (request->parent != NULL)
    request_child_ended (request->parent,
                         answer->has_report ? answer->report.level
                                            : LEVEL_ADMIT_ALL,
                         request->ended_us);
  counters_end (daemon->counters, answer->reason);
  explain_end (daemon, request);
  if (timer_cancel (daemon->timers, &request->deadline))
    request_unref (request);
  MHD_resume_connection (inbound->connection);
}

static void
fill_request (inbound_t *inbound, const char *method)
{
  request_t *request = request_new (resume, inbound);

  snprintf (request->call.method, sizeof request->call.method, "%s", method);
  memcpy (request->call.path, inbound->path, sizeof inbound->path);
  request->arrived_us = inbound->began_us;
  MHD_get_connection_values (inbound->connection, MHD_HEADER_KIND, copy_header,
                             &request->headers);
  request->body = inbound->body;
  request->body_size = inbound->body_size;
  inbound->body = NULL;
  inbound->request = request;
}

static void
submit_caller (inbound_t *inbound)
{
  entry_headers_t headers = {
    .authorization = header_of (inbound, "Authorization"),
    .idempotency_key = header_of (inbound, "Idempotency-Key"),
    .deadline = header_of (inbound, "Redwingford-Deadline-Ms"),
    .token = header_of (inbound, "Redwingford-Token"),
    .request = header_of (inbound, "Redwingford-Request"),
  };
  entry_submit (inbound->in->daemon, inbound->request, &headers);
}

static reason_t
open_call (inbound_t *inbound)
{
  daemon_t *daemon = inbound->in->daemon;
  request_t *request = inbound->request;
  const char *text = header_of (inbound, CALL_HEADER);
  call_t call;

  if (text == NULL || !call_open (text, &daemon->seal, &call)
      || strcmp (call.method, request->call.method) != 0
      || strcmp (call.path, request->call.path) != 0
      || call.body_hash != call_body_hash (request->body, request->body_size))
    return REASON_PEER_UNPROVEN;
  request->call = call;
  return REASON_NONE;
}

static void
watch_caller (inbound_t *inbound)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      inbound->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  caller_watch_begin (inbound->in->daemon, inbound->request, info->connect_fd);
}

/* The connection is suspended; whoever ends the request resumes it.  */
static void
submit (inbound_t *inbound)
{
  daemon_t *daemon = inbound->in->daemon;
  reason_t reason = inbound->fault;

  if (reason == REASON_NONE && inbound->in->kind == HTTP_IN_PEERS)
    reason = open_call (inbound);
  if (reason != REASON_NONE)
    request_end (inbound->request, answer_refusal (reason),
                 daemon_now_us (daemon));
  else if (inbound->in->kind == HTTP_IN_PEERS)
    entry_submit_peer (daemon, inbound->request);
  else
    submit_caller (inbound);
}

static enum MHD_Result
respond (inbound_t *inbound)
{
  const request_t *request = inbound->request;
  struct MHD_Response *response
      = http_reply_new (inbound->in->daemon, inbound->request,
                        inbound->in->kind == HTTP_IN_PEERS);
  enum MHD_Result result = MHD_queue_response (
      inbound->connection, (unsigned)request->answer.status, response);

  MHD_destroy_response (response);
  return result;
}

/* Refuses before the body has come; the library then closes the connection,
   since the rest of the body would be taken for a request.  */
static enum MHD_Result
refuse_early (inbound_t *inbound, const char *method)
{
  daemon_t *daemon = inbound->in->daemon;

  fill_request (inbound, method);
  inbound->request->answer = answer_refusal (inbound->fault);
  counters_end (daemon->counters, inbound->fault);
  return respond (inbound);
}

static enum MHD_Result
handle (void *ctx, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload_data,
        size_t *upload_data_size, void **con_cls)
{
  inbound_t *inbound = *con_cls;
  daemon_t *daemon = inbound->in->daemon;
  (void)ctx;
  (void)url;
  (void)version;

  if (!inbound->headers_seen)
    {
      inbound->headers_seen = true;
      if (inbound->fault == REASON_NONE)
        inbound->fault = check_framing (inbound);
      return inbound->fault == REASON_NONE ? MHD_YES
                                           : refuse_early (inbound, method);
    }
  if (*upload_data_size > 0)
    {
      append_body (inbound, upload_data, *upload_data_size);
      *upload_data_size = 0;
      int64_t spent_us = daemon_now_us (daemon) - inbound->began_us;
      return spent_us < (int64_t)BODY_TIME_MAX_MS * US_PER_MS ? MHD_YES
                                                              : MHD_NO;
    }
  if (inbound->request != NULL)
    return respond (inbound);
  fill_request (inbound, method);
  inbound->submitted = true;
  atomic_fetch_add (&daemon->requests_open, 1);
  MHD_suspend_connection (connection);
  watch_caller (inbound);
  submit (inbound);
  return MHD_YES;
}

http_in_t *
http_in_new (daemon_t *daemon, http_in_kind_t kind, endpoint_addr_t addr,
             error_info_t *error)
{
  http_in_t *in = calloc (1, sizeof *in);
  struct sockaddr_in name = { .sin_family = AF_INET };

  in->daemon = daemon;
  in->kind = kind;
  name.sin_addr.s_addr = htonl (addr.ip);
  name.sin_port = htons (addr.port);
  in->mhd = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, addr.port,
      NULL, NULL, handle, in, MHD_OPTION_SOCK_ADDR, &name,
      MHD_OPTION_THREAD_POOL_SIZE, (unsigned)IN_THREADS,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)daemon->settings.connections_max,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_URI_LOG_CALLBACK, begin_inbound, in,
      MHD_OPTION_NOTIFY_COMPLETED, complete_inbound, in, MHD_OPTION_END);
  if (in->mhd == NULL)
    {
      error_set (error, ERROR_IO,
                 kind == HTTP_IN_CALLERS ? "/listen" : "/peer",
                 "cannot listen; name a free address of this VM");
      free (in);
      return NULL;
    }
  in->port = MHD_get_daemon_info (in->mhd, MHD_DAEMON_INFO_BIND_PORT)->port;
  return in;
}

void
http_in_free (http_in_t *in)
{
  MHD_stop_daemon (in->mhd);
  free (in);
}

uint16_t
http_in_port (const http_in_t *in)
{
  return in->port;
}
