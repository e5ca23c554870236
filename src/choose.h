#ifndef REDWINGFORD_CHOOSE_H
#define REDWINGFORD_CHOOSE_H

/* An entry daemon's choice of backend server within one service.  The own
   availability zone comes first while it has room; of two sampled servers the
   one with less in flight for its capacity is taken (Mitzenmacher, 2001); a
   zone sends away only what exceeds its room.  Failing servers are ejected, a
   bounded share of them; when most fail, none is.  A server that comes back
   is sampled rarely at first.  No locks: the caller serializes the calls.
   Each is O(log n) in the service's servers or better.  */

#include "limit.h"
#include "rng.h"
#include "types.h"

enum
{
  CHOOSE_ZONES_MAX = 64
};

typedef struct choose_options_t
{
  /* Mechanisms switched off, for tests.  */
  bool no_zone_preference; /* all zones as one */
  bool no_load_balancing;  /* uniform choice */
  bool no_ejection;
  bool no_ramp;
} choose_options_t;

typedef struct choose_t choose_t;

/* Servers that are told in its first two seconds are not ramped: they are new
   to this daemon only.  */
choose_t *choose_new (const choose_options_t *options, int64_t now_us);
void choose_free (choose_t *choose);

typedef struct choose_server_t
{
  vm_id_t vm;
  uint32_t zone;       /* index, below CHOOSE_ZONES_MAX */
  uint32_t slots;      /* as announced; 0 counts as 1 */
  bool out_of_service; /* itself or its zone was taken out, or it is leaving */
  incarnation_t incarnation;
} choose_server_t;

/* Adds a server or changes what is known of it.  A new one, one that comes
   back in, and one with a new incarnation are ramped.  */
void choose_set_server (choose_t *choose, const choose_server_t *server,
                        int64_t now_us);

void choose_remove_server (choose_t *choose, vm_id_t vm);

/* Picks a server that is not in EXCLUDE (of COUNT); false when there is none.
   Nothing is counted until choose_sent.  */
bool choose_pick_server (choose_t *choose, uint32_t own_zone,
                         const vm_id_t *exclude, size_t count,
                         const rng_t *rng, int64_t now_us, vm_id_t *vm);

void choose_record_send (choose_t *choose, vm_id_t vm);

/* What the executing daemon put on an answer or refusal.  */
typedef struct choose_report_t
{
  uint32_t load;   /* in flight and queued there */
  uint32_t window; /* in flight at most there; 0 is "not told" */
} choose_report_t;

/* The send to VM has ended.  REPORT may be NULL.  RUN_SHED is any refusal; it
   does not count as a failure.  */
void choose_record_result (choose_t *choose, vm_id_t vm, run_result_t result,
                           int64_t latency_us, const choose_report_t *report,
                           int64_t now_us);

/* The executing daemon tells how long its runs take for what was expected of
   them, over all who send to it.  It goes before what was measured here.  */
void choose_set_slowdown (choose_t *choose, vm_id_t vm, double slow,
                          int64_t now_us);

/* State of one server, for "redwingford status".  */
typedef struct choose_status_t
{
  choose_server_t server;
  uint32_t in_flight; /* sent from here */
  bool ejected;
  double ramp_share; /* share of its normal sampling, 0 to 1 */
  int64_t latency_us;
} choose_status_t;

uint32_t choose_server_count (const choose_t *choose);
bool choose_get_status (const choose_t *choose, uint32_t index, int64_t now_us,
                        choose_status_t *status);

/* Whether most servers look bad, so that ejections are ignored.  */
bool choose_in_panic (const choose_t *choose);

#endif
