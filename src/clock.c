#include "clock.h"

static struct timespec
read_system (clockid_t id)
{
  struct timespec t;
  clock_gettime (id, &t);
  return t;
}

static struct timespec
system_monotonic (void *ctx)
{
  (void)ctx;
  return read_system (CLOCK_MONOTONIC);
}

static struct timespec
system_wall (void *ctx)
{
  (void)ctx;
  return read_system (CLOCK_REALTIME);
}

const clock_source_t *
clock_system (void)
{
  static const clock_source_t source = { system_monotonic, system_wall, NULL };
  return &source;
}

int64_t
clock_now_us (const clock_source_t *clock)
{
  struct timespec t = clock->monotonic (clock->ctx);
  return (int64_t)t.tv_sec * US_PER_S + t.tv_nsec / NS_PER_US;
}

int64_t
clock_wall_ms (const clock_source_t *clock)
{
  struct timespec t = clock->wall (clock->ctx);
  return (int64_t)t.tv_sec * MS_PER_S + t.tv_nsec / (NS_PER_US * US_PER_MS);
}
