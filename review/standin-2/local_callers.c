#include "local_callers.h"

enum
{
  READ_TIMEOUT_MS = 5000
};

static void send_next (local_callers_t *callers);

static void
on_end (void *ctx, const fleet_request_t *request)
{
  local_callers_t *callers = ctx;
  callers->answered
      += request->end == FLEET_ANSWERED && request->status == 200;
  callers->lost += request->end == FLEET_CUT_KEPT && request->runs > 0;
  /* A caller whose connection failed leaves; the load is to stay small while
     the process is restarted.  */
  if (!callers->stopped && request->end == FLEET_ANSWERED)
    send_next (callers);
}

static void
send_next (local_callers_t *callers)
{
  fleet_send (callers->fleet, callers->at, "GET", callers->path, 0,
              READ_TIMEOUT_MS, on_end, callers);
}

void
local_callers_start (local_callers_t *callers)
{
  for (uint32_t i = 0; i < callers->count; i++)
    send_next (callers);
}
