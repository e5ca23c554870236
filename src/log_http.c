#include "log_http.h"

#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_string.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_S = 2,
  READ_TIMEOUT_S = 5,
  ANSWER_BYTES_MAX = 256 * 1024 * 1024
};

struct log_http_t
{
  ne_session *session;
  char address[ADDR_TEXT_BYTES];
  char path[PATH_BYTES];
};

log_http_t *
log_http_new (endpoint_addr_t addr, const char *stream)
{
  log_http_t *log = calloc (1, sizeof *log);
  char host[ADDR_TEXT_BYTES];

  ne_sock_init ();
  settings_format_addr (addr, log->address);
  snprintf (host, sizeof host, "%.*s", (int)strcspn (log->address, ":"),
            log->address);
  snprintf (log->path, sizeof log->path, "/streams/%s/records", stream);
  log->session = ne_session_create ("http", host, addr.port);
  ne_set_connect_timeout (log->session, CONNECT_TIMEOUT_S);
  ne_set_read_timeout (log->session, READ_TIMEOUT_S);
  return log;
}

void
log_http_free (log_http_t *log)
{
  if (log == NULL)
    return;
  ne_session_destroy (log->session);
  ne_sock_exit ();
  free (log);
}

static int
collect (void *userdata, const char *block, size_t size)
{
  ne_buffer *answer = userdata;
  if (ne_buffer_size (answer) + size > ANSWER_BYTES_MAX)
    return -1;
  ne_buffer_append (answer, block, size);
  return 0;
}

/* One request; the answer's JSON, or NULL with *error set.  */
static json_t *
call (log_http_t *log, const char *method, const char *path, const char *body,
      size_t size, error_info_t *error)
{
  ne_buffer *answer = ne_buffer_create ();
  ne_request *request = ne_request_create (log->session, method, path);
  if (body != NULL)
    ne_set_request_body_buffer (request, body, size);
  ne_add_response_body_reader (request, ne_accept_2xx, collect, answer);

  json_t *json = NULL;
  int result = ne_request_dispatch (request);
  const ne_status *status = ne_get_status (request);
  if (result != NE_OK)
    error_set (error, ERROR_UNAVAILABLE, NULL,
               "the log service at %s did not answer (%s); check its address, "
               "or wait until it is back",
               log->address, ne_get_error (log->session));
  else if (status->klass != 2)
    error_set (error, ERROR_UNAVAILABLE, NULL,
               "the log service at %s answered %d; see its own log",
               log->address, status->code);
  else
    {
      json = json_loadb (answer->data, ne_buffer_size (answer), 0, NULL);
      if (json == NULL)
        error_set (error, ERROR_PROTOCOL, NULL,
                   "the log service at %s answered no JSON; check its address",
                   log->address);
    }
  ne_request_destroy (request);
  ne_buffer_destroy (answer);
  return json;
}

static bool
append_record (void *ctx, const char *data, size_t size, int64_t *offset,
               error_info_t *error)
{
  log_http_t *log = ctx;
  json_t *answer = call (log, "POST", log->path, data, size, error);
  const json_t *number = json_object_get (answer, "offset");
  bool ok = json_is_integer (number);
  if (ok)
    *offset = json_integer_value (number);
  else
    error_set (error, ERROR_PROTOCOL, NULL,
               "the log service at %s named no offset; check its version",
               log->address);
  json_decref (answer);
  return ok;
}

static bool
fill_page (json_t *answer, log_page_t *page)
{
  json_int_t first;
  json_int_t next;
  json_t *records;
  if (json_unpack (answer, "{s:I, s:I, s:o}", "first", &first, "next", &next,
                   "records", &records)
          != 0
      || !json_is_array (records))
    return false;
  *page = (log_page_t){ .first = first, .next = next };
  page->records
      = calloc (json_array_size (records) + 1, sizeof *page->records);
  for (size_t i = 0; i < json_array_size (records); i++)
    {
      json_int_t offset;
      log_record_t *record = &page->records[page->count];
      if (json_unpack (json_array_get (records, i), "{s:I, s:s%}", "offset",
                       &offset, "data", &record->data, &record->size)
          != 0)
        continue;
      record->offset = offset;
      page->count++;
    }
  return true;
}

typedef struct owned_page_t
{
  json_t *answer;
  log_record_t *records;
} owned_page_t;

static void
drop_owned (void *owner)
{
  owned_page_t *owned = owner;
  json_decref (owned->answer);
  free (owned->records);
  free (owned);
}

static bool
read_records (void *ctx, int64_t from, size_t max, log_page_t *page,
              error_info_t *error)
{
  log_http_t *log = ctx;
  char path[PATH_BYTES + 64];
  snprintf (path, sizeof path, "%s?from=%lld&max=%zu", log->path,
            (long long)from, max);
  json_t *answer = call (log, "GET", path, NULL, 0, error);
  if (answer == NULL || !fill_page (answer, page))
    {
      error_set (error, ERROR_PROTOCOL, NULL,
                 "the log service at %s sent no page of records; check its "
                 "version",
                 log->address);
      json_decref (answer);
      return false;
    }
  owned_page_t *owned = malloc (sizeof *owned);
  *owned = (owned_page_t){ answer, page->records };
  page->owner = owned;
  page->drop = drop_owned;
  return true;
}

log_service_t
log_http_service (log_http_t *log)
{
  return (log_service_t){ append_record, read_records, log };
}
