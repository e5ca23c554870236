/* A backend server ends, and its address goes to a server of another service,
   which announces itself as such.  */

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../standin/standin.h"

enum
{
  REUSE_AFTER_MS = 2000, /* bound reuseAfterS */
  REQUESTS_BEFORE = 20,
  REQUESTS_AFTER = 100
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

static si_machine_t machines[3];

static int
send_requests (int number)
{
  int answered = 0;
  for (int i = 0; i < number; i++)
    {
      int fd = -1;
      si_result_t result;
      si_request_t request = {
        "POST", "shop.example", "/pay/1", "key1", "amount=1", 8, 3000
      };
      si_call (&machines[2], &fd, &request, &result);
      si_note ("POST /pay/1 %s to %s: status %d, signature %s", result.attempt,
               machines[2].name, result.status,
               result.instance[0] != '\0' ? result.instance : "none");
      answered += result.status == 200;
      if (fd >= 0)
        close (fd);
      si_sleep_ms (50);
    }
  return answered;
}

int
main (int count, char **arguments)
{
  static si_upstream_t *upstreams[3];
  static const char *const services[] = { "payments", "payments", "catalogue" };
  static const char *const zones[] = { "rennes", "brest", "vannes" };
  (void)count;
  si_start (arguments[1]);
  si_store_start ();
  si_store_put ("keyed.op", "config", config);
  for (int i = 0; i < 3; i++)
    {
      char id[32];
      si_machine_init (&machines[i], i + 1, services[i], zones[i]);
      si_daemon_start (&machines[i]);
      snprintf (id, sizeof id, "i-%s%d", services[i], i + 1);
      upstreams[i] = si_upstream_start (&machines[i], services[i], id);
    }
  for (int i = 0; i < 3; i++)
    if (!si_daemon_wait_ready (&machines[i], 10000))
      si_cannot ("a daemon is not ready");
  si_sleep_ms (4000);
  if (send_requests (REQUESTS_BEFORE) == 0)
    si_cannot ("nothing is served before the disruption");

  si_upstream_crash (upstreams[0]);
  si_sleep_ms (REUSE_AFTER_MS + 1000);
  const char *service = si_trouble () ? "catalogue" : "payments";
  si_upstream_t *next
      = si_upstream_start (&machines[0], service,
                           si_trouble () ? "i-catalogue9" : "i-payments9");
  si_sleep_ms (4000);
  int answered = send_requests (REQUESTS_AFTER);
  int wrong = 0;
  for (int i = 0; i < si_run_count; i++)
    {
      const si_run_t *run = &si_runs[i];
      bool allowed = strncmp (run->target, "/pay/", 5) != 0
                     || strcmp (run->upstream->service, "payments") == 0;
      wrong += !allowed;
      si_note ("run %s %s at %.3f by %s of service %s%s", run->attempt,
               run->target, (double)run->at_ms / 1000, run->upstream->id,
               run->upstream->service, allowed ? "" : " WRONG SERVICE");
    }
  si_note ("%d of %d answered; %s ran %d; runs by a service that no "
           "configuration allows: %d",
           answered, REQUESTS_AFTER, next->id, next->run_total, wrong);
  si_finish (wrong > 0 ? 1 : 0);
}
