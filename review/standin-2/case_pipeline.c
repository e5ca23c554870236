/* Callers that send reads behind a download, whose server breaks some of its
   answers off.  */

#include <stdio.h>
#include <string.h>

#include "pipeline.h"
#include "rng.h"

enum
{
  SIDECARS = 4,
  ENTRY = 0,
  FAULTY = 1, /* sidecar beside the server that breaks answers off */
  SLOTS = 36,
  MEMORY_MB = 260,
  CALLERS = 8,
  TIMEOUT_MS = 2500,
  DOWNLOAD_BYTES = 200 * 1000,
  BROKEN_BYTES = 150 * 1000,
  DOWNLOAD_WORK_US = 50 * US_PER_MS,
  READ_BYTES = 1500,
  READ_WORK_US = 60 * US_PER_MS,
  CALM_US = 2 * US_PER_S,
  FAULT_US = 5 * US_PER_S,
  AFTER_US = 2 * US_PER_S,
  LOST_MAX = 3, /* "more than three times" */
  SEED = 51
};

static const double BROKEN_SHARE = 0.02; /* of the faulty server's answers */

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"file\":{\"host\":\"shop.example\",\"pathPrefix\":\"/file/\","
      "\"kind\":\"download\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
      "\"priority\":1,\"service\":\"vault\",\"attempts\":2,"
      "\"public\":false},"
      "\"look\":{\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","
      "\"kind\":\"safe\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
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
  rng_t rng;
  bool faulty;
  uint32_t broken; /* answers that the faulty server broke off */
  uint32_t lost;   /* requests behind them, run by a sound server */
} world_t;

static fleet_work_t
choose_work (void *ctx, int at, const char *target)
{
  world_t *world = ctx;
  if (strncmp (target, "/file/", strlen ("/file/")) != 0)
    return (fleet_work_t){ READ_WORK_US, READ_BYTES, 0 };
  bool breaks_off = at == FAULTY && world->faulty
                    && rng_chance (&world->rng, BROKEN_SHARE);
  world->broken += breaks_off;
  return (fleet_work_t){ DOWNLOAD_WORK_US, DOWNLOAD_BYTES,
                         breaks_off ? BROKEN_BYTES : 0 };
}

/* The server of the reads is sound.  A read that it has run counts.  */
static void
on_cut (void *ctx, const fleet_request_t *request)
{
  world_t *world = ctx;
  world->lost += strcmp (request->path, "/look/1") == 0 && request->runs > 0;
}

static int
judge (fleet_t *fleet, const world_t *world)
{
  bool broken = world->lost > LOST_MAX;
  fleet_note (fleet,
              "LOST %s: %u reads from kept connections ran at a sound server "
              "and got no answer; %u downloads were broken off",
              broken ? "is broken" : "held", world->lost, world->broken);
  printf ("lost=%u broken=%u requests=%u\n", world->lost, world->broken,
          fleet_request_count (fleet));
  return broken ? FLEET_RULE_BROKEN : FLEET_RULE_HELD;
}

int
main (int argc, char **argv)
{
  world_t world = { .rng = rng_seeded (SEED) };
  fleet_plan_t plan = { .count = SIDECARS,
                        .services = { "front", "vault", "vault", "desk" },
                        .config = config,
                        .slots = SLOTS,
                        .memory_mb = MEMORY_MB,
                        .work = choose_work,
                        .ctx = &world };
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
                                 .on_cut = on_cut,
                                 .ctx = &world };
      pipeline_start (&callers[i]);
    }
  fleet_run (fleet, CALM_US);
  world.faulty = fleet_has_trouble ();
  fleet_note (fleet, "server %d breaks off %g of its answers", FAULTY,
              world.faulty ? BROKEN_SHARE : 0);
  fleet_run (fleet, FAULT_US);
  world.faulty = false;
  fleet_note (fleet, "it is sound again");
  fleet_run (fleet, AFTER_US);
  for (int i = 0; i < CALLERS; i++)
    pipeline_stop (&callers[i]);
  int code = judge (fleet, &world);
  fleet_free (fleet);
  rng_seeded_free (&world.rng);
  return code;
}
