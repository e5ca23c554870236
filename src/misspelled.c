#include "misspelled.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "doc_index.h"

typedef struct entry_t
{
  char name[PATH_BYTES];
  char nearest[PATH_BYTES];
  uint64_t count;
} entry_t;

struct misspelled_t
{
  pthread_mutex_t lock; /* guards the entries; taken last */
  size_t count;
  entry_t entries[MISSPELLED_NAMES_MAX];
};

misspelled_t *
misspelled_new (void)
{
  misspelled_t *misspelled = calloc (1, sizeof *misspelled);
  if (misspelled != NULL)
    pthread_mutex_init (&misspelled->lock, NULL);
  return misspelled;
}

void
misspelled_free (misspelled_t *misspelled)
{
  if (misspelled == NULL)
    return;
  pthread_mutex_destroy (&misspelled->lock);
  free (misspelled);
}

/* Copies the part of PATH as deep as NEAREST; false when it could not be an
   alias.  */
static bool
cut_name (const char *path, const char *nearest, char *name)
{
  size_t length = doc_path_same_depth (path, nearest);
  if (length == 0 || length >= PATH_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    if (path[i] <= ' ' || path[i] > '~')
      return false;
  memcpy (name, path, length);
  name[length] = '\0';
  return true;
}

/* The entry of NAME, or the one that it takes over.  */
static entry_t *
entry_for (misspelled_t *misspelled, const char *name)
{
  entry_t *rarest = &misspelled->entries[0];
  for (size_t i = 0; i < misspelled->count; i++)
    {
      entry_t *entry = &misspelled->entries[i];
      if (strcmp (entry->name, name) == 0)
        return entry;
      if (entry->count < rarest->count)
        rarest = entry;
    }
  if (misspelled->count < MISSPELLED_NAMES_MAX)
    return &misspelled->entries[misspelled->count++];
  return rarest;
}

void
misspelled_add (misspelled_t *misspelled, const char *path,
                const char *nearest)
{
  char name[PATH_BYTES];
  if (nearest == NULL || *nearest == '\0' || !cut_name (path, nearest, name))
    return;
  pthread_mutex_lock (&misspelled->lock);
  entry_t *entry = entry_for (misspelled, name);
  memcpy (entry->name, name, strlen (name) + 1);
  strncpy (entry->nearest, nearest, sizeof entry->nearest - 1);
  entry->count++;
  pthread_mutex_unlock (&misspelled->lock);
}

static int
compare_counts (const void *a, const void *b)
{
  const entry_t *x = a;
  const entry_t *y = b;
  return (x->count < y->count) - (x->count > y->count);
}

json_t *
misspelled_list (misspelled_t *misspelled)
{
  json_t *list = json_array ();
  pthread_mutex_lock (&misspelled->lock);
  qsort (misspelled->entries, misspelled->count, sizeof (entry_t),
         compare_counts);
  for (size_t i = 0; i < misspelled->count; i++)
    {
      const entry_t *entry = &misspelled->entries[i];
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:I}", "name", entry->name, "nearest",
                           entry->nearest, "count", (json_int_t)entry->count));
    }
  pthread_mutex_unlock (&misspelled->lock);
  return list;
}
