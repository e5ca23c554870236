/* Downloads behind a read whose server turns slow: their answers wait in the
   daemon.  */

#include <stdio.h>
#include <string.h>

#include "pipeline.h"

enum
{
  SIDECARS = 5,
  ENTRY = 0,
  SLOTS = 350,
  MEMORY_MB = 260,
  CALLERS = 32,
  DOWNLOADS = 30, /* behind each read */
  TIMEOUT_MS = 10000,
  READ_BYTES = 1500,
  READ_WORK_US = 330 * US_PER_MS,
  SLOW_FACTOR = 12,
  DOWNLOAD_BYTES = 500 * 1000,
  DOWNLOAD_WORK_US = 700 * US_PER_MS,
  REST_US = 2 * US_PER_S, /* between the reads, and then the pipelines */
  START_GAP_US = 70 * US_PER_MS,
  SLOW_US = 9 * US_PER_S,
  AFTER_US = 2 * US_PER_S,
  LOST_MAX = 3 /* "more than three times" */
};

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"file\":{\"host\":\"shop.example\",\"pathPrefix\":\"/file/\","
      "\"kind\":\"download\",\"timeoutS\":10,\"targetLatencyS\":4,"
      "\"priority\":1,\"service\":\"vault\",\"attempts\":2,"
      "\"public\":false},"
      "\"look\":{\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","
      "\"kind\":\"safe\",\"timeoutS\":10,\"targetLatencyS\":4,"
      "\"priority\":1,\"service\":\"desk\",\"attempts\":2,"
      "\"public\":false}},"
      "\"services\":{\"vault\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":2200},\"desk\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":2200},\"front\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":2200}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

typedef struct world_t
{
  bool slow;
  uint32_t lost; /* requests that a server ran and that got no answer */
} world_t;

static fleet_work_t
choose_work (void *ctx, int at, const char *target)
{
  const world_t *world = ctx;
  (void)at;
  if (strncmp (target, "/file/", strlen ("/file/")) == 0)
    return (fleet_work_t){ DOWNLOAD_WORK_US, DOWNLOAD_BYTES, 0 };
  return (fleet_work_t){ world->slow ? READ_WORK_US * SLOW_FACTOR
                                     : READ_WORK_US,
                         READ_BYTES, 0 };
}

/* The servers of the downloads are sound.  */
static void
on_cut (void *ctx, const fleet_request_t *request)
{
  world_t *world = ctx;
  world->lost += strcmp (request->path, "/file/1") == 0 && request->runs > 0;
}

static int
judge (fleet_t *fleet, const world_t *world)
{
  bool broken = world->lost > LOST_MAX;
  unsigned long long peak_mb
      = (unsigned long long)(fleet_memory_peak (fleet, ENTRY) >> 20);
  fleet_note (fleet,
              "LOST %s: %u downloads from kept connections ran and got no "
              "answer; %u killed for memory, %llu MB at most",
              broken ? "is broken" : "held", world->lost,
              fleet_memory_kills (fleet, ENTRY), peak_mb);
  printf ("lost=%u requests=%u kills=%u peak-mb=%llu\n", world->lost,
          fleet_request_count (fleet), fleet_memory_kills (fleet, ENTRY),
          peak_mb);
  return broken ? FLEET_RULE_BROKEN : FLEET_RULE_HELD;
}

int
main (int argc, char **argv)
{
  static pipeline_t callers[CALLERS];
  world_t world = { .lost = 0 };
  fleet_plan_t plan
      = { .count = SIDECARS,
          .services = { "front", "vault", "vault", "vault", "desk" },
          .config = config,
          .slots = SLOTS,
          .memory_mb = MEMORY_MB,
          .work = choose_work,
          .ctx = &world };
  fleet_t *fleet = argc == 2 ? fleet_new (&plan, argv[1]) : NULL;
  if (fleet == NULL)
    return FLEET_NOT_RUN;
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (pipeline_t){ .fleet = fleet,
                                 .at = ENTRY,
                                 .paths = { "/look/1" },
                                 .count = 1,
                                 .timeout_ms = TIMEOUT_MS,
                                 .rest_us = REST_US,
                                 .on_cut = on_cut,
                                 .ctx = &world };
      pipeline_start (&callers[i]);
      /* The callers don't write all at once.  */
      fleet_run (fleet, START_GAP_US);
    }
  for (int i = 0; i < CALLERS; i++)
    {
      for (int k = 1; k <= DOWNLOADS; k++)
        callers[i].paths[k] = "/file/1";
      callers[i].next_count = 1 + DOWNLOADS;
    }
  world.slow = fleet_has_trouble ();
  fleet_note (fleet, "the server of the reads works %d times as long",
              world.slow ? SLOW_FACTOR : 1);
  fleet_run (fleet, SLOW_US);
  world.slow = false;
  fleet_run (fleet, AFTER_US);
  for (int i = 0; i < CALLERS; i++)
    pipeline_stop (&callers[i]);
  int code = judge (fleet, &world);
  fleet_free (fleet);
  return code;
}
