#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"

typedef struct body_t
{
  char *data;
  size_t size;
} body_t;

int
cmd_fail (const char *command, const error_info_t *error)
{
  fprintf (stderr, "%s: %s\n", command, error->message);
  return error_exit_status (error->kind);
}

static int
read_block (void *userdata, const char *block, size_t size)
{
  body_t *body = userdata;

  if (size == 0)
    return 0;
  if (body->size + size > CMD_ANSWER_BYTES_MAX)
    return -1;
  char *data = realloc (body->data, body->size + size + 1);
  if (data == NULL)
    return -1;
  memcpy (data + body->size, block, size);
  body->data = data;
  body->size += size;
  data[body->size] = '\0';
  return 0;
}

static void
set_http_error (error_info_t *error, const char *address, int result,
                const ne_status *status, const char *cause, const body_t *body)
{
  if (result == NE_OK)
    error_set (error, ERROR_PROTOCOL, NULL,
               "%s answered %d: %.160s; see what it says and ask again",
               address, status->code, body->data ? body->data : "no body");
  else
    error_set (error, ERROR_UNAVAILABLE, NULL,
               "%s did not answer (%s); check the address and that it runs",
               address, cause);
}

char *
cmd_http (endpoint_addr_t to, const char *method, const char *path,
          const char *body, error_info_t *error)
{
  body_t answer = { .data = NULL };
  char address[ADDR_TEXT_BYTES];
  char host[ADDR_TEXT_BYTES];

  settings_format_addr (to, address);
  memcpy (host, address, sizeof host);
  *strchr (host, ':') = '\0';
  ne_sock_init ();
  ne_session *session = ne_session_create ("http", host, to.port);
  ne_set_connect_timeout (session, CMD_TIMEOUT_S);
  ne_set_read_timeout (session, CMD_TIMEOUT_S);
  ne_request *request = ne_request_create (session, method, path);
  if (body != NULL)
    ne_set_request_body_buffer (request, body, strlen (body));
  ne_add_response_body_reader (request, ne_accept_always, read_block, &answer);
  int result = ne_request_dispatch (request);
  const ne_status *status = ne_get_status (request);
  bool ok = result == NE_OK && status->klass == 2;
  if (!ok)
    set_http_error (error, address, result, status, ne_get_error (session),
                    &answer);
  else if (answer.data == NULL)
    answer.data = strdup ("");
  ne_request_destroy (request);
  ne_session_destroy (session);
  ne_sock_exit ();
  if (ok)
    return answer.data;
  free (answer.data);
  return NULL;
}
