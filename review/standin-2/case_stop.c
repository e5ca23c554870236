/* Daemons are stopped and started in turn, while the server beside each goes
   on and calls another service.  */

#include <stdio.h>

#include "fleet.h"
#include "rng.h"

enum
{
  SIDECARS = 6,
  CALLING = 4, /* sidecars 0 to 3 are beside servers that make calls */
  SLOTS = 100,
  MEMORY_MB = 260,
  TIMEOUT_MS = 2500,
  CALL_EVERY_US = 10 * US_PER_MS, /* of each calling server */
  WORK_US = 40 * US_PER_MS,
  LONG_WORK_US = 1200 * US_PER_MS,
  REPLY_BYTES = 1500,
  CALM_US = 4 * US_PER_S,
  GAP_US = 8 * US_PER_S, /* between two stops */
  /* Requests sent up to then are excused if the server is at work in the last
     sixth of graceS.  */
  EXCUSED_US = 3 * US_PER_S,
  GRACE_US = 6 * US_PER_S, /* graceS */
  SEED = 51
};

static const double LONG_SHARE = 0.05; /* of the calls */

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"grid\":{\"host\":\"shop.example\",\"pathPrefix\":\"/grid/\","
      "\"kind\":\"safe\",\"timeoutS\":2.5,\"targetLatencyS\":0.8,"
      "\"priority\":1,\"service\":\"desk\",\"attempts\":2,"
      "\"public\":true}},"
      "\"services\":{\"front\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316},\"desk\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
      "\"tenants\":{\"pulo780\":{\"apiKeys\":[\"first-key\"],"
      "\"priority\":1}}}";

typedef struct calls_t
{
  fleet_t *fleet;
  rng_t rng;
  ev_timer timer;
  int64_t stopped_us[CALLING]; /* 0 is not */
} calls_t;

static fleet_work_t
choose_work (void *ctx, int at, const char *target)
{
  const calls_t *calls = ctx;
  (void)at;
  (void)target;
  return (fleet_work_t){ rng_chance (&calls->rng, LONG_SHARE) ? LONG_WORK_US
                                                              : WORK_US,
                         REPLY_BYTES, 0 };
}

static void
on_call_due (struct ev_loop *ev, ev_timer *timer, int events)
{
  calls_t *calls = timer->data;
  (void)ev;
  (void)events;
  for (int at = 0; at < CALLING; at++)
    fleet_send (calls->fleet, at, "GET", "/grid/1", 0, TIMEOUT_MS, NULL, NULL);
  loop_start_timer (fleet_loop (calls->fleet), timer, CALL_EVERY_US);
}

/* Whether the daemon read the call after its SIGTERM, passed it on, broke it
   off while the server was at work on it, and ended it with an answer of its
   own or none, inside its deadline and before graceS were over.  */
static bool
is_lost (const calls_t *calls, const fleet_request_t *request)
{
  int64_t stopped_us = calls->stopped_us[request->at];
  bool is_own_answer
      = request->end == FLEET_ANSWERED && !request->has_signature;
  bool is_cut = request->end == FLEET_CUT || request->end == FLEET_CUT_KEPT;
  return stopped_us > 0 && request->sent_us > stopped_us + EXCUSED_US
         && request->sent_us < stopped_us + GRACE_US && request->broken_off
         && (is_own_answer || is_cut);
}

static int
judge (fleet_t *fleet, const calls_t *calls)
{
  uint32_t lost = 0;
  for (uint32_t i = 0; i < fleet_request_count (fleet); i++)
    {
      const fleet_request_t *request = fleet_request (fleet, i);
      if (!is_lost (calls, request))
        continue;
      lost++;
      fleet_note (fleet,
                  "a%u: sent %.3f s after the SIGTERM, run %.3f s after it, "
                  "broken off",
                  i,
                  (double)(request->sent_us - calls->stopped_us[request->at])
                      / US_PER_S,
                  (double)(request->run_us - calls->stopped_us[request->at])
                      / US_PER_S);
    }
  fleet_note (fleet, "LOST %s: %u calls were broken off in a stop",
              lost > 0 ? "is broken" : "held", lost);
  printf ("lost=%u requests=%u\n", lost, fleet_request_count (fleet));
  return lost > 0 ? FLEET_RULE_BROKEN : FLEET_RULE_HELD;
}

int
main (int argc, char **argv)
{
  calls_t calls = { .rng = rng_seeded (SEED) };
  fleet_plan_t plan
      = { .count = SIDECARS,
          .services = { "front", "front", "front", "front", "desk", "desk" },
          .config = config,
          .slots = SLOTS,
          .memory_mb = MEMORY_MB,
          .work = choose_work,
          .ctx = &calls };
  fleet_t *fleet = argc == 2 ? fleet_new (&plan, argv[1]) : NULL;
  if (fleet == NULL)
    return FLEET_NOT_RUN;
  calls.fleet = fleet;
  ev_timer_init (&calls.timer, on_call_due, 0, 0);
  calls.timer.data = &calls;
  loop_start_timer (fleet_loop (fleet), &calls.timer, CALL_EVERY_US);
  fleet_run (fleet, CALM_US);
  for (int at = 0; at < CALLING; at++)
    {
      if (fleet_has_trouble ())
        {
          calls.stopped_us[at] = clock_now_us (fleet_loop (fleet)->clock);
          fleet_terminate (fleet, at);
        }
      fleet_run (fleet, GAP_US);
    }
  ev_timer_stop (fleet_loop (fleet)->ev, &calls.timer);
  int code = judge (fleet, &calls);
  fleet_free (fleet);
  rng_seeded_free (&calls.rng);
  return code;
}
