/* A zone is taken back; its server has become cold meanwhile, and the
   heartbeats that it sent before arrive late.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standin/standin.h"

enum
{
  CLIENTS = 48,
  PACE_MS = 80, /* between two requests of a client: 600 a second at most */
  COLD_MS = 3000,
  COLD_PER_S = 50,
  COLD_BOUND = 80, /* coldPerS 50 x coldOverage 1.5 + coldSlack 5 */
  CRASH_PER_S = 150, /* "crashes at a rate well above that" */
  LATE_MS = 1400
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
static si_upstream_t *dispatch;
static volatile bool sending = true;
static volatile bool crashed;
static volatile int statuses[600];
static volatile int unsure_with_run;

static void *
send_requests (void *argument)
{
  int number = (int)(intptr_t)argument;
  si_machine_t *machine = &machines[1 + number % 2];
  int fd = -1;
  int64_t next_ms = si_now_ms () + number * PACE_MS / CLIENTS;
  while (sending)
    {
      si_result_t result;
      si_request_t request = {
        "POST", "shop.example", "/book/1", "key1", "truck=1", 7, 5000
      };
      si_sleep_until (next_ms);
      si_call (machine, &fd, &request, &result);
      __sync_fetch_and_add (&statuses[result.status < 600 ? result.status : 0],
                            1);
      if (result.status != 200 && result.status != 503)
        {
          int runs = si_count_runs (result.attempt);
          unsure_with_run += runs > 0;
          si_note ("POST %s: status %d, runs %d", result.attempt,
                   result.status, runs);
        }
      next_ms += PACE_MS;
      if (next_ms < si_now_ms ())
        next_ms = si_now_ms ();
    }
  return NULL;
}

/* The most runs that began in one second while the server was cold.  */
static int
most_in_a_second (int64_t from_ms, int64_t to_ms, int64_t *at_ms)
{
  int most = 0;
  int first = 0;
  for (int last = 0; last < si_run_count; last++)
    {
      if (si_runs[last].upstream != dispatch || si_runs[last].at_ms < from_ms)
        {
          first = last + 1;
          continue;
        }
      if (si_runs[last].at_ms >= to_ms)
        break;
      while (si_runs[last].at_ms - si_runs[first].at_ms >= 1000)
        first++;
      if (last - first + 1 > most)
        {
          most = last - first + 1;
          *at_ms = si_runs[first].at_ms;
        }
    }
  return most;
}

int
main (int count, char **arguments)
{
  static const char *const services[] = { "dispatch", "planning", "planning" };
  static const char *const zones[] = { "brest", "rennes", "vannes" };
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
      si_upstream_t *upstream
          = si_upstream_start (&machines[i], services[i], id);
      upstream->slots = 350;
      upstream->work_ms = 78;
      if (i == 0)
        dispatch = upstream;
    }
  for (int i = 0; i < 3; i++)
    if (!si_daemon_wait_ready (&machines[i], 10000))
      si_cannot ("a daemon is not ready");
  si_sleep_ms (4000);
  for (int i = 0; i < CLIENTS; i++)
    si_thread (send_requests, (void *)(intptr_t)i);
  si_sleep_ms (4000);
  if (dispatch->run_total == 0)
    si_cannot ("nothing is served before the evacuation");
  si_note ("%d runs before the evacuation", dispatch->run_total);

  si_store_put ("keyed.op", "evacuate/brest", "{}");
  if (si_trouble ())
    dispatch->beat_delay_ms = LATE_MS; /* from now on */
  si_sleep_ms (6000);
  /* Becomes cold just after a heartbeat, which says that it is not.  */
  int sequence = dispatch->sequence;
  while (dispatch->sequence == sequence)
    si_sleep_ms (1);
  si_sleep_ms (150);
  int64_t cold_ms = si_now_ms ();
  dispatch->cold_until_ms = cold_ms + COLD_MS;
  si_note ("%s is cold for %d ms", dispatch->id, COLD_MS);
  si_sleep_ms (100);
  si_store_put ("keyed.op", "evacuate/brest", NULL);
  int64_t end_ms = cold_ms + COLD_MS;
  int64_t at_ms = 0;
  while (si_now_ms () < end_ms && !crashed)
    {
      si_sleep_ms (10);
      if (most_in_a_second (cold_ms, end_ms, &at_ms) > CRASH_PER_S)
        {
          crashed = true;
          si_upstream_crash (dispatch);
        }
    }
  si_sleep_ms (1500);
  sending = false;
  si_sleep_ms (1000);
  int most = most_in_a_second (cold_ms, end_ms, &at_ms);
  for (int i = 0; i < 600; i++)
    if (statuses[i] > 0)
      si_note ("answers with status %d: %d", i, statuses[i]);
  for (int64_t from_ms = cold_ms - 500; from_ms < end_ms + 500;
       from_ms += 100)
    {
      int runs = 0;
      for (int i = 0; i < si_run_count; i++)
        runs += si_runs[i].upstream == dispatch && si_runs[i].at_ms >= from_ms
                && si_runs[i].at_ms < from_ms + 100;
      si_note ("runs from %.3f, 100 ms: %d", (double)from_ms / 1000, runs);
    }
  si_note ("most requests in one second while it is cold: %d, from %.3f on "
           "(FAILBACK allows %d); it %s; requests that it ran and whose "
           "callers got no success: %d",
           most, (double)at_ms / 1000, COLD_BOUND,
           crashed ? "crashed" : "did not crash", unsure_with_run);
  si_finish (most > COLD_BOUND ? 1 : 0);
}
