#ifndef REDWINGFORD_SLOWDOWN_H
#define REDWINGFORD_SLOWDOWN_H

/* How much longer than expected runs take at one backend server.  Two parts
   are kept apart and multiplied: the learnt part is a mean over many runs, and
   the momentary part is the server's own figure, which is stale within a
   second.  The learnt part is measured relative to the momentary one, so that
   a slow period does not outlast itself in the mean, and a figure that
   contains the lasting speed of the VM is not counted twice.  */

#include <stdint.h>

typedef struct slowdown_t
{
  double learnt;    /* 1 is as expected */
  double momentary; /* the last figure; 1 is as usual */
  int64_t momentary_us;
} slowdown_t;

void slowdown_init (slowdown_t *slowdown);

/* Records the server's own figure, which is bounded.  */
void slowdown_record_figure (slowdown_t *slowdown, double figure,
                             int64_t now_us);

/* Returns the momentary part.  It fades to 1 as the figure gets older.  */
double slowdown_momentary (const slowdown_t *slowdown, int64_t now_us);

/* Records a run that took RATIO times its expected time, while the momentary
   part was MOMENTARY.  */
void slowdown_record_run (slowdown_t *slowdown, double ratio,
                          double momentary);

/* Moves the learnt part back towards 1; for each period of 100 ms.  */
void slowdown_decay (slowdown_t *slowdown);

/* Returns the product of both parts.  */
double slowdown_now (const slowdown_t *slowdown, int64_t now_us);

#endif
