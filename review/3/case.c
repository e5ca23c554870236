/* A request crashes each server that begins to run it, and comes again.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standin/standin.h"

enum
{
  SERVERS = 3,
  DOWN_MS = 4000,     /* a crashed server is back after this time */
  AGAIN_MS = 6000,    /* between two arrivals of the request */
  ARRIVALS = 10,
  STABILITY_MS = 3000 /* bound stabilityS */
};

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"r-pay\":{\"host\":\"shop.example\",\"pathPrefix\":\"/pay/\","
      "\"kind\":\"unsafe\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
      "\"priority\":0,\"service\":\"payments\",\"attempts\":2,"
      "\"public\":false},"
      "\"r-look\":{\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","
      "\"kind\":\"safe\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
      "\"priority\":1,\"service\":\"catalogue\",\"attempts\":2,"
      "\"public\":false}},"
      "\"services\":{\"payments\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":316,\"protocol\":\"h1\",\"tls\":false,"
      "\"coldStartS\":3.0,\"coldPerS\":50.0},"
      "\"catalogue\":{\"healthCheckPath\":\"/health\",\"maxConnections\":316,"
      "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
      "\"coldPerS\":50.0}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
      "\"tenants\":{\"buyer\":{\"apiKeys\":[\"key1\"],\"priority\":1,"
      "\"ratePerS\":0,\"burst\":0}},\"baseVersion\":5}";

static si_machine_t machines[SERVERS + 1];
static volatile int crashes;
static volatile int64_t third_crash_ms;

static void *
come_back (void *argument)
{
  si_upstream_t *upstream = argument;
  char id[32];
  si_sleep_ms (DOWN_MS);
  snprintf (id, sizeof id, "%.20s.%d", upstream->machine->name, crashes);
  si_upstream_start (upstream->machine, upstream->service, id);
  return NULL;
}

static void
crash_if_fatal (si_upstream_t *upstream, const char *target)
{
  if (strcmp (target, "/pay/fatal") != 0 || !si_trouble ())
    return;
  crashes++;
  if (crashes == 3)
    third_crash_ms = si_now_ms ();
  si_upstream_crash (upstream);
  si_thread (come_back, upstream);
}

int
main (int count, char **arguments)
{
  static const char *const zones[] = { "rennes", "brest", "vannes", "rennes" };
  (void)count;
  si_start (arguments[1]);
  si_store_start ();
  si_on_run = crash_if_fatal;
  si_store_put ("keyed.op", "config", config);
  for (int i = 0; i <= SERVERS; i++)
    {
      char id[32];
      const char *service = i < SERVERS ? "payments" : "catalogue";
      si_machine_init (&machines[i], i + 1, service, zones[i]);
      si_daemon_start (&machines[i]);
      snprintf (id, sizeof id, "i-%s%d", service, i + 1);
      si_upstream_start (&machines[i], service, id);
    }
  for (int i = 0; i <= SERVERS; i++)
    if (!si_daemon_wait_ready (&machines[i], 10000))
      si_cannot ("a daemon is not ready");
  si_sleep_ms (4000);
  int64_t begin_ms = si_now_ms ();
  for (int i = 0; i < ARRIVALS; i++)
    {
      int fd = -1;
      si_result_t result;
      si_request_t request = {
        "POST", "shop.example", "/pay/fatal", "key1", "amount=1", 8, 3000
      };
      si_machine_t *machine = &machines[i % (SERVERS + 1)];
      si_sleep_until (begin_ms + i * AGAIN_MS);
      si_call (machine, &fd, &request, &result);
      si_note ("arrival %d: POST /pay/fatal %s to %s: status %d, runs %d, "
               "crashes so far %d",
               i + 1, result.attempt, machine->name, result.status,
               si_count_runs (result.attempt), crashes);
      if (fd >= 0)
        close (fd);
    }
  int later = 0;
  for (int i = 0; i < si_run_count; i++)
    later += strcmp (si_runs[i].target, "/pay/fatal") == 0
             && third_crash_ms > 0
             && si_runs[i].at_ms > third_crash_ms + STABILITY_MS;
  si_note ("crashes: %d; runs later than %d ms after the third: %d (BUDGET "
           "allows 3)",
           crashes, STABILITY_MS, later);
  si_finish (later > 3 ? 1 : 0);
}
