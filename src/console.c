#include "console.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "console_action.h"

enum
{
  TOKEN_BYTES = 16,
  TOKEN_TEXT_BYTES = 2 * TOKEN_BYTES + 1,
  POST_BUFFER_BYTES = 4096,
  POST_BYTES_MAX = 65536,
  CONNECTIONS_MAX = 64,
  TIMEOUT_S = 60,
  STATUS_FORBIDDEN = 403,
  STATUS_TOO_LARGE = 413
};

struct console_t
{
  console_setup_t setup;
  pthread_mutex_t lock; /* one page at a time uses the log service */
  uint8_t secret[crypto_generichash_KEYBYTES];
  struct MHD_Daemon *mhd;
};

/* One request while its body comes in.  */
typedef struct visit_t
{
  struct MHD_PostProcessor *post;
  form_t form;
  size_t bytes;
} visit_t;

static enum MHD_Result
take_value (void *ctx, enum MHD_ValueKind kind, const char *key,
            const char *filename, const char *content_type,
            const char *transfer_encoding, const char *data, uint64_t offset,
            size_t size)
{
  visit_t *visit = ctx;
  (void)kind;
  (void)filename;
  (void)content_type;
  (void)transfer_encoding;
  (void)offset;
  form_add (&visit->form, key, data, size);
  return MHD_YES;
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned status, char *html)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (html), html, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type",
                           "text/html; charset=utf-8");
  MHD_add_response_header (response, "Cache-Control", "no-store");
  MHD_add_response_header (response, "X-Frame-Options", "DENY");
  MHD_add_response_header (response, "Referrer-Policy", "no-referrer");
  MHD_add_response_header (
      response, "Content-Security-Policy",
      "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
      "base-uri 'none'; frame-ancestors 'none'");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
