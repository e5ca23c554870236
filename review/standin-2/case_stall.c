/* Callers that read nothing for a while, with reads behind a download.  */

#include <stdio.h>
#include <string.h>

#include "pipeline.h"

enum
{
  SIDECARS = 4,
  ENTRY = 0,
  SLOTS = 36,
  MEMORY_MB = 260,
  CALLERS = 4,
  TIMEOUT_MS = 10000,
  RECEIVE_BYTES = 16 * 1024, /* that a caller's machine takes */
  STALL_US = 6500 * US_PER_MS,
  REST_US = 300 * US_PER_MS,
  DOWNLOAD_BYTES = 1000 * 1000,
  DOWNLOAD_WORK_US = 50 * US_PER_MS,
  READ_BYTES = 1500,
  READ_WORK_US = 60 * US_PER_MS,
  CALM_US = 3 * US_PER_S,
  STALLS_US = 12 * US_PER_S,
  AFTER_US = 2 * US_PER_S,
  LOST_MAX = 3 /* "more than three times" */
};

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"file\":{\"host\":\"shop.example\",\"pathPrefix\":\"/file/\","
      "\"kind\":\"download\",\"timeoutS\":10,\"targetLatencyS\":2.5,"
      "\"priority\":1,\"service\":\"vault\",\"attempts\":2,"
      "\"public\":false},"
      "\"look\":{\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","
      "\"kind\":\"safe\",\"timeoutS\":10,\"targetLatencyS\":2.5,"
      "\"priority\":1,\"service\":\"desk\",\"attempts\":2,"
      "\"public\":false}},"
      "\"services\":{\"vault\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316},\"desk\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316},\"front\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

typedef struct world_t
{
  uint32_t lost; /* reads that a server ran and that got no answer */
} world_t;

static fleet_work_t
choose_work (void *ctx, int at, const char *target)
{
  (void)ctx;
  (void)at;
  if (strncmp (target, "/file/", strlen ("/file/")) != 0)
    return (fleet_work_t){ READ_WORK_US, READ_BYTES, 0 };
  return (fleet_work_t){ DOWNLOAD_WORK_US, DOWNLOAD_BYTES, 0 };
}

static void
on_cut (void *ctx, const fleet_request_t *request)
{
  world_t *world = ctx;
  world->lost += request->reply_bytes == 0 && request->runs > 0;
}

static int
judge (fleet_t *fleet, const world_t *world)
{
  bool broken = world->lost > LOST_MAX;
  fleet_note (fleet,
              "LOST %s: %u reads from kept connections ran and got no answer",
              broken ? "is broken" : "held", world->lost);
  printf ("lost=%u requests=%u\n", world->lost, fleet_request_count (fleet));
  return broken ? FLEET_RULE_BROKEN : FLEET_RULE_HELD;
}

int
main (int argc, char **argv)
{
  world_t world = { .lost = 0 };
  fleet_plan_t plan = { .count = SIDECARS,
                        .services = { "front", "vault", "vault", "desk" },
                        .config = config,
                        .slots = SLOTS,
                        .memory_mb = MEMORY_MB,
                        .work = choose_work };
  pipeline_t callers[CALLERS];
  fleet_t *fleet = argc == 2 ? fleet_new (&plan, argv[1]) : NULL;
  if (fleet == NULL)
    return FLEET_NOT_RUN;
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (pipeline_t){ .fleet = fleet,
                                 .at = ENTRY,
                                 .paths = { "/file/1", "/look/1", "/look/1" },
                                 .count = 3,
                                 .timeout_ms = TIMEOUT_MS,
                                 .receive_bytes = RECEIVE_BYTES,
                                 .rest_us = REST_US,
                                 .on_cut = on_cut,
                                 .ctx = &world };
      pipeline_start (&callers[i]);
    }
  fleet_run (fleet, CALM_US);
  for (int i = 0; i < CALLERS; i++)
    callers[i].stall_us = fleet_has_trouble () ? STALL_US : 0;
  fleet_run (fleet, STALLS_US);
  for (int i = 0; i < CALLERS; i++)
    callers[i].stall_us = 0;
  fleet_run (fleet, AFTER_US);
  for (int i = 0; i < CALLERS; i++)
    pipeline_stop (&callers[i]);
  int code = judge (fleet, &world);
  fleet_free (fleet);
  return code;
}
