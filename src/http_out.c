#include "http_out.h"

#include <arpa/inet.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "edge/http_syntax.h"

enum
{
  SESSION_BUCKETS = 256,
  SESSIONS_PER_ADDR = 512,
  CONNECT_TIMEOUT_S = 1,
  READ_CHUNK_BYTES = 16 * 1024
};

/* An idle session older than this may have been forgotten by something on
   the way, so it is not used again.  */
static const int64_t SESSION_IDLE_MAX_US = 2 * US_PER_S;

typedef struct session_t
{
  struct session_t *next;
  ne_session *neon;
  endpoint_addr_t to;
  int64_t idle_since_us;
  bool connected; /* a connection stands or stood in this exchange */
} session_t;

struct http_out_t
{
  const clock_source_t *clock;
  pthread_mutex_t lock; /* guards the buckets */
  session_t *buckets[SESSION_BUCKETS];
  size_t idle_counts[SESSION_BUCKETS];
};

http_out_t *
http_out_new (const clock_source_t *clock)
{
  http_out_t *out = calloc (1, sizeof *out);
  ne_sock_init ();
  out->clock = clock;
  pthread_mutex_init (&out->lock, NULL);
  return out;
}

static void
session_free (session_t *session)
{
  ne_session_destroy (session->neon);
  free (session);
}

void
http_out_free (http_out_t *out)
{
  for (size_t i = 0; i < SESSION_BUCKETS; i++)
    while (out->buckets[i] != NULL)
      {
        session_t *session = out->buckets[i];
        out->buckets[i] = session->next;
        session_free (session);
      }
  pthread_mutex_destroy (&out->lock);
  free (out);
}

static size_t
bucket_of (endpoint_addr_t to)
{
  return (to.ip * 31 + to.port) % SESSION_BUCKETS;
}

static bool
same_addr (endpoint_addr_t a, endpoint_addr_t b)
{
  return a.ip == b.ip && a.port == b.port;
}

static void
note_status (void *ctx, ne_session_status status,
             const ne_session_status_info *info)
{
  session_t *session = ctx;
  (void)info;
  if (status == ne_status_connected)
    session->connected = true;
}

static session_t *
session_new (endpoint_addr_t to)
{
  session_t *session = calloc (1, sizeof *session);
  struct in_addr ip = { htonl (to.ip) };
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &ip, host, sizeof host);
  session->to = to;
  session->neon = ne_session_create ("http", host, to.port);
  ne_set_connect_timeout (session->neon, CONNECT_TIMEOUT_S);
  ne_set_notifier (session->neon, note_status, session);
  return session;
}

/* Takes an idle session out of the pool; frees those that idled too long. */
static session_t *
session_take (http_out_t *out, endpoint_addr_t to)
{
  int64_t oldest_us = clock_now_us (out->clock) - SESSION_IDLE_MAX_US;
  size_t bucket = bucket_of (to);
  session_t *found = NULL;
  session_t *stale = NULL;

  pthread_mutex_lock (&out->lock);
  session_t **at = &out->buckets[bucket];
  while (*at != NULL && found == NULL)
    {
      session_t *session = *at;
      bool too_old = session->idle_since_us < oldest_us;
      if (!too_old && !same_addr (session->to, to))
        {
          at = &session->next;
          continue;
        }
      *at = session->next;
      out->idle_counts[bucket]--;
      if (!too_old)
        found = session;
      else
        {
          session->next = stale;
          stale = session;
        }
    }
  pthread_mutex_unlock (&out->lock);
  while (stale != NULL)
    {
      session_t *next = stale->next;
      session_free (stale);
      stale = next;
    }
  return found;
}

static void
session_return (http_out_t *out, session_t *session)
{
  size_t bucket = bucket_of (session->to);

  session->idle_since_us = clock_now_us (out->clock);
  pthread_mutex_lock (&out->lock);
  bool kept = out->idle_counts[bucket] < SESSIONS_PER_ADDR;
  if (kept)
    {
      session->next = out->buckets[bucket];
      out->buckets[bucket] = session;
      out->idle_counts[bucket]++;
    }
  pthread_mutex_unlock (&out->lock);
  if (!kept)
    session_free (session);
}

