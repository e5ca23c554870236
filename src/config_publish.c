#include "config_publish.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  READ_RECORDS = 32
};

const publish_options_t publish_options_default = {
  .timeout_us = 30LL * US_PER_S,
  .retry_us = 300 * US_PER_MS,
  .confirms = true,
  .looks_up = true,
  .checks_order = true,
  .rules = { true, true, true },
};

struct publish_t
{
  publish_options_t options;
  config_record_t record; /* text owned */
  config_head_t mine;
  int64_t until_us;
  int64_t due_us;
  publish_step_t step;
  publish_result_t result;

  int64_t own_offset; /* where the record is, or -1 */
  int64_t cursor;
  uint64_t last_hash; /* of the record before the cursor */
  bool started;
  bool whole;
  config_head_t newest;
  char *newest_text;

  bool rival;    /* another record was taken for this version */
  bool gap;      /* the log lost records since it was first read */
  bool tried;    /* an append may have taken effect */
  bool won;      /* the record was taken when it was read */
  bool built_on; /* another publication names it as its base */
  bool asked;    /* an append was answered, the record not read yet */
};

publish_t *
publish_new (const publish_options_t *options, const config_head_t *base,
             const char *publication_id, const char *text, size_t size,
             int64_t now_us)
{
  publish_t *publish = calloc (1, sizeof *publish);
  char *copy = malloc (size + 1);
  memcpy (copy, text, size);
  copy[size] = '\0';
  publish->options = *options;
  publish->record = (config_record_t){ .kind = CONFIG_PUBLICATION,
                                       .version = base->version + 1,
                                       .base_version = base->version,
                                       .text = copy,
                                       .size = size };
  strncpy (publish->record.publication_id, publication_id,
           sizeof publish->record.publication_id - 1);
  memcpy (publish->record.base_id, base->publication_id,
          sizeof publish->record.base_id);
  publish->mine.version = publish->record.version;
  memcpy (publish->mine.publication_id, publish->record.publication_id,
          sizeof publish->mine.publication_id);
  publish->own_offset = -1;
  publish->until_us = now_us + options->timeout_us;
  publish->due_us = now_us;
  publish->step = PUBLISH_READ;
  publish->newest_text = strdup ("");
  return publish;
}

void
publish_free (publish_t *publish)
{
  if (publish == NULL)
    return;
  free ((char *)publish->record.text);
  free (publish->newest_text);
  free (publish);
}

static void
finish (publish_t *publish, publish_result_t result)
{
  publish->result = result;
  publish->step = PUBLISH_DONE;
}

static void
give_up (publish_t *publish)
{
  if (publish->won)
    finish (publish, PUBLISH_RECORDED);
  else
    finish (publish, publish->tried ? PUBLISH_UNKNOWN : PUBLISH_NOT_DONE);
}

publish_job_t
publish_next (publish_t *publish, int64_t wall_ms, int64_t now_us)
{
  publish_job_t job = { .due_us = publish->due_us };
  if (publish->step != PUBLISH_DONE && now_us >= publish->until_us)
    give_up (publish);
  job.step = publish->step;
  if (publish->step != PUBLISH_DONE && now_us < publish->due_us)
    job.step = PUBLISH_WAIT;
  if (job.step == PUBLISH_READ)
    {
      job.from = publish->cursor > 0 ? publish->cursor - 1 : 0;
      job.max = READ_RECORDS;
    }
  if (job.step == PUBLISH_APPEND)
    {
      publish->tried = true;
      publish->record.appended_ms = wall_ms;
      job.record = config_record_format (&publish->record, &job.size);
    }
  return job;
}

/* Whether a record that is taken shows that another publication won.  */
static bool
excludes_mine (const publish_t *publish, const config_record_t *record)
{
  const config_head_t *mine = &publish->mine;
  if (record->version == mine->version)
    return strcmp (record->publication_id, mine->publication_id) != 0;
  return record->kind == CONFIG_PUBLICATION
         && record->base_version == mine->version
         && strcmp (record->base_id, mine->publication_id) != 0;
}

static void
take_record (publish_t *publish, const log_record_t *entry, int64_t wall_ms)
{
  config_record_t record;
  bool known = config_record_parse (entry->data, entry->size, &record);
  if (entry->offset == publish->own_offset)
    publish->gap
        |= !known
           || strcmp (record.publication_id, publish->mine.publication_id)
                  != 0;
  if (!known)
    return;
  config_verdict_t verdict
      = config_head_offer (&publish->newest, &publish->options.rules, &record,
                           publish->whole, wall_ms);
  if (verdict == CONFIG_TAKEN)
    {
      free (publish->newest_text);
      publish->newest_text = strndup (record.text, record.size);
      if (excludes_mine (publish, &record))
        {
          publish->won = false;
          publish->rival = true;
        }
    }
  publish->built_on
      |= record.base_version == publish->mine.version
         && strcmp (record.base_id, publish->mine.publication_id) == 0;
  if (record.version != publish->mine.version
      || strcmp (record.publication_id, publish->mine.publication_id) != 0)
    return;
  publish->asked = false;
  if (record.kind == CONFIG_PUBLICATION)
    publish->own_offset = entry->offset;
  if (verdict == CONFIG_TAKEN || verdict == CONFIG_REPEATED
      || record.kind == CONFIG_SNAPSHOT)
    publish->won = true;
}

