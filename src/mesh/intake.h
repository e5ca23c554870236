#ifndef REDWINGFORD_INTAKE_H
#define REDWINGFORD_INTAKE_H

/* Admission queue of the sidecar beside one backend server: decides which
   requests run now, which wait and which are refused.

   - Calls, which other backend servers make, are started before requests of
     callers, because work that was already done depends on them.  Among calls
     the earliest deadline goes first, so that call trees are completed before
     new ones are begun.
   - A request is queued only if it can still end before its deadline, given
     its own expected run time and, for a caller's request, the work queued
     ahead of it.  Otherwise it is refused at once.
   - No more requests run than the server has slots, since a server whose slots
     are all in use may never answer.
   - A server in its cold start gets requests at about the rate that it can
     bear.
   - The server's load contains its pressure: the share of callers' requests
     that the sidecars should refuse where these requests enter, before work is
     spent on them.

   The module takes no locks and reads no clock: the caller serializes the
   calls and passes the time.  Entries are borrowed from intake_offer until
   they have ended.  */

#include "heap.h"
#include "mesh/call.h"
#include "queue.h"

typedef struct intake_entry_t
{
  /* Set by the caller.  The rest of the entry must be zeroed.  */
  uint32_t account_hash; /* client account, for fairness between accounts */
  uint8_t priority;
  bool from_backend;       /* a call made by a backend server */
  int64_t max_wait_us;     /* longest time in the queue; not used for calls */
  int64_t expected_run_us; /* 0 if not known */
  int64_t deadline_us;
  void *user_data; /* not read by this module */
  /* Private.  */
  queue_entry_t queue_entry; /* used for callers' requests */
  uint32_t heap_index;       /* used for calls */
  int64_t started_us;
  double started_momentary; /* momentary slowdown at that time */
  bool running;
} intake_entry_t;

typedef enum intake_verdict_t
{
  INTAKE_STARTED, /* holds a slot until intake_finish_run */
  INTAKE_QUEUED,
  INTAKE_REFUSED /* has ended */
} intake_verdict_t;

typedef struct intake_callbacks_t
{
  /* A queued entry holds a slot from now on.  */
  void (*on_start) (void *ctx, intake_entry_t *entry);
  /* A queued entry was refused and has ended without running.  */
  void (*on_refuse) (void *ctx, intake_entry_t *entry, cause_t cause);
  void *ctx; /* borrowed */
} intake_callbacks_t;

typedef struct intake_t intake_t;

/* Copies *CALLBACKS.  Free the result with intake_free.  */
intake_t *intake_new (const intake_callbacks_t *callbacks, int64_t now_us);

/* Frees INTAKE, which may be NULL.  Entries that are still queued are dropped
   without a callback.  */
void intake_free (intake_t *intake);

/* What is known of the backend server.  */
typedef struct intake_server_t
{
  uint32_t slots;
  bool available; /* an instance is known and reachable */
  bool leaving;   /* no new request is started */
  bool zone_out;  /* its availability zone is evacuated */
  int64_t cold_start_until_us;
  double cold_start_rate_per_s; /* that it can bear then; 0 is no limit */
} intake_server_t;

/* Applies a change of the backend server.  All queued entries are refused when
   the server no longer takes new requests.  */
void intake_set_server (intake_t *intake, const intake_server_t *server,
                        int64_t now_us);

/* Starts, queues or refuses ENTRY.  Sets ENTRY->expected_run_us to the mean
   when it is 0.  *CAUSE tells the reason on INTAKE_REFUSED and is undefined
   otherwise.  */
intake_verdict_t intake_offer (intake_t *intake, intake_entry_t *entry,
                               int64_t now_us, cause_t *cause);

/* Ends a started entry and starts queued ones in the slots that are free.  RAN
   is false when the server refused to run the request; its time is then left
   out of the mean.  */
void intake_finish_run (intake_t *intake, intake_entry_t *entry, bool ran,
                        int64_t now_us);

/* Records the server's own figure of how long work takes now, relative to the
   usual.  It counts for a second.  */
void intake_record_slowdown (intake_t *intake, double figure, int64_t now_us);

/* Removes a queued entry.  It has ended without a callback.  */
void intake_cancel_queued (intake_t *intake, intake_entry_t *entry);

/* Starts queued entries, refuses those that have waited too long and updates
   the pressure.  Returns the earlier of two times: when a queued request of a
   caller will next have waited too long, and when the request rate of a cold
   start next allows a queued entry to start; INT64_MAX if there is neither.
   The deadlines of queued calls from backend servers and the next update of
   the pressure are not included, so the function must also be called at least
   every 100 ms.  */
int64_t intake_tick (intake_t *intake, int64_t now_us);

server_load_t intake_server_load (const intake_t *intake);

/* The part of the slowdown that the server's own figure contributes now, in
   permille; 1000 without a figure.  */
uint32_t intake_momentary_permille (const intake_t *intake);

/* Mean run time in microseconds, without the momentary slowdown; 0 before the
 * first run has ended.  */
int64_t intake_mean_run_us (const intake_t *intake);

/* Whether the server takes new requests at all.  */
bool intake_is_accepting (const intake_t *intake);

/* Whether the server is in a cold start with a limited request rate.  */
bool intake_is_cold_starting (const intake_t *intake, int64_t now_us);

#endif
