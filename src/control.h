#ifndef REDWINGFORD_CONTROL_H
#define REDWINGFORD_CONTROL_H

/* The control thread: hands messages to the daemon's parts and ticks them. */

#include "clock.h"
#include "endpoint.h"
#include "part.h"

enum
{
  CONTROL_PARTS_MAX = 16
};

typedef struct control_t control_t;

/* ENDPOINT and CLOCK are borrowed.  Free with control_free.  */
control_t *control_new (endpoint_t *endpoint, const clock_source_t *clock);
void control_free (control_t *control);

/* Before control_start only.  */
void control_add (control_t *control, part_t part);

void control_start (control_t *control);

/* Ticks every part soon.  Any thread; never waits.  */
void control_wake (control_t *control);

/* Waits for the thread to end.  */
void control_stop (control_t *control);

/* Each part's status under its name; the caller owns the object.  */
json_t *control_status (control_t *control);

#endif
