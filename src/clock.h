#ifndef REDWINGFORD_CLOCK_H
#define REDWINGFORD_CLOCK_H

/* The clock as an interface.  Decisions never read a clock of their own:
   an edge reads one here and passes the time on as now_us.  */

#include <stdint.h>
#include <time.h>

enum
{
  US_PER_MS = 1000,
  MS_PER_S = 1000,
  US_PER_S = 1000000,
  NS_PER_US = 1000
};

typedef struct clock_source_t
{
  /* Never steps back; does not count time from an agreed epoch.  */
  struct timespec (*monotonic) (void *ctx);
  /* Unix time; may step and drift.  */
  struct timespec (*wall) (void *ctx);
  void *ctx; /* borrowed */
} clock_source_t;

/* CLOCK_MONOTONIC and CLOCK_REALTIME of this machine.  Static storage.  */
const clock_source_t *clock_system (void);

/* Microseconds since the clock's own start.  */
int64_t clock_now_us (const clock_source_t *clock);

/* Milliseconds since the Unix epoch.  */
int64_t clock_wall_ms (const clock_source_t *clock);

#endif
