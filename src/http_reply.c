#include "http_reply.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "once_key.h"

static char *
refusal_body (const request_t *request)
{
  const answer_t *answer = &request->answer;
  outcome_t outcome = reason_outcome (answer->reason);
  json_t *body = json_pack (
      "{s:s, s:s, s:s, s:s}", "outcome", outcome_name (outcome), "reason",
      reason_name (answer->reason), "remedy", reason_remedy (answer->reason),
      "request", request->call.root);

  json_object_set_new (body, "ran",
                       outcome == OUTCOME_REFUSED_NOT_RUN
                           ? json_false ()
                           : json_string ("unknown"));
  if (answer->nearest[0] != '\0')
    json_object_set_new (body, "nearest", json_string (answer->nearest));
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

/* A caller without a trusted clock begins its next Idempotency-Key with the
   stamp.  */
static void
add_stamp (const daemon_t *daemon, struct MHD_Response *response)
{
  char stamp[ONCE_STAMP_BYTES];

  once_stamp_format (clock_wall_ms (daemon->clock), stamp);
  MHD_add_response_header (response, "Redwingford-Stamp", stamp);
}

static struct MHD_Response *
refusal_response (const request_t *request)
{
  char *text = refusal_body (request);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  int status = reason_status (request->answer.reason);

  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Redwingford-Reason",
                           reason_name (request->answer.reason));
  if (status == 503 || status == 429)
    MHD_add_response_header (response, "Retry-After", "1");
  return response;
}

static struct MHD_Response *
whole_response (const request_t *request)
{
  const answer_t *answer = &request->answer;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      answer->body_size, answer->body, MHD_RESPMEM_MUST_COPY);

  for (size_t i = 0; i < answer->headers.count; i++)
    MHD_add_response_header (response, answer->headers.items[i].name,
                             answer->headers.items[i].value);
  return response;
}

static void
add_report (const daemon_t *daemon, request_t *request,
            struct MHD_Response *response)
{
  call_report_t report = request->answer.report;
  char text[CALL_HEADER_BYTES];

  memcpy (report.request, request->call.request, sizeof report.request);
  report.reason = request->answer.reason;
  report.status = request->answer.status;
  report.retries_unused = retry_allowance_close (&request->retries);
  if (request->answer.reason == REASON_NONE)
    report.body_hash
        = call_body_hash (request->answer.body, request->answer.body_size);
  else
    {
      char *body = refusal_body (request);
      report.body_hash = call_body_hash (body, strlen (body));
      free (body);
    }
  if (call_report_seal (&report, &daemon->seal, text))
    MHD_add_response_header (response, REPORT_HEADER, text);
}

struct MHD_Response *
http_reply_new (daemon_t *daemon, request_t *request, bool to_peer)
{
  reason_t reason = request->answer.reason;
  struct MHD_Response *response = reason == REASON_NONE
                                      ? whole_response (request)
                                      : refusal_response (request);

  MHD_add_response_header (response, "Redwingford-Outcome",
                           outcome_name (reason_outcome (reason)));
  MHD_add_response_header (response, "Redwingford-Request",
                           request->call.root);
  if (to_peer)
    add_report (daemon, request, response);
  else if (reason != REASON_NONE)
    add_stamp (daemon, response);
  if (atomic_load (&daemon->draining))
    MHD_add_response_header (response, "Connection", "close");
  return response;
}
