#include "snapshot.h"

#include <urcu-bp.h>

const doc_t *
snapshot_acquire (snapshot_t *snapshot)
{
  rcu_read_lock ();
  return rcu_dereference (snapshot->doc);
}

void
snapshot_release (snapshot_t *snapshot)
{
  (void)snapshot;
  rcu_read_unlock ();
}

void
snapshot_swap (snapshot_t *snapshot, doc_t *doc)
{
  doc_t *former = rcu_xchg_pointer (&snapshot->doc, doc);
  synchronize_rcu ();
  if (former != NULL)
    doc_free (former);
}
