#ifndef REDWINGFORD_INTAKE_H
#define REDWINGFORD_INTAKE_H

/* What the sidecar beside one backend server decides: which requests run now,
   which wait, which are refused.

   - Calls of other backend servers go before requests of callers: work that
     has been done already hangs on them.  Among them the earliest deadline
     goes first, which finishes trees of calls before it begins new ones.
   - A request waits only while it can still end in time, by the work that is
     ahead of it and its own; it is refused at once otherwise.
   - A server that is full may never answer, so no more than its slots run.
   - A cold server gets requests at the rate that it bears.
   - PRESSURE tells the sidecars where callers enter what share of them to
     refuse there, before work is spent on them.

   No locks; the caller passes the time.  Entries are borrowed from
   intake_offer until they have ended.  */

#include "heap.h"
#include "mesh/call.h"
#include "queue.h"

typedef struct intake_entry_t
{
  /* Set by the caller, zeroed before.  */
  uint32_t account_hash; /* number for fairness between client accounts */
  uint8_t priority;
  bool from_backend;
  int64_t max_wait_us;     /* longest time in the queue */
  int64_t expected_run_us; /* that its run takes; 0 is "not known" */
  int64_t deadline_us;
  void *user_data; /* the caller's */
  /* Private.  */
  queue_entry_t queue_entry; /* of a caller's request */
  uint32_t heap_index;       /* of a call, in its queue */
  int64_t started_us;
  bool running;
} intake_entry_t;

typedef enum intake_verdict_t
{
  INTAKE_STARTED, /* holds a slot until intake_finished */
  INTAKE_QUEUED,
  INTAKE_REFUSED /* has ended */
} intake_verdict_t;

typedef struct intake_callbacks_t
{
  /* A queued entry holds a slot from now on.  */
  void (*on_start) (void *ctx, intake_entry_t *entry);
  /* A queued entry has ended; it did not run.  */
  void (*on_refuse) (void *ctx, intake_entry_t *entry, cause_t cause);
  void *ctx; /* borrowed */
} intake_callbacks_t;

typedef struct intake_t intake_t;

intake_t *intake_new (const intake_callbacks_t *actions, int64_t now_us);
void intake_free (intake_t *intake);

/* What is known of the backend server.  */
typedef struct intake_server_t
{
  uint32_t slots;
  bool available; /* an instance is there and well */
  bool leaving;   /* nothing new is started */
  bool zone_out;  /* its availability zone was taken out */
  int64_t cold_start_until_us;
  double cold_start_rate_per_s; /* 0 is any */
} intake_server_t;

/* Queued entries that can no longer run here are refused.  */
void intake_set_server (intake_t *intake, const intake_server_t *server,
                        int64_t now_us);

/* On INTAKE_REFUSED *cause says why.  */
intake_verdict_t intake_offer (intake_t *intake, intake_entry_t *entry,
                               int64_t now_us, cause_t *cause);

/* A started entry has ended.  RAN is false when the server refused it.  */
void intake_finish_run (intake_t *intake, intake_entry_t *entry, bool ran,
                        int64_t now_us);

/* Takes a queued entry back; it has ended without a callback.  */
void intake_cancel_queued (intake_t *intake, intake_entry_t *entry);

/* Starts and refuses what is due.  Returns when it is next due.  */
int64_t intake_tick (intake_t *intake, int64_t now_us);

server_load_t intake_server_load (const intake_t *intake);

/* Mean time that a run takes; 0 before the first.  */
int64_t intake_mean_run_us (const intake_t *intake);

/* Whether the server takes anything new at all.  */
bool intake_is_accepting (const intake_t *intake);

bool intake_is_cold_starting (const intake_t *intake, int64_t now_us);

#endif
