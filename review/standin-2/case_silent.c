/* The open connections to the store go silent; later the operator takes an
   API key away.  */

#include <stdio.h>

#include "fleet.h"

enum
{
  SIDECARS = 4,
  SLOTS = 36,
  MEMORY_MB = 260,
  TIMEOUT_MS = 2500,
  WORK_US = 20 * US_PER_MS,
  REPLY_BYTES = 1500,
  READ_EVERY_US = 50 * US_PER_MS, /* from all callers together */
  CALM_US = 3 * US_PER_S,
  /* stabilityS is 3: after it, the machines are in touch again.  */
  SETTLE_US = 4 * US_PER_S,
  APPLY_US = 2 * US_PER_S, /* configApplyS */
  WATCH_US = 32 * US_PER_S
};

#define CONFIG(version, keys)                                                 \
  "{\"version\":" version ",\"routes\":{"                                     \
  "\"look\":{\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","            \
  "\"kind\":\"safe\",\"timeoutS\":5,\"targetLatencyS\":1.2,"                  \
  "\"priority\":1,\"service\":\"desk\",\"attempts\":2,"                       \
  "\"public\":false}},"                                                       \
  "\"services\":{\"desk\":{\"healthCheckPath\":\"/health\","                  \
  "\"maxConnections\":316}},"                                                 \
  "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"           \
  "\"headerTimeoutS\":3,\"idleTimeoutS\":15},"                                \
  "\"tenants\":{\"pulo780\":{\"apiKeys\":[" keys "],\"priority\":1}}}"

typedef struct reads_t
{
  fleet_t *fleet;
  ev_timer timer;
  uint32_t sent;
} reads_t;

static fleet_work_t
choose_work (void *ctx, int at, const char *target)
{
  (void)ctx;
  (void)at;
  (void)target;
  return (fleet_work_t){ WORK_US, REPLY_BYTES, 0 };
}

static void
on_read_due (struct ev_loop *ev, ev_timer *timer, int events)
{
  reads_t *reads = timer->data;
  (void)ev;
  (void)events;
  fleet_send (reads->fleet, (int)(reads->sent++ % SIDECARS), "GET", "/look/1",
              0, TIMEOUT_MS, NULL, NULL);
  loop_start_timer (fleet_loop (reads->fleet), timer, READ_EVERY_US);
}

/* Counts the requests that were sent with the key later than APPLY_US after
   the store took the new configuration at TAKEN_US, and ran.  */
static int
judge (fleet_t *fleet, int64_t taken_us)
{
  uint32_t late = 0;
  uint32_t ran = 0;
  int64_t last_us = 0;
  for (uint32_t i = 0; i < fleet_request_count (fleet); i++)
    {
      const fleet_request_t *request = fleet_request (fleet, i);
      if (request->sent_us <= taken_us + APPLY_US)
        continue;
      late++;
      ran += request->runs > 0;
      if (request->runs > 0)
        last_us = request->sent_us - taken_us;
    }
  fleet_note (fleet,
              "CONFIG %s: %u of %u requests ran with the key, the last one "
              "sent %.1f s after it was taken away",
              ran > 0 ? "is broken" : "held", ran, late,
              (double)last_us / US_PER_S);
  printf ("ran=%u of=%u last-s=%.1f\n", ran, late, (double)last_us / US_PER_S);
  return ran > 0 ? FLEET_RULE_BROKEN : FLEET_RULE_HELD;
}

int
main (int argc, char **argv)
{
  reads_t reads = { .sent = 0 };
  fleet_plan_t plan = { .count = SIDECARS,
                        .services = { "desk", "desk", "desk", "desk" },
                        .config = CONFIG ("7", "\"first-key\",\"second-key\""),
                        .slots = SLOTS,
                        .memory_mb = MEMORY_MB,
                        .key = "second-key",
                        .work = choose_work };
  fleet_t *fleet = argc == 2 ? fleet_new (&plan, argv[1]) : NULL;
  if (fleet == NULL)
    return FLEET_NOT_RUN;
  reads.fleet = fleet;
  ev_timer_init (&reads.timer, on_read_due, 0, 0);
  reads.timer.data = &reads;
  loop_start_timer (fleet_loop (fleet), &reads.timer, READ_EVERY_US);
  fleet_run (fleet, CALM_US);
  if (fleet_has_trouble ())
    fleet_silence_store_connections (fleet);
  fleet_run (fleet, SETTLE_US);
  fake_store_put (fleet_store (fleet), "keyed.op", "config",
                  CONFIG ("8", "\"first-key\""));
  fleet_note (fleet, "the store takes version 8, without second-key");
  int64_t taken_us = clock_now_us (fleet_loop (fleet)->clock);
  fleet_run (fleet, WATCH_US);
  ev_timer_stop (fleet_loop (fleet)->ev, &reads.timer);
  int code = judge (fleet, taken_us);
  fleet_free (fleet);
  return code;
}
