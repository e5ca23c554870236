/* A burst of requests that must run at most once: the sidecar beside the
   server keeps each answer for at least ten seconds.  */

#include <stdio.h>
#include <string.h>

#include "local_callers.h"

enum
{
  SIDECARS = 6,
  VAULT = 0, /* sidecar beside the server of the bookings */
  SLOTS = 36,
  MEMORY_MB = 260,
  BODY_BYTES = 300,
  REPLY_BYTES = 60000,
  BOOKING_TIMEOUT_MS = 5000,
  BOOKINGS_PER_S = 250, /* from all callers together */
  BURST_PERCENT = 170,
  BOOKING_WORK_US = 20 * US_PER_MS,
  READ_WORK_US = 200 * US_PER_MS,
  READ_BYTES = 1500,
  TICK_US = 10 * US_PER_MS,
  CALM_US = 3 * US_PER_S,
  BURST_US = 20 * US_PER_S,
  AFTER_US = 2 * US_PER_S,
  PERCENT = 100,
  LOST_MAX = 3 /* "more than three times" */
};

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"book\":{\"host\":\"shop.example\",\"pathPrefix\":\"/book/\","
      "\"kind\":\"unsafe\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
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

typedef struct bookings_t
{
  fleet_t *fleet;
  ev_timer timer;
  int64_t last_us;
  double owed;
  uint32_t per_s;
  uint32_t sent;
} bookings_t;

static fleet_work_t
choose_work (void *ctx, int at, const char *target)
{
  (void)ctx;
  (void)at;
  if (strncmp (target, "/book/", strlen ("/book/")) == 0)
    return (fleet_work_t){ BOOKING_WORK_US, REPLY_BYTES, 0 };
  return (fleet_work_t){ READ_WORK_US, READ_BYTES, 0 };
}

static void
on_tick (struct ev_loop *ev, ev_timer *timer, int events)
{
  bookings_t *bookings = timer->data;
  loop_t *loop = fleet_loop (bookings->fleet);
  (void)ev;
  (void)events;
  bookings->owed += (double)bookings->per_s
                    * (double)(loop->now_us - bookings->last_us) / US_PER_S;
  bookings->last_us = loop->now_us;
  for (; bookings->owed >= 1; bookings->owed--)
    fleet_send (bookings->fleet, 1 + (int)(bookings->sent++ % (SIDECARS - 1)),
                "POST", "/book/1", BODY_BYTES, BOOKING_TIMEOUT_MS, NULL, NULL);
  loop_start_timer (loop, timer, TICK_US);
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
  bookings_t bookings = { .per_s = BOOKINGS_PER_S };
  fleet_plan_t plan
      = { .count = SIDECARS,
          .services = { "vault", "desk", "desk", "desk", "desk", "desk" },
          .config = config,
          .slots = SLOTS,
          .memory_mb = MEMORY_MB,
          .work = choose_work,
          .ctx = &bookings };
  fleet_t *fleet = argc == 2 ? fleet_new (&plan, argv[1]) : NULL;
  if (fleet == NULL)
    return FLEET_NOT_RUN;
  local_callers_t callers
      = { .fleet = fleet, .at = VAULT, .path = "/look/1", .count = 8 };
  bookings.fleet = fleet;
  bookings.last_us = fleet_loop (fleet)->now_us;
  ev_timer_init (&bookings.timer, on_tick, 0, 0);
  bookings.timer.data = &bookings;
  local_callers_start (&callers);
  loop_start_timer (fleet_loop (fleet), &bookings.timer, TICK_US);
  fleet_run (fleet, CALM_US);
  if (fleet_has_trouble ())
    bookings.per_s = BOOKINGS_PER_S * BURST_PERCENT / PERCENT;
  fleet_note (fleet, "callers send %u bookings a second", bookings.per_s);
  fleet_run (fleet, BURST_US);
  bookings.per_s = BOOKINGS_PER_S;
  fleet_note (fleet, "callers send %u bookings a second", bookings.per_s);
  fleet_run (fleet, AFTER_US);
  callers.stopped = true;
  ev_timer_stop (fleet_loop (fleet)->ev, &bookings.timer);
  int code = judge (fleet, &callers);
  fleet_free (fleet);
  return code;
}
