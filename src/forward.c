#include "forward.h"

#include <string.h>

static bool
add_call_header (daemon_t *daemon, const request_t *request,
                 const forward_options_t *options, headers_t *headers)
{
  char text[CALL_HEADER_BYTES];
  call_t call = request->call;

  call.from = daemon->vm;
  call.retries = options->retries;
  call.serial = options->serial;
  call.query = options->query;
  call.deadline_ms = request_left_ms (request, daemon_now_us (daemon));
  return call_seal (&call, &daemon->seal, text)
         && headers_add (headers, CALL_HEADER, text);
}

/* The report must be sealed by a daemon, name this request and fit the body;
   otherwise it is some other answer.  */
static bool
report_fits (daemon_t *daemon, const request_t *request,
             const http_exchange_t *exchange, call_report_t *report)
{
  const char *text = headers_get (&exchange->answer_headers, REPORT_HEADER);

  return text != NULL && call_report_open (text, &daemon->seal, report)
         && strcmp (report->request, request->call.request) == 0
         && report->body_hash
                == call_body_hash (exchange->answer, exchange->answer_size);
}

static answer_t
read_answer (daemon_t *daemon, const request_t *request,
             http_exchange_t *exchange)
{
  call_report_t report;

  if (!report_fits (daemon, request, exchange, &report))
    return answer_refusal (REASON_HOME_LOST);
  answer_t answer = answer_refusal (report.reason);
  answer.report = report;
  answer.has_report = true;
  if (report.reason != REASON_NONE)
    return answer;
  answer.status = report.status;
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
interpret (daemon_t *daemon, const request_t *request, http_result_t result,
           http_exchange_t *exchange)
{
  if (result == HTTP_NOT_SENT)
    return answer_refusal (REASON_PEER_UNREACHABLE);
  if (result == HTTP_ANSWERED)
    return read_answer (daemon, request, exchange);
  return answer_refusal (REASON_HOME_LOST);
}

answer_t
forward_exchange (daemon_t *daemon, request_t *request,
                  const forward_options_t *options)
{
  headers_t headers = { .count = 0 };

  for (size_t i = 0; i < request->headers.count; i++)
    headers_add (&headers, request->headers.items[i].name,
                 request->headers.items[i].value);
  if (!add_call_header (daemon, request, options, &headers))
    {
      headers_free (&headers);
      return answer_refusal (REASON_BAD_REQUEST);
    }
  http_exchange_t exchange = {
    .to = options->peer,
    .method = request->call.method,
    .path = request->call.path,
    .headers = &headers,
    .body = request->body,
    .body_size = request->body_size,
    .timeout_ms = request_left_ms (request, daemon_now_us (daemon)),
    .answer_max_bytes = daemon->settings.body_bytes_max,
    .once = !request->call.idempotent,
  };
  http_result_t result = http_out_exchange (daemon->out, &exchange);
  answer_t answer = interpret (daemon, request, result, &exchange);
  http_exchange_free (&exchange);
  headers_free (&headers);
  return answer;
}