ask_sign_in (struct MHD_Connection *connection)
{
  static char text[] = "Sign in with an operator's id and secret.\n";
  struct MHD_Response *response = MHD_create_response_from_buffer (
      sizeof text - 1, text, MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result = MHD_queue_basic_auth_fail_response (
      connection, "redwingford", response);
  MHD_destroy_response (response);
  return result;
}

/* The operator who signed in, or NULL.  */
static const doc_key_t *
signed_in (const console_t *console, struct MHD_Connection *connection)
{
  char *secret = NULL;
  char *id = MHD_basic_auth_get_username_password (connection, &secret);
  const doc_key_t *found = NULL;
  for (size_t i = 0; id != NULL && i < console->setup.operator_count; i++)
    {
      const doc_key_t *key = &console->setup.operators[i];
      if (strcmp (key->id, id) == 0 && secret != NULL
          && doc_key_matches (key, secret, strlen (secret)))
        found = key;
    }
  if (secret != NULL)
    sodium_memzero (secret, strlen (secret));
  MHD_free (id);
  MHD_free (secret);
  return found;
}

static void
make_token (const console_t *console, const char *id, char *token)
{
  uint8_t hash[TOKEN_BYTES];
  crypto_generichash (hash, sizeof hash, (const unsigned char *)id,
                      strlen (id), console->secret, sizeof console->secret);
  sodium_bin2hex (token, TOKEN_TEXT_BYTES, hash, sizeof hash);
}

static bool
token_is_right (const char *token, const form_t *form)
{
  const char *sent = form_get (form, "token");
  return strlen (sent) == strlen (token)
         && sodium_memcmp (sent, token, strlen (token)) == 0;
}

static enum MHD_Result
serve (console_t *console, struct MHD_Connection *connection, const char *url,
       visit_t *visit, const doc_key_t *operator_key)
{
  char token[TOKEN_TEXT_BYTES];
  char *html = NULL;
  size_t size;
  FILE *out = open_memstream (&html, &size);
  unsigned status;
  make_token (console, operator_key->id, token);

  console_request_t request = { .env = &console->setup.env,
                                .operator_name = operator_key->id,
                                .token = token };
  pthread_mutex_lock (&console->lock);
  if (strcmp (url, "/misspelled") == 0 && console->setup.misspelled != NULL)
    request.misspelled
        = console->setup.misspelled (console->setup.misspelled_ctx);
  if (visit->post == NULL)
    status = console_get (&request, url, out);
  else if (visit->form.overflow || visit->bytes > POST_BYTES_MAX)
    {
      fputs ("The form is too large.\n", out);
      status = STATUS_TOO_LARGE;
    }
  else if (!token_is_right (token, &visit->form))
    {
      fputs ("The form's token is not yours; open the page again.\n", out);
      status = STATUS_FORBIDDEN;
    }
  else
    status = console_post (&request, url, &visit->form, out);
  json_decref (request.misspelled);
  pthread_mutex_unlock (&console->lock);
  fclose (out);
  return reply (connection, status, html);
}

static enum MHD_Result
handle (void *ctx, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *upload_data,
        size_t *upload_data_size, void **con_cls)
{
  console_t *console = ctx;
  visit_t *visit = *con_cls;
  (void)version;

  if (visit == NULL)
    {
      visit = calloc (1, sizeof *visit);
      if (strcmp (method, "POST") == 0)
        visit->post = MHD_create_post_processor (connection, POST_BUFFER_BYTES,
                                                 take_value, visit);
      *con_cls = visit;
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      visit->bytes += *upload_data_size;
      if (visit->post != NULL && visit->bytes <= POST_BYTES_MAX)
        MHD_post_process (visit->post, upload_data, *upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  const doc_key_t *operator_key = signed_in (console, connection);
  if (operator_key == NULL)
    return ask_sign_in (connection);
  return serve (console, connection, url, visit, operator_key);
}

static void
complete (void *ctx, struct MHD_Connection *connection, void **con_cls,
          enum MHD_RequestTerminationCode code)
{
  visit_t *visit = *con_cls;
  (void)ctx;
  (void)connection;
  (void)code;
  if (visit == NULL)
    return;
  if (visit->post != NULL)
    MHD_destroy_post_processor (visit->post);
  free (visit);
  *con_cls = NULL;
}

console_t *
console_new (const console_setup_t *setup, error_info_t *error)
{
  console_t *console = calloc (1, sizeof *console);
  struct sockaddr_in name = { .sin_family = AF_INET };

  console->setup = *setup;
  pthread_mutex_init (&console->lock, NULL);
  randombytes_buf (console->secret, sizeof console->secret);
  name.sin_addr.s_addr = htonl (setup->listen.ip);
  name.sin_port = htons (setup->listen.port);
  console->mhd = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
      setup->listen.port, NULL, NULL, handle, console, MHD_OPTION_SOCK_ADDR,
      &name, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)TIMEOUT_S,
      MHD_OPTION_NOTIFY_COMPLETED, complete, NULL, MHD_OPTION_END);
  if (console->mhd != NULL)
    return console;
  char text[ADDR_TEXT_BYTES];
  settings_format_addr (setup->listen, text);
  error_set (error, ERROR_IO, NULL,
             "cannot listen on %s; choose a free address of this machine",
             text);
  console_free (console);
  return NULL;
}

void
console_free (console_t *console)
{
  if (console == NULL)
    return;
  if (console->mhd != NULL)
    MHD_stop_daemon (console->mhd);
  pthread_mutex_destroy (&console->lock);
  sodium_memzero (console->secret, sizeof console->secret);
  free (console);
}

uint16_t
console_port (const console_t *console)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (console->mhd, MHD_DAEMON_INFO_BIND_PORT);
  return info != NULL ? info->port : 0;
}

static bool
read_bytes (const json_t *value, uint8_t *bytes, size_t size)
{
  const char *hex = json_string_value (value);
  size_t written = 0;
  return hex != NULL && strlen (hex) == 2 * size
         && sodium_hex2bin (bytes, size, hex, strlen (hex), NULL, &written,
                            NULL)
                == 0
         && written == size;
}

bool
console_load_operators (const char *file, console_setup_t *setup,
                        error_info_t *error)
{
  json_error_t fault;
  json_t *root = json_load_file (file, JSON_REJECT_DUPLICATES, &fault);
  const json_t *array = json_object_get (root, "operators");
  size_t count = json_array_size (array);
  bool ok = count > 0 && count <= CONSOLE_OPERATORS_MAX;
  for (size_t i = 0; ok && i < count; i++)
    {
      const json_t *entry = json_array_get (array, i);
      doc_key_t *key = &setup->operators[i];
      const char *id = json_string_value (json_object_get (entry, "id"));
      ok = id != NULL && strlen (id) < sizeof key->id
           && read_bytes (json_object_get (entry, "salt"), key->salt,
                          sizeof key->salt)
           && read_bytes (json_object_get (entry, "hash"), key->hash,
                          sizeof key->hash);
      if (ok)
        snprintf (key->id, sizeof key->id, "%s", id);
    }
  setup->operator_count = ok ? count : 0;
  json_decref (root);
  return ok
         || error_set (error, ERROR_SETTINGS, "/operators",
                       "%s: must name 1 to %d operators with id, salt and "
                       "hash; make one with redwingford console "
                       "--new-operator ID",
                       file, CONSOLE_OPERATORS_MAX);
}
