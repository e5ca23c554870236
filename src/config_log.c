#include "config_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum
{
  READ_RECORDS = 32,
  PLAIN_READS = 30,  /* between two reads that check the last record */
  TAIL_RECORDS = 64, /* read by a poller that has a head already */
  BACKOFF_MAX = 8,
  CHECK_US = 100 * US_PER_MS /* between looks whether to become a poller */
};

/* Period of a poller, such that the fleet keeps within its reads.  */
static int64_t
poll_period_us (const config_t *config)
{
  int64_t shared = (int64_t)config->pollers * US_PER_S
                   / (int64_t)config->options.reads_per_s_max;
  return shared > config->options.poll_us ? shared : config->options.poll_us;
}

static int64_t
with_jitter (const config_t *config, int64_t period_us)
{
  return period_us / 2 + (int64_t)rng_below (config->rng, (uint64_t)period_us);
}

/* Besides pollers, a daemon that no peer tells anything reads the log.  */
static bool
reads_log (const config_t *config, int64_t now_us)
{
  if (config->poller || config->log.append_wanted
      || now_us >= config->heard_us + config->options.silence_us)
    return true;
  if (config->head.version > 0)
    return false;
  return now_us >= config->started_us + config->options.starter_wait_us
         || config->peer_count == 0;
}

static config_job_t
append_job (config_t *config, int64_t now_us)
{
  config_record_t record = {
    .kind = CONFIG_SNAPSHOT,
    .version = config->head.version,
    .base_version = config->head.version - 1,
    .appended_ms = config_wall_ms (config, now_us),
    .accepted_ms = config->head.accepted_ms,
    .text = config->text->data,
    .size = config->text->size,
  };
  memcpy (record.publication_id, config->head.publication_id,
          sizeof record.publication_id);
  config_job_t job = { .kind = CONFIG_JOB_APPEND, .due_us = now_us };
  job.record = config_record_format (&record, &job.size);
  config->log.append_wanted = false;
  config->appends++;
  return job;
}

static config_job_t
read_job (config_t *config, int64_t now_us)
{
  const config_log_state_t *log = &config->log;
  config_job_t job = { .kind = CONFIG_JOB_READ, .due_us = now_us };
  job.from = log->cursor;
  job.max = READ_RECORDS;
  /* With a head in hand the end of the log is enough: find it first.  */
  if (!log->started && config->head.version > 0)
    job.max = 1;
  if (log->checks_last && log->last_hash != 0)
    job.from--;
  config->reads++;
  return job;
}

config_job_t
config_log_job (config_t *config, int64_t now_us)
{
  config_log_state_t *log = &config->log;
  config_job_t none = { .kind = CONFIG_JOB_NONE };
  none.due_us = now_us + CHECK_US;
  if (log->busy || !reads_log (config, now_us) || now_us < log->poll_due_us)
    return none;
  log->busy = true;
  return log->append_wanted ? append_job (config, now_us)
                            : read_job (config, now_us);
}

static void
take_record (config_t *config, const log_record_t *entry, int64_t now_us)
{
  config_log_state_t *log = &config->log;
  config_record_t record;
  if (!config_record_parse (entry->data, entry->size, &record))
    {
      config->bad_records++;
      return;
    }
  config_head_t head = config->head;
  config_verdict_t verdict
      = config_head_offer (&head, &config->options.rules, &record, log->whole,
                           config_wall_ms (config, now_us));
  switch (verdict)
    {
    case CONFIG_TAKEN:
      /* The log may lack what others have read in it.  */
      if (record.kind == CONFIG_PUBLICATION && now_us < config->unsure_us
          && config->options.doubts)
        head.anchored = false;
      config_take_head (config, &head,
                        config_text_new (record.text, record.size), now_us);
      break;
    case CONFIG_REPEATED:
      config->head = head;
      break;
    case CONFIG_LOST:
      config->lost++;
      return;
    case CONFIG_OLDER:
      return;
    }
  log->head_offset = entry->offset;
  log->head_ms = record.appended_ms;
  log->head_read_us = now_us;
}

/* Whether the record before the cursor is another one than was read: the log
   lost records and has got new ones since.  */
static bool
last_differs (const config_log_state_t *log, const log_page_t *page)
{
  if (log->last_hash == 0 || page->count == 0
      || page->records[0].offset != log->cursor - 1)
    return false;
  return log->last_hash
         != config_text_hash (page->records[0].data, page->records[0].size);
}

