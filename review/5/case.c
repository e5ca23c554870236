/* A server says that it leaves, with DELETE, and its daemon is killed.  Late
   heartbeats from before the DELETE reach the daemon's next process.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standin/standin.h"

enum
{
  DRAIN_MS = 2000,  /* bound drainS */
  STABILITY_MS = 3000, /* bound stabilityS: later the daemon is in touch */
  SERVES_MS = 9000, /* after the acknowledgement */
  LATE_MS = 3500,
  CLIENTS = 8
};

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"r-book\":{\"host\":\"shop.example\",\"pathPrefix\":\"/book/\","
      "\"kind\":\"unsafe\",\"timeoutS\":5,\"targetLatencyS\":1.2,"
      "\"priority\":0,\"service\":\"dispatch\",\"attempts\":2,"
      "\"public\":false}},"
      "\"services\":{\"dispatch\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":2200,\"protocol\":\"h1\",\"tls\":false,"
      "\"coldStartS\":3.0,\"coldPerS\":50.0},"
      "\"planning\":{\"healthCheckPath\":\"/health\",\"maxConnections\":1672,"
      "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
      "\"coldPerS\":50.0}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
      "\"tenants\":{\"buyer\":{\"apiKeys\":[\"key1\"],\"priority\":1,"
      "\"ratePerS\":0,\"burst\":0}},\"baseVersion\":5}";

static si_machine_t machines[3];
static volatile bool sending = true;
static volatile int statuses[600];
static volatile int lost_runs;

static void *
send_requests (void *argument)
{
  int number = (int)(intptr_t)argument;
  int fd = -1;
  si_sleep_ms (number * 20);
  while (sending)
    {
      si_result_t result;
      si_request_t request = {
        "POST", "shop.example", "/book/1", "key1", "truck=1", 7, 5000
      };
      si_call (&machines[2], &fd, &request, &result);
      __sync_fetch_and_add (&statuses[result.status < 600 ? result.status : 0],
                            1);
      int runs = si_count_runs (result.attempt);
      if (result.status != 200)
        {
          lost_runs += runs > 0;
          si_note ("POST %s: status %d, runs %d", result.attempt,
                   result.status, runs);
        }
      si_sleep_ms (60);
    }
  return NULL;
}

int
main (int count, char **arguments)
{
  static si_upstream_t *upstreams[3];
  static const char *const services[] = { "dispatch", "dispatch", "planning" };
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
      upstreams[i]->work_ms = 78;
    }
  for (int i = 0; i < 3; i++)
    if (!si_daemon_wait_ready (&machines[i], 10000))
      si_cannot ("a daemon is not ready");
  si_sleep_ms (4000);
  for (int i = 0; i < CLIENTS; i++)
    si_thread (send_requests, (void *)(intptr_t)i);
  si_upstream_t *leaving = upstreams[0];
  if (si_trouble ())
    leaving->beat_delay_ms = LATE_MS;
  si_sleep_ms (6000);
  if (leaving->run_total == 0)
    si_cannot ("nothing is served before");
  /* Between two heartbeats.  */
  int sequence = leaving->sequence;
  while (leaving->sequence == sequence)
    si_sleep_ms (1);
  si_sleep_ms (300);
  if (!si_upstream_delete (leaving))
    si_cannot ("the DELETE has no acknowledgement");
  int64_t acked_ms = si_now_ms ();
  int64_t bound_ms = acked_ms + DRAIN_MS;
  if (si_trouble ())
    {
      si_sleep_ms (200);
      si_daemon_signal (&machines[0], SIGKILL);
      si_daemon_wait (&machines[0], 1000);
      si_sleep_ms (300);
      si_daemon_start (&machines[0]);
      /* Until then the requests that the daemon passes on don't count.  */
      bound_ms = si_now_ms () + 500 + STABILITY_MS;
    }
  si_sleep_until (acked_ms + SERVES_MS);
  si_upstream_crash (leaving); /* its planned exit */
  si_sleep_ms (1500);
  sending = false;
  si_sleep_ms (1000);
  int late = 0;
  for (int i = 0; i < si_run_count; i++)
    if (si_runs[i].upstream == leaving
        && si_runs[i].at_ms > bound_ms)
      {
        late++;
        si_note ("run %s at %.3f by %s, %lld ms after the acknowledgement",
                 si_runs[i].attempt, (double)si_runs[i].at_ms / 1000,
                 leaving->id, (long long)(si_runs[i].at_ms - acked_ms));
      }
  for (int i = 0; i < 600; i++)
    if (statuses[i] > 0)
      si_note ("answers with status %d: %d", i, statuses[i]);
  si_note ("requests that reached %s later than %lld ms after the "
           "acknowledgement of its DELETE, by machines in touch: %d; requests "
           "that ran and whose callers got no success: %d",
           leaving->id, (long long)(bound_ms - acked_ms), late, lost_runs);
  si_finish (late > 0 ? 1 : 0);
}
