/* Uploads to one backend server that turns slow: the sidecar beside it holds
   the bodies of all that run.  */

#include <stdio.h>
#include <string.h>

#include "local_callers.h"

enum
{
  SIDECARS = 6,
  VAULT = 0, /* sidecar beside the server of the uploads */
  SLOTS = 36,
  MEMORY_MB = 260,
  BODY_BYTES = 16 * 1024 * 1024,
  UPLOAD_TIMEOUT_MS = 5000,
  UPLOAD_EVERY_US = 200 * US_PER_MS, /* from all callers together */
  UPLOAD_WORK_US = 400 * US_PER_MS,
  SLOW_FACTOR = 5,
  READ_WORK_US = 200 * US_PER_MS,
  READ_BYTES = 1500,
  CALM_US = 3 * US_PER_S,
  SLOW_US = 6500 * US_PER_MS,
  AFTER_US = 4 * US_PER_S,
  LOST_MAX = 3 /* "more than three times" */
};

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"lodge\":{\"host\":\"shop.example\",\"pathPrefix\":\"/lodge/\","
      "\"kind\":\"upload\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
      "\"priority\":1,\"service\":\"vault\",\"attempts\":2,"
      "\"public\":false},"
      "\"look\":{\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","
      "\"kind\":\"safe\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
      "\"priority\":1,\"service\":\"desk\",\"attempts\":2,"
      "\"public\":false}},"
      "\"services\":{\"vault\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316},\"desk\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

typedef struct uploads_t
{
  fleet_t *fleet;
  ev_timer timer;
  uint32_t sent;
  bool slow; /* the server of the uploads is */
} uploads_t;

static fleet_work_t
choose_work (void *ctx, int at, const char *target)
{
  const uploads_t *uploads = ctx;
  (void)at;
  if (strncmp (target, "/lodge/", strlen ("/lodge/")) == 0)
    return (fleet_work_t){ uploads->slow ? UPLOAD_WORK_US * SLOW_FACTOR
                                         : UPLOAD_WORK_US,
                           READ_BYTES, 0 };
  return (fleet_work_t){ READ_WORK_US, READ_BYTES, 0 };
}

static void
on_upload_due (struct ev_loop *ev, ev_timer *timer, int events)
{
  uploads_t *uploads = timer->data;
  (void)ev;
  (void)events;
  fleet_send (uploads->fleet, 1 + (int)(uploads->sent++ % (SIDECARS - 1)),
              "POST", "/lodge/1", BODY_BYTES, UPLOAD_TIMEOUT_MS, NULL, NULL);
  loop_start_timer (fleet_loop (uploads->fleet), timer, UPLOAD_EVERY_US);
}

static int
judge (fleet_t *fleet, const local_callers_t *callers)
{
  bool broken = callers->lost > LOST_MAX;
  fleet_note (fleet,
              "LOST %s: %u requests from kept connections ran and got no "
              "answer; %u killed for memory, %llu MB at most",
              broken ? "is broken" : "held", callers->lost,
              fleet_memory_kills (fleet, VAULT),
              (unsigned long long)(fleet_memory_peak (fleet, VAULT) >> 20));
  printf ("lost=%u answered=%u kills=%u peak-mb=%llu\n", callers->lost,
          callers->answered, fleet_memory_kills (fleet, VAULT),
          (unsigned long long)(fleet_memory_peak (fleet, VAULT) >> 20));
  return broken ? FLEET_RULE_BROKEN : FLEET_RULE_HELD;
}

int
main (int argc, char **argv)
{
  uploads_t uploads = { .sent = 0 };
  fleet_plan_t plan
      = { .count = SIDECARS,
          .services = { "vault", "desk", "desk", "desk", "desk", "desk" },
          .config = config,
          .slots = SLOTS,
          .memory_mb = MEMORY_MB,
          .work = choose_work,
          .ctx = &uploads };
  fleet_t *fleet = argc == 2 ? fleet_new (&plan, argv[1]) : NULL;
  if (fleet == NULL)
    return FLEET_NOT_RUN;
  local_callers_t callers
      = { .fleet = fleet, .at = VAULT, .path = "/look/1", .count = 8 };
  uploads.fleet = fleet;
  ev_timer_init (&uploads.timer, on_upload_due, 0, 0);
  uploads.timer.data = &uploads;
  local_callers_start (&callers);
  loop_start_timer (fleet_loop (fleet), &uploads.timer, UPLOAD_EVERY_US);
  fleet_run (fleet, CALM_US);
  uploads.slow = fleet_has_trouble ();
  fleet_note (fleet, "the server of the uploads works %d times as long",
              uploads.slow ? SLOW_FACTOR : 1);
  fleet_run (fleet, SLOW_US);
  uploads.slow = false;
  fleet_note (fleet, "it works as before");
  fleet_run (fleet, AFTER_US);
  callers.stopped = true;
  ev_timer_stop (fleet_loop (fleet)->ev, &uploads.timer);
  int code = judge (fleet, &callers);
  fleet_free (fleet);
  return code;
}
