/* Clients send requests ahead on their connections.  While the first one is
   worked on, the answers to the others pile up in the daemon, which exceeds
   the memory of its machine and is killed.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "../standin/standin.h"

enum
{
  MACHINES = 3, /* the first one has the clients */
  CLIENTS = 24,
  AHEAD = 30, /* downloads that a client sends behind its first request */
  DOWNLOAD_BYTES = 500000,
  SMALL_BYTES = 1500,
  FIRST_WORK_MS = 4000
};

static const char config[]
    = "{\"version\":7,\"routes\":{"
      "\"r-look\":{\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","
      "\"kind\":\"safe\",\"timeoutS\":10,\"targetLatencyS\":6,"
      "\"priority\":0,\"service\":\"depot\",\"attempts\":1,\"public\":false},"
      "\"r-get\":{\"host\":\"shop.example\",\"pathPrefix\":\"/get/\","
      "\"kind\":\"download\",\"timeoutS\":10,\"targetLatencyS\":6,"
      "\"priority\":0,\"service\":\"depot\",\"attempts\":1,"
      "\"public\":false}},"
      "\"services\":{\"front\":{\"healthCheckPath\":\"/health\","
      "\"maxConnections\":2200,\"protocol\":\"h1\",\"tls\":false,"
      "\"coldStartS\":3.0,\"coldPerS\":50.0},"
      "\"depot\":{\"healthCheckPath\":\"/health\",\"maxConnections\":2200,"
      "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
      "\"coldPerS\":50.0}},"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
      "\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
      "\"tenants\":{\"buyer\":{\"apiKeys\":[\"key1\"],\"priority\":1,"
      "\"ratePerS\":0,\"burst\":0}},\"baseVersion\":5}";

static si_machine_t machines[MACHINES];
static volatile bool watching = true;
static volatile int memory_ends;
static long rss_most_kb[MACHINES];
static volatile int done_count;
static volatile int answered_count;
static volatile int lost_count;
static volatile int refused_count;

/* The platform: a process that exceeds the machine's memory is killed, and is
   restarted after a short delay.  */
static void *
watch_memory (void *unused)
{
  (void)unused;
  while (watching)
    {
      for (int i = 0; i < MACHINES; i++)
        {
          long rss_kb = si_daemon_rss_kb (&machines[i]);
          if (rss_kb > rss_most_kb[i])
            rss_most_kb[i] = rss_kb;
          if (rss_kb <= machines[i].memory_mb * 1024L)
            continue;
          memory_ends++;
          si_note ("%s has %ld KB of %d MB: the platform ends it",
                   machines[i].name, rss_kb, machines[i].memory_mb);
          si_daemon_signal (&machines[i], SIGKILL);
          si_daemon_wait (&machines[i], 1000);
          si_sleep_ms (500);
          si_daemon_start (&machines[i]);
        }
      si_sleep_ms (2);
    }
  return NULL;
}

static void *
send_ahead (void *argument)
{
  int number = (int)(intptr_t)argument;
  int fd = -1;
  si_result_t first;
  si_reader_t reader;
  si_message_t message;
  char ids[AHEAD + 1][32];
  char requests[(AHEAD + 1) * 256];
  size_t size = 0;
  si_request_t quick
      = { "GET", "shop.example", "/get/?w=20", "key1", NULL, 0, 9000 };
  si_call (&machines[0], &fd, &quick, &first);
  if (first.status != 200 || fd < 0)
    si_cannot ("no kept connection");
  for (int i = 0; i <= AHEAD; i++)
    {
      char target[64];
      snprintf (ids[i], sizeof ids[i], "b%04d%04d%08x", number, i,
                (unsigned)getpid ());
      if (i == 0)
        snprintf (target, sizeof target, "/look/?w=%d", FIRST_WORK_MS);
      else
        snprintf (target, sizeof target, "/get/?w=20&n=%d",
                  si_trouble () ? DOWNLOAD_BYTES : SMALL_BYTES);
      size += (size_t)sprintf (requests + size,
                               "GET %s HTTP/1.1\r\nHost: shop.example\r\n"
                               "X-Attempt-Id: %s\r\nX-Timeout-Ms: 9000\r\n"
                               "X-Credential: key1\r\n\r\n",
                               target, ids[i]);
    }
  si_send_all (fd, requests, size);
  si_reader_open (&reader, fd);
  int answers = 0;
  bool open = true;
  for (; open && answers <= AHEAD; answers++)
    {
      if (!si_read (&reader, true, &message))
        break;
      open = message.whole && !message.close;
      if (!message.whole)
        break;
      answered_count += message.status == 200;
      refused_count += message.status != 200;
      si_message_free (&message);
    }
  int lost = 0;
  for (int i = answers; i <= AHEAD; i++)
    lost += si_count_runs (ids[i]) > 0;
  si_note ("client %d: %d of %d requests answered, %d of the others were run",
           number, answers, AHEAD + 1, lost);
  __sync_fetch_and_add (&lost_count, lost);
  si_reader_close (&reader);
  close (fd);
  __sync_fetch_and_add (&done_count, 1);
  return NULL;
}

int
main (int count, char **arguments)
{
  static const char *const zones[] = { "rennes", "brest", "vannes" };
  (void)count;
  si_start (arguments[1]);
  si_store_start ();
  si_store_put ("keyed.op", "config", config);
  for (int i = 0; i < MACHINES; i++)
    {
      char id[32];
      si_machine_init (&machines[i], i + 1, i == 0 ? "front" : "depot",
                       zones[i]);
      si_daemon_start (&machines[i]);
      snprintf (id, sizeof id, "i-%s%d", machines[i].service, i + 1);
      si_upstream_start (&machines[i], machines[i].service, id)->slots = 350;
    }
  for (int i = 0; i < MACHINES; i++)
    if (!si_daemon_wait_ready (&machines[i], 10000))
      si_cannot ("a daemon is not ready");
  si_thread (watch_memory, NULL);
  si_sleep_ms (5000);
  for (int i = 0; i < CLIENTS; i++)
    si_thread (send_ahead, (void *)(intptr_t)i);
  int64_t until_ms = si_now_ms () + 20000;
  while (done_count < CLIENTS && si_now_ms () < until_ms)
    si_sleep_ms (20);
  watching = false;
  si_sleep_ms (1000);
  for (int i = 0; i < MACHINES; i++)
    si_note ("%s: most memory %ld KB of %d MB, starts %d", machines[i].name,
             rss_most_kb[i], machines[i].memory_mb, machines[i].starts);
  si_note ("200: %d, other answers: %d; processes ended for memory: %d; "
           "requests of kept connections that were passed on and ended "
           "without an answer: %d (more than 3 break LOST)",
           answered_count, refused_count, memory_ends, lost_count);
  si_finish (lost_count > 3 ? 1 : 0);
}
