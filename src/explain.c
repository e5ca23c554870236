#include "explain.h"

#include <stdio.h>
#include <string.h>

/* The object that a reason speaks of.  */
typedef enum object_t
{
  OBJECT_NONE,
  OBJECT_ACCOUNT,
  OBJECT_ROUTE,
  OBJECT_SERVICE,
  OBJECT_SERVER,
  OBJECT_KEY,
  OBJECT_REQUEST
} object_t;

static const object_t objects[REASON_COUNT] = {
  [REASON_BAD_REQUEST] = OBJECT_REQUEST,
  [REASON_HEADER_CONFLICT] = OBJECT_REQUEST,
  [REASON_BODY_TOO_LARGE] = OBJECT_REQUEST,
  [REASON_BODY_UNFINISHED] = OBJECT_REQUEST,
  [REASON_ROUTE_UNKNOWN] = OBJECT_REQUEST,
  [REASON_KEY_MISSING] = OBJECT_KEY,
  [REASON_KEY_UNKNOWN] = OBJECT_KEY,
  [REASON_KEY_WITHDRAWN] = OBJECT_KEY,
  [REASON_RATE_EXCEEDED] = OBJECT_ACCOUNT,
  [REASON_SHARE_PENDING] = OBJECT_ACCOUNT,
  [REASON_ACCOUNT_SHARE] = OBJECT_ACCOUNT,
  [REASON_DEADLINE_TOO_SHORT] = OBJECT_ROUTE,
  [REASON_DEADLINE_IN_QUEUE] = OBJECT_SERVICE,
  [REASON_QUEUE_FULL] = OBJECT_SERVICE,
  [REASON_QUEUE_SOJOURN] = OBJECT_SERVICE,
  [REASON_ADMISSION_LEVEL] = OBJECT_SERVICE,
  [REASON_NO_BACKEND] = OBJECT_SERVICE,
  [REASON_BACKEND_SHED] = OBJECT_SERVER,
  [REASON_BACKEND_CUT] = OBJECT_SERVER,
  [REASON_BACKEND_SILENT] = OBJECT_SERVER,
  [REASON_KEY_NEEDED] = OBJECT_ROUTE,
  [REASON_DEADLINE_PASSED] = OBJECT_ROUTE,
};

static void
name_object (const request_t *request, char *text, size_t size)
{
  const call_t *call = &request->call;
  switch (objects[request->answer.reason])
    {
    case OBJECT_NONE:
      break;
    case OBJECT_ACCOUNT:
      snprintf (text, size, "client account %s", call->account);
      break;
    case OBJECT_ROUTE:
      snprintf (text, size, "route %s", call->route);
      break;
    case OBJECT_SERVICE:
      snprintf (text, size, "service %s", call->service);
      break;
    case OBJECT_SERVER:
      snprintf (text, size, "a backend server of %s", call->service);
      break;
    case OBJECT_KEY:
      snprintf (text, size, "the caller's key");
      break;
    case OBJECT_REQUEST:
      snprintf (text, size, "the request itself");
      break;
    }
}

static void
copy_text (char *to, size_t size, const char *from)
{
  snprintf (to, size, "%s", from);
}

void
explain_end (daemon_t *daemon, const request_t *request)
{
  const call_t *call = &request->call;
  const answer_t *answer = &request->answer;
  recent_decision_t decision = {
    .at_ms = clock_wall_ms (daemon->clock),
    .took_ms
    = (uint32_t)((request->ended_us - request->arrived_us) / US_PER_MS),
    .vm = request->from_peer ? daemon->vm : 0,
    .reason = answer->reason,
    .status = answer->status,
  };

  copy_text (decision.request, sizeof decision.request, call->request);
  copy_text (decision.root, sizeof decision.root, call->root);
  copy_text (decision.account, sizeof decision.account, call->account);
  copy_text (decision.route, sizeof decision.route, call->route);
  name_object (request, decision.object, sizeof decision.object);
  recent_add (daemon->recent, &decision);
  if (answer->reason == REASON_ROUTE_UNKNOWN)
    misspelled_add (daemon->misspelled, call->path, answer->nearest);
}
