#ifndef REDWINGFORD_DIRECTORY_H
#define REDWINGFORD_DIRECTORY_H

/* The backend servers that this daemon knows, by service, and the choice
   among them.  Any thread; one mutex, see daemon.h for the lock order.  */

#include "choose.h"
#include "clock.h"
#include "doc.h"
#include "rng.h"
#include "settings.h"
#include "types.h"

#include <jansson.h>

typedef struct directory_entry_t
{
  vm_id_t vm;
  incarnation_t incarnation; /* of the daemon's or backend server's life */
  char service[NAME_BYTES];
  char zone[NAME_BYTES];
  endpoint_addr_t peer;
  uint32_t slots;
  bool leaving;
} directory_entry_t;

typedef struct directory_t directory_t;

/* OWN_ZONE is copied; CLOCK is borrowed.  */
directory_t *directory_new (const char *own_zone, rng_t rng,
                            const clock_source_t *clock);
void directory_free (directory_t *directory);

/* Adds or replaces the entry of a VM.  */
void directory_set (directory_t *directory, const directory_entry_t *entry);
void directory_remove (directory_t *directory, vm_id_t vm);

/* Takes zones and servers out and brings them back as DOC says.  */
void directory_apply (directory_t *directory, const doc_t *doc);

/* Picks a backend server of SERVICE, not among the excluded; false when there
   is none.  Each pick is followed by one directory_done.  */
bool directory_pick (directory_t *directory, const char *service,
                     const vm_id_t *exclude, size_t exclude_count,
                     directory_entry_t *entry);

/* Counts a sending to a VM that was not picked, such as a key's home.  */
void directory_sent (directory_t *directory, vm_id_t vm);

/* The sending to VM has ended.  REPORT may be NULL.  */
void directory_done (directory_t *directory, vm_id_t vm, run_result_t result,
                     int64_t latency_us, const choose_report_t *report);

bool directory_find (directory_t *directory, vm_id_t vm,
                     directory_entry_t *entry);

/* VMs of a service that are neither leaving nor taken out, at most MAX;
   returns their number.  */
size_t directory_list (directory_t *directory, const char *service,
                       vm_id_t *vms, size_t max);

/* The services and their servers; the caller owns the object.  */
json_t *directory_status (directory_t *directory);

#endif