/* Where to go on, given what the log has now.  False when it went back, so
   that it has to be read again from its beginning.  */
static bool
follow_bounds (config_t *config, const log_page_t *page, int64_t now_us)
{
  config_log_state_t *log = &config->log;
  if (!log->started)
    {
      log->started = true;
      log->whole = page->first == 0 && config->head.version == 0;
      log->cursor = page->first;
      if (config->head.version > 0 && page->next - TAIL_RECORDS > page->first)
        log->cursor = page->next - TAIL_RECORDS;
    }
  else if (page->next < log->cursor || last_differs (log, page))
    {
      /* Restarted empty, or behind what it had.  */
      config->unsure_us = now_us + config->options.settle_us;
      log->cursor = 0;
      log->last_hash = 0;
      log->whole = false;
      log->head_offset = CONFIG_OFFSET_NONE;
      return false;
    }
  if (log->cursor < page->first)
    {
      log->whole = false;
      config->unsure_us = now_us + config->options.settle_us;
      log->cursor = page->first;
    }
  if (log->head_offset < page->first)
    log->head_offset = CONFIG_OFFSET_NONE;
  return true;
}

/* One of the pollers is to append, without a leader: each tries its luck, the
   more so the longer none has.  */
static bool
wins_turn (config_t *config)
{
  double chance
      = ldexp (2.0 / (double)config->pollers, (int)config->log.missing_rounds);
  if (config->log.missing_rounds < 32)
    config->log.missing_rounds++;
  return rng_chance (config->rng, chance);
}

static bool
head_needs_append (const config_t *config, int64_t now_us)
{
  const config_log_state_t *log = &config->log;
  if (log->head_offset == CONFIG_OFFSET_NONE)
    return config->options.puts_back;
  /* The appender's clock may be ahead of this one.  */
  int64_t age_us = now_us - log->head_read_us;
  int64_t told_us
      = (config_wall_ms (config, now_us) - log->head_ms) * US_PER_MS;
  if (told_us > age_us)
    age_us = told_us;
  return config->options.renews && age_us > config->options.retention_us / 2;
}

static void
settle (config_t *config, int64_t now_us)
{
  if (config->head.version > 0 && !config->head.anchored
      && now_us - config->unanchored_us >= config->options.settle_us)
    config->head.anchored = true;
}

void
config_log_read (config_t *config, const log_page_t *page, int64_t now_us)
{
  config_log_state_t *log = &config->log;
  log->busy = false;
  log->up = true;
  log->failures = 0;
  log->poll_due_us = now_us;
  if (!follow_bounds (config, page, now_us))
    return;
  /* News count only together with the record before them.  */
  if (page->count > 0 && !log->checks_last && log->last_hash != 0)
    {
      log->checks_last = true;
      return;
    }
  log->plain_reads = log->checks_last ? 0 : log->plain_reads + 1;
  log->checks_last = log->plain_reads >= PLAIN_READS;

  for (size_t i = 0; i < page->count; i++)
    if (page->records[i].offset >= log->cursor)
      {
        take_record (config, &page->records[i], now_us);
        log->cursor = page->records[i].offset + 1;
        log->last_hash
            = config_text_hash (page->records[i].data, page->records[i].size);
      }

  log->at_end = log->cursor >= page->next;
  log->checks_last |= !log->at_end;
  if (!log->at_end && page->count > 0)
    return;
  log->poll_due_us = now_us + with_jitter (config, poll_period_us (config));
  settle (config, now_us);
  if (!config->head.anchored || !log->at_end)
    return;
  if (!head_needs_append (config, now_us))
    log->missing_rounds = 0;
  else if (wins_turn (config))
    {
      log->append_wanted = true;
      log->poll_due_us = now_us;
    }
}

void
config_log_appended (config_t *config, int64_t offset, int64_t now_us)
{
  config_log_state_t *log = &config->log;
  log->busy = false;
  log->up = true;
  log->failures = 0;
  log->missing_rounds = 0;
  log->head_offset = offset;
  log->head_ms = config_wall_ms (config, now_us);
  log->head_read_us = now_us;
  log->poll_due_us = now_us;
}

void
config_log_failed (config_t *config, int64_t now_us)
{
  config_log_state_t *log = &config->log;
  log->busy = false;
  log->up = false;
  log->checks_last = true;
  if (log->failures < BACKOFF_MAX)
    log->failures++;
  int64_t period = poll_period_us (config);
  log->poll_due_us
      = now_us + with_jitter (config, log->failures > 2 ? 2 * period : period);
}