static ne_request *
request_create (session_t *session, const http_exchange_t *exchange)
{
  ne_request *request
      = ne_request_create (session->neon, exchange->method, exchange->path);

  for (size_t i = 0; exchange->headers && i < exchange->headers->count; i++)
    ne_add_request_header (request, exchange->headers->items[i].name,
                           exchange->headers->items[i].value);
  if (exchange->body_size > 0)
    ne_set_request_body_buffer (request, exchange->body, exchange->body_size);
  if (exchange->once)
    ne_set_request_flag (request, NE_REQFLAG_IDEMPOTENT, 0);
  return request;
}

/* True when the answer's length is told, so that its end can be verified. */
static bool
end_is_told (ne_request *request, int status)
{
  return status == 204 || status == 304
         || ne_get_response_header (request, "Content-Length") != NULL
         || ne_get_response_header (request, "Transfer-Encoding") != NULL;
}

static int
read_answer (ne_request *request, http_exchange_t *exchange)
{
  size_t room = READ_CHUNK_BYTES;
  ssize_t got = 0;

  exchange->answer = malloc (room + 1);
  exchange->answer_size = 0;
  do
    {
      if (exchange->answer_size + READ_CHUNK_BYTES > room)
        {
          room *= 2;
          exchange->answer = realloc (exchange->answer, room + 1);
        }
      got = ne_read_response_block (
          request, exchange->answer + exchange->answer_size, READ_CHUNK_BYTES);
      if (got > 0)
        exchange->answer_size += (size_t)got;
      if (exchange->answer_size > exchange->answer_max_bytes)
        return NE_ERROR;
    }
  while (got > 0);
  exchange->answer[exchange->answer_size] = '\0';
  return got == 0 ? NE_OK : NE_ERROR;
}

static void
copy_headers (ne_request *request, http_exchange_t *exchange)
{
  const char *name;
  const char *value;
  void *cursor = NULL;

  while ((cursor = ne_response_header_iterate (request, cursor, &name, &value))
         != NULL)
    headers_add (&exchange->answer_headers, name, value);
}

/* Whether the head is that of a valid final answer.  Blanks in or after a name
   and folded lines are not noticed, as neon drops or joins these itself.  */
static bool
is_head_valid (ne_request *request, int status)
{
  const char *length = ne_get_response_header (request, "Content-Length");
  const char *name;
  const char *value;
  void *cursor = NULL;

  if (status < 200 || status > 599)
    return false;
  /* neon joins the values of several fields with commas.  */
  if (length != NULL
      && (length[0] == '\0' || length[strspn (length, "0123456789")] != '\0'
          || ne_get_response_header (request, "Transfer-Encoding") != NULL))
    return false;
  while ((cursor = ne_response_header_iterate (request, cursor, &name, &value))
         != NULL)
    if (!http_syntax_is_token (name, strlen (name))
        || !http_syntax_is_value (value, strlen (value)))
      return false;
  return true;
}

static int
dispatch (ne_request *request, http_exchange_t *exchange)
{
  int result = ne_begin_request (request);
  if (result != NE_OK)
    return result;
  exchange->status = ne_get_status (request)->code;
  if (!is_head_valid (request, exchange->status)
      || !end_is_told (request, exchange->status))
    return NE_ERROR;
  copy_headers (request, exchange);
  result = read_answer (request, exchange);
  return result == NE_OK ? ne_end_request (request) : result;
}

/* A kept session that has to connect anew and cannot tells nothing about what
   the request did: its first bytes went to a connection that was closed.  */
static http_result_t
classify (int result, const session_t *session, bool kept)
{
  if (result == NE_OK || result == NE_RETRY)
    return HTTP_ANSWERED;
  if (!session->connected)
    return HTTP_NOT_SENT;
  if (kept && result == NE_CONNECT)
    return HTTP_SILENT;
  return result == NE_TIMEOUT ? HTTP_SILENT : HTTP_CUT;
}

http_result_t
http_out_exchange (http_out_t *out, http_exchange_t *exchange)
{
  session_t *session
      = exchange->once ? NULL : session_take (out, exchange->to);

  bool kept = session != NULL;
  if (!kept)
    session = session_new (exchange->to);
  ne_set_read_timeout (session->neon,
                       (int)(exchange->timeout_ms / MS_PER_S) + 1);
  ne_request *request = request_create (session, exchange);
  int result = dispatch (request, exchange);
  ne_request_destroy (request);
  http_result_t verdict = classify (result, session, kept);
  if (verdict == HTTP_ANSWERED)
    session_return (out, session);
  else
    session_free (session);
  return verdict;
}

void
http_exchange_free (http_exchange_t *exchange)
{
  free (exchange->answer);
  exchange->answer = NULL;
  headers_free (&exchange->answer_headers);
}
