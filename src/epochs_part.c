#include "epochs_part.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "atomics.h"
#include "log.h"

enum
{
  EPOCHS_PERIOD_MS = 250,
  RECORDS_PER_READ = 256
};

struct epochs_part_t
{
  epochs_setup_t setup;
  once_epochs_t epochs; /* of the thread, like next */
  bool open;
  log_service_t log;
  int64_t next; /* offset to read from */
  pthread_t thread;
  shared_bool_t stopping;
};

static int64_t
now_us (const epochs_part_t *part)
{
  return clock_now_us (part->setup.clock);
}

static void
take_record (epochs_part_t *part, const log_record_t *record)
{
  json_t *root
      = json_loadb (record->data, record->size, JSON_REJECT_DUPLICATES, NULL);

  if (root == NULL)
    log_write (LOG_PART_ONCE, LOG_LEVEL_WARN,
               "Passed over a malformed record of the member stream.");
  else if (once_epochs_read (&part->epochs, root, now_us (part)))
    part->setup.changed (part->setup.ctx, &part->epochs);
  json_decref (root);
}

/* A log that restarted behind us has lost the standing record: it is read
   from its start, and the record is due to be appended again.  */
static void
take_page (epochs_part_t *part, const log_page_t *page)
{
  for (size_t i = 0; i < page->count; i++)
    take_record (part, &page->records[i]);
  if (page->count > 0)
    part->next = page->records[page->count - 1].offset + 1;
  else if (page->next < part->next)
    {
      part->next = page->first;
      part->epochs.recorded_us -= (int64_t)ONCE_EPOCHS_RENEW_S * US_PER_S;
    }
  else
    part->next = page->next;
}

/* Reads to the stream's end; false when the log did not answer.  */
static bool
read_up (epochs_part_t *part)
{
  const log_service_t *log = &part->log;
  log_page_t page = { 0 };
  error_info_t error = { ERROR_NONE, "", "" };
  bool more = true;

  while (more)
    {
      if (!log->read (log->ctx, part->next, RECORDS_PER_READ, &page, &error))
        return false;
      take_page (part, &page);
      more = part->next < page.next;
      log_page_release (&page);
    }
  return true;
}

static void
propose (epochs_part_t *part)
{
  once_member_t members[ONCE_MEMBERS_MAX];
  int64_t offset = 0;
  error_info_t error = { ERROR_NONE, "", "" };
  size_t count = part->setup.see (part->setup.ctx, members);
  json_t *record
      = once_epochs_propose (&part->epochs, members, count, now_us (part));

  if (record == NULL)
    return;
  char *text = json_dumps (record, JSON_COMPACT);
  if (!part->log.append (part->log.ctx, text, strlen (text), &offset, &error))
    log_write (LOG_PART_ONCE, LOG_LEVEL_WARN,
               "Could not append members to the log: %s.", error.message);
  free (text);
  json_decref (record);
}

/* False until this VM's backend server has announced its service.  */
static bool
open_epochs (epochs_part_t *part)
{
  char service[NAME_BYTES];

  if (!part->open
      && part->setup.service (part->setup.ctx, service, &part->log))
    {
      once_epochs_open (&part->epochs, service, part->setup.self);
      part->open = true;
    }
  return part->open;
}

static void
wait_period (void)
{
  struct timespec wait = { 0, (long)EPOCHS_PERIOD_MS * US_PER_MS * NS_PER_US };
  nanosleep (&wait, NULL);
}

static void *
run (void *ctx)
{
  epochs_part_t *part = ctx;

  while (!atomic_load (&part->stopping))
    {
      if (open_epochs (part) && read_up (part))
        propose (part);
      wait_period ();
    }
  return NULL;
}

epochs_part_t *
epochs_part_new (const epochs_setup_t *setup)
{
  epochs_part_t *part = calloc (1, sizeof *part);

  part->setup = *setup;
  pthread_create (&part->thread, NULL, run, part);
  return part;
}

void
epochs_part_free (epochs_part_t *part)
{
  atomic_store (&part->stopping, true);
  pthread_join (part->thread, NULL);
  free (part);
}
