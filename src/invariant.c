#include "invariant.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  TEXT_BYTES = 512
};

static _Thread_local invariant_handler_t thread_handler;
static _Thread_local void *thread_handler_ctx;
static _Thread_local uint64_t thread_seed;

void
invariant_set_handler (invariant_handler_t handler, void *ctx)
{
  thread_handler = handler;
  thread_handler_ctx = ctx;
}

void
invariant_set_seed (uint64_t seed)
{
  thread_seed = seed;
}

void
invariant_failed (const char *file, int line, const char *format, ...)
{
  char text[TEXT_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  if (thread_handler != NULL)
    {
      thread_handler (thread_handler_ctx, text);
      return;
    }
  fprintf (stderr, "%s:%d: invariant broken: %s (seed %" PRIu64 ")\n", file,
           line, text, thread_seed);
  abort ();
}