/* Whether the record before the cursor is another one than was read: the log
   lost records and has got new ones since.  */
static bool
last_differs (const publish_t *publish, const log_page_t *page)
{
  if (page->count == 0 || page->records[0].offset != publish->cursor - 1)
    return false;
  return publish->last_hash
         != config_text_hash (page->records[0].data, page->records[0].size);
}

/* False when the log went back, so that it has to be read again from its
   beginning.  */
static bool
follow_bounds (publish_t *publish, const log_page_t *page)
{
  bool restarted
      = publish->started
        && (page->next < publish->cursor || last_differs (publish, page));
  publish->gap |= publish->started
                  && (publish->cursor < page->first
                      || (publish->own_offset >= 0
                          && publish->own_offset < page->first));
  if (restarted)
    {
      publish->gap = true;
      publish->cursor = 0;
      publish->won = false;
      publish->asked = false;
      memset (&publish->newest, 0, sizeof publish->newest);
    }
  if (!publish->started || restarted)
    publish->whole = page->first == 0;
  publish->started = true;
  if (publish->cursor < page->first)
    publish->cursor = page->first;
  return !restarted;
}

static void
wait_and_read (publish_t *publish, int64_t now_us)
{
  publish->step = PUBLISH_READ;
  publish->due_us = now_us + publish->options.retry_us;
}

/* Whether the log shows another winner of this version, and nothing of it was
   lost: the record came or would come after that one.  */
static bool
passed_by (const publish_t *publish)
{
  return !publish->won && publish->rival && !publish->gap;
}

/* The base is superseded by something else.  */
static void
conclude_conflict (publish_t *publish)
{
  if (!publish->tried || (passed_by (publish) && !publish->options.confirms))
    finish (publish, PUBLISH_CONFLICT);
  else if (passed_by (publish))
    publish->step = PUBLISH_CONFIRM;
  else
    finish (publish, PUBLISH_UNKNOWN);
}

/* Whether the newest in the log, when it has the base's version, is the base
   itself.  */
static bool
takes_base (publish_t *publish)
{
  const config_head_t *newest = &publish->newest;
  char *base_id = publish->record.base_id;
  if (newest->version != publish->record.base_version || newest->version == 0)
    return true;
  if (*base_id == '\0')
    memcpy (base_id, newest->publication_id, sizeof newest->publication_id);
  return strcmp (base_id, newest->publication_id) == 0;
}

/* The log is read to its end: what follows from it.  */
static void
decide (publish_t *publish, int64_t now_us)
{
  const config_head_t *newest = &publish->newest;
  if (publish->won && publish->options.confirms)
    publish->step = PUBLISH_CONFIRM;
  else if (publish->won)
    finish (publish, PUBLISH_RECORDED);
  else if (newest->version > publish->record.base_version
           || !takes_base (publish))
    conclude_conflict (publish);
  else if (publish->asked || newest->version < publish->record.base_version)
    wait_and_read (publish, now_us); /* the log is behind */
  else
    publish->step = PUBLISH_APPEND;
}

void
publish_read (publish_t *publish, const log_page_t *page, int64_t wall_ms,
              int64_t now_us)
{
  if (!follow_bounds (publish, page))
    return;
  for (size_t i = 0; i < page->count; i++)
    if (page->records[i].offset >= publish->cursor)
      {
        take_record (publish, &page->records[i], wall_ms);
        publish->last_hash
            = config_text_hash (page->records[i].data, page->records[i].size);
        publish->cursor = page->records[i].offset + 1;
      }
  if (publish->cursor >= page->next)
    decide (publish, now_us);
  else if (page->count == 0)
    wait_and_read (publish, now_us);
}

void
publish_appended (publish_t *publish, int64_t offset)
{
  publish->own_offset = offset;
  publish->asked = true;
  publish->step = PUBLISH_READ;
  if (!publish->options.checks_order)
    finish (publish, PUBLISH_IN_FORCE);
}

void
publish_failed (publish_t *publish, int64_t now_us)
{
  if (publish->step == PUBLISH_APPEND && !publish->options.looks_up)
    {
      finish (publish, PUBLISH_NOT_DONE);
      return;
    }
  if (publish->step == PUBLISH_CONFIRM)
    publish->due_us = now_us + publish->options.retry_us;
  else
    wait_and_read (publish, now_us);
}

void
publish_heard (publish_t *publish, const config_head_t *head, bool confirmed,
               int64_t now_us)
{
  if (publish->step != PUBLISH_CONFIRM)
    return;
  /* A later version counts when the log shows it built on this one.  */
  bool built_on = head->version > publish->mine.version && publish->built_on
                  && config_head_same (head, &publish->newest);
  if (confirmed && (config_head_same (head, &publish->mine) || built_on))
    finish (publish, PUBLISH_IN_FORCE);
  else if (confirmed
           && (head->version == publish->mine.version
               || (head->version > publish->mine.version
                   && passed_by (publish))))
    finish (publish, PUBLISH_CONFLICT);
  else
    wait_and_read (publish, now_us);
}

publish_result_t
publish_result (const publish_t *publish)
{
  return publish->result;
}

const config_head_t *
publish_newest (const publish_t *publish, const char **text)
{
  *text = publish->newest_text;
  return &publish->newest;
}
