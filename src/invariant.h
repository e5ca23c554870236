#ifndef REDWINGFORD_INVARIANT_H
#define REDWINGFORD_INVARIANT_H

/* Invariants asserted inside the program, in tests and in the daemon.

   INVARIANT (condition, "text %d", value) does nothing while the condition
   holds.  Otherwise it calls the thread's handler; without one it prints the
   text, the place and the seed, and aborts.  A random run installs a handler
   to count violations instead.  */

#include <stdint.h>

typedef void (*invariant_handler_t) (void *ctx, const char *text);

/* Handler of this thread; NULL restores printing and aborting.  CTX is
   borrowed until the next call.  */
void invariant_set_handler (invariant_handler_t handler, void *ctx);

/* Seed to name in a failure on this thread.  */
void invariant_set_seed (uint64_t seed);

void invariant_failed (const char *file, int line, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#define INVARIANT(condition, ...)                                             \
  do                                                                          \
    {                                                                         \
      if (__builtin_expect (!(condition), 0))                                 \
        invariant_failed (__FILE__, __LINE__, __VA_ARGS__);                   \
    }                                                                         \
  while (0)

#endif
