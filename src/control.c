#include "control.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum
{
  WAIT_MAX_US = 50000
};

struct control_t
{
  endpoint_t *endpoint;
  const clock_source_t *clock;
  part_t parts[CONTROL_PARTS_MAX];
  int64_t due_us[CONTROL_PARTS_MAX];
  size_t part_count;
  pthread_t thread;
  atomic_bool stopping;
  int wake_fd;
};

control_t *
control_new (endpoint_t *endpoint, const clock_source_t *clock)
{
  control_t *control = calloc (1, sizeof *control);
  control->endpoint = endpoint;
  control->clock = clock;
  control->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  return control;
}

void
control_free (control_t *control)
{
  close (control->wake_fd);
  free (control);
}

void
control_add (control_t *control, part_t part)
{
  if (control->part_count < CONTROL_PARTS_MAX)
    control->parts[control->part_count++] = part;
}

static void
receive (void *ctx, vm_id_t from, message_kind_t kind, const void *data,
         size_t size)
{
  control_t *control = ctx;
  int64_t now_us = clock_now_us (control->clock);

  for (size_t i = 0; i < control->part_count; i++)
    if (control->parts[i].kind == kind)
      control->parts[i].receive (control->parts[i].ctx, from, data, size,
                                 now_us);
}

/* Returns how long nothing is due.  */
static int64_t
tick_due (control_t *control)
{
  int64_t now_us = clock_now_us (control->clock);
  int64_t wait_us = WAIT_MAX_US;

  for (size_t i = 0; i < control->part_count; i++)
    {
      if (control->due_us[i] <= now_us)
        control->due_us[i]
            = control->parts[i].tick (control->parts[i].ctx, now_us);
      if (control->due_us[i] - now_us < wait_us)
        wait_us = control->due_us[i] - now_us;
    }
  return wait_us > 0 ? wait_us : 0;
}

void
control_wake (control_t *control)
{
  eventfd_write (control->wake_fd, 1);
}

static void
take_wake (control_t *control)
{
  eventfd_t count;

  if (eventfd_read (control->wake_fd, &count) == 0)
    memset (control->due_us, 0, sizeof control->due_us);
}

static void *
run (void *ctx)
{
  control_t *control = ctx;
  struct pollfd fds[] = { { endpoint_fd (control->endpoint), POLLIN, 0 },
                          { control->wake_fd, POLLIN, 0 } };

  while (!atomic_load (&control->stopping))
    {
      int64_t wait_us = tick_due (control);
      struct timespec wait = { 0, wait_us * NS_PER_US };
      if (ppoll (fds, 2, &wait, NULL) <= 0)
        continue;
      take_wake (control);
      endpoint_receive (control->endpoint, receive, control);
    }
  return NULL;
}

void
control_start (control_t *control)
{
  pthread_create (&control->thread, NULL, run, control);
}

void
control_stop (control_t *control)
{
  atomic_store (&control->stopping, true);
  pthread_join (control->thread, NULL);
}

json_t *
control_status (control_t *control)
{
  json_t *status = json_object ();

  for (size_t i = 0; i < control->part_count; i++)
    if (control->parts[i].status != NULL)
      json_object_set_new (status, control->parts[i].name,
                           control->parts[i].status (control->parts[i].ctx));
  return status;
}
