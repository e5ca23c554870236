#include "recent.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "doc_fields.h"

struct recent_t
{
  pthread_mutex_t lock; /* guards the ring; taken last */
  size_t capacity;
  uint64_t added;
  recent_decision_t ring[];
};

recent_t *
recent_new (size_t capacity)
{
  recent_t *recent
      = calloc (1, sizeof *recent + capacity * sizeof *recent->ring);
  if (recent == NULL)
    return NULL;
  pthread_mutex_init (&recent->lock, NULL);
  recent->capacity = capacity;
  return recent;
}

void
recent_free (recent_t *recent)
{
  if (recent == NULL)
    return;
  pthread_mutex_destroy (&recent->lock);
  free (recent);
}

void
recent_add (recent_t *recent, const recent_decision_t *decision)
{
  pthread_mutex_lock (&recent->lock);
  recent->ring[recent->added++ % recent->capacity] = *decision;
  pthread_mutex_unlock (&recent->lock);
}

static bool
matches (const recent_decision_t *d, const char *request, const char *account)
{
  if (request != NULL && strcmp (d->request, request) != 0
      && strcmp (d->root, request) != 0)
    return false;
  return account == NULL || strcmp (d->account, account) == 0;
}

static json_t *
format (const recent_decision_t *d)
{
  char vm[NAME_BYTES] = "";
  if (d->vm != 0)
    doc_vm_format (d->vm, vm);
  return json_pack (
      "{s:I, s:i, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i}", "at_ms",
      (json_int_t)d->at_ms, "took_ms", (int)d->took_ms, "request", d->request,
      "root", d->root, "account", d->account, "route", d->route, "object",
      d->object, "vm", vm, "outcome",
      outcome_name (reason_outcome (d->reason)), "reason",
      reason_name (d->reason), "remedy", reason_remedy (d->reason), "status",
      d->status);
}

json_t *
recent_find (recent_t *recent, const char *request, const char *account,
             size_t max)
{
  json_t *found = json_array ();
  pthread_mutex_lock (&recent->lock);
  uint64_t kept
      = recent->added < recent->capacity ? recent->added : recent->capacity;
  for (uint64_t i = 1; i <= kept && json_array_size (found) < max; i++)
    {
      const recent_decision_t *d
          = &recent->ring[(recent->added - i) % recent->capacity];
      if (matches (d, request, account))
        json_array_append_new (found, format (d));
    }
  pthread_mutex_unlock (&recent->lock);
  return found;
}
