#include "prober.h"

#include <pthread.h>
#include <stdlib.h>

enum
{
  LOST_MAX = 256 /* sendings found lost in one tick */
};

struct prober_t
{
  pthread_mutex_t lock; /* guards probe */
  probe_t *probe;
  probe_lost_t lost;
  void *ctx;
  void *found[LOST_MAX]; /* of the control thread */
  size_t found_count;
};

prober_t *
prober_new (link_t link, probe_lost_t lost, void *ctx)
{
  prober_t *prober = calloc (1, sizeof *prober);

  pthread_mutex_init (&prober->lock, NULL);
  prober->probe = probe_new (link);
  prober->lost = lost;
  prober->ctx = ctx;
  return prober;
}

void
prober_free (prober_t *prober)
{
  probe_free (prober->probe);
  pthread_mutex_destroy (&prober->lock);
  free (prober);
}

static void
receive (void *ctx, vm_id_t from, const void *data, size_t size,
         int64_t now_us)
{
  prober_t *prober = ctx;

  pthread_mutex_lock (&prober->lock);
  probe_receive (prober->probe, from, data, size, now_us);
  pthread_mutex_unlock (&prober->lock);
}

static void
note_lost (void *ctx, void *sending)
{
  prober_t *prober = ctx;

  if (prober->found_count < LOST_MAX)
    prober->found[prober->found_count++] = sending;
}

static int64_t
tick (void *ctx, int64_t now_us)
{
  prober_t *prober = ctx;

  prober->found_count = 0;
  pthread_mutex_lock (&prober->lock);
  int64_t next_us = probe_tick (prober->probe, now_us, note_lost, prober);
  pthread_mutex_unlock (&prober->lock);
  for (size_t i = 0; i < prober->found_count; i++)
    prober->lost (prober->ctx, prober->found[i]);
  return next_us;
}

static json_t *
status (void *ctx)
{
  prober_t *prober = ctx;

  pthread_mutex_lock (&prober->lock);
  size_t count = probe_watch_count (prober->probe);
  pthread_mutex_unlock (&prober->lock);
  return json_pack ("{s:i}", "sendings_watched", (int)count);
}

part_t
prober_part (prober_t *prober)
{
  return (part_t){ .name = "probe",
                   .kind = MESSAGE_LOAD,
                   .receive = receive,
                   .tick = tick,
                   .status = status,
                   .ctx = prober };
}

void
prober_opened (prober_t *prober, const char *request, int64_t now_us)
{
  pthread_mutex_lock (&prober->lock);
  probe_opened (prober->probe, request, now_us);
  pthread_mutex_unlock (&prober->lock);
}

void
prober_ended (prober_t *prober, const char *request, int64_t now_us)
{
  pthread_mutex_lock (&prober->lock);
  probe_ended (prober->probe, request, now_us);
  pthread_mutex_unlock (&prober->lock);
}

void
prober_watch (prober_t *prober, void *sending, vm_id_t vm, const char *request,
              uint32_t first_ms, int64_t now_us)
{
  pthread_mutex_lock (&prober->lock);
  probe_watch (prober->probe, sending, vm, request, first_ms, now_us);
  pthread_mutex_unlock (&prober->lock);
}

bool
prober_unwatch (prober_t *prober, void *sending, const char *request)
{
  pthread_mutex_lock (&prober->lock);
  bool stood = probe_unwatch (prober->probe, sending, request);
  pthread_mutex_unlock (&prober->lock);
  return stood;
}
