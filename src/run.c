#include "run.h"

#include <stdio.h>
#include <string.h>

#define NOT_RUN_HEADER "Redwingford-Not-Run"
#define REQUEST_HEADER "Redwingford-Request"

static void
add_number (headers_t *headers, const char *name, uint32_t value)
{
  char text[16];
  snprintf (text, sizeof text, "%u", value);
  headers_add (headers, name, text);
}

/* The backend server sees the caller's own headers and the call's identity,
   never the caller's key.  */
static headers_t
backend_headers (const request_t *request, const char *token, uint32_t left_ms)
{
  headers_t headers = { .count = 0 };

  for (size_t i = 0; i < request->headers.count; i++)
    headers_add (&headers, request->headers.items[i].name,
                 request->headers.items[i].value);
  headers_add (&headers, REQUEST_HEADER, request->call.request);
  headers_add (&headers, "Redwingford-Token", token);
  headers_add (&headers, "Redwingford-Account", request->call.account);
  add_number (&headers, "Redwingford-Deadline-Ms", left_ms);
  if (request->call.key[0] != '\0')
    headers_add (&headers, "Idempotency-Key", request->call.key);
  return headers;
}

/* A backend server that echoes the identity must echo this request's.  */
static bool
is_own_answer (const request_t *request, const http_exchange_t *exchange)
{
  const char *echoed = headers_get (&exchange->answer_headers, REQUEST_HEADER);
  return echoed == NULL || strcmp (echoed, request->call.request) == 0;
}

static answer_t
whole_answer (http_exchange_t *exchange)
{
  answer_t answer = { .reason = REASON_NONE, .status = exchange->status };

  for (size_t i = 0; i < exchange->answer_headers.count; i++)
    if (!headers_is_private (exchange->answer_headers.items[i].name))
      headers_add (&answer.headers, exchange->answer_headers.items[i].name,
                   exchange->answer_headers.items[i].value);
  answer.body = exchange->answer;
  answer.body_size = exchange->answer_size;
  exchange->answer = NULL;
  return answer;
}

static answer_t
interpret (const request_t *request, http_result_t result,
           http_exchange_t *exchange)
{
  switch (result)
    {
    case HTTP_NOT_SENT:
      return answer_refusal (REASON_NO_BACKEND);
    case HTTP_CUT:
      return answer_refusal (REASON_BACKEND_CUT);
    case HTTP_SILENT:
      return answer_refusal (REASON_BACKEND_SILENT);
    case HTTP_ANSWERED:
      break;
    }
  if (headers_get (&exchange->answer_headers, NOT_RUN_HEADER) != NULL)
    return answer_refusal (REASON_BACKEND_SHED);
  if (!is_own_answer (request, exchange))
    return answer_refusal (REASON_BACKEND_CUT);
  return whole_answer (exchange);
}

answer_t
run_exchange (daemon_t *daemon, request_t *request, endpoint_addr_t backend)
{
  char token[TOKEN_BYTES];
  uint32_t left_ms = request_left_ms (request, daemon_now_us (daemon));

  tokens_add (daemon->tokens, request, token);
  headers_t headers = backend_headers (request, token, left_ms);
  http_exchange_t exchange = {
    .to = backend,
    .method = request->call.method,
    .path = request->call.path,
    .headers = &headers,
    .body = request->body,
    .body_size = request->body_size,
    .timeout_ms = left_ms,
    .answer_max_bytes = daemon->settings.body_bytes_max,
    .once = !request->call.idempotent,
  };
  http_result_t result = http_out_exchange (daemon->out, &exchange);
  answer_t answer = interpret (request, result, &exchange);
  http_exchange_free (&exchange);
  headers_free (&headers);
  tokens_remove (daemon->tokens, token);
  return answer;
}
