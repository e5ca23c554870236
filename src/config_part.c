#include "config_part.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

struct config_part_t
{
  config_part_setup_t setup;
  pthread_mutex_t lock; /* guards config, fresh and stopping */
  pthread_cond_t wake;
  config_t *config;
  doc_t *fresh; /* put in force, not handed over yet */
  bool stopping;
  bool started;
  pthread_t poller;
  pthread_t applier;
};

static int64_t
now_us (const config_part_t *part)
{
  return clock_now_us (part->setup.clock);
}

/* Called under the lock: the document is handed over after it.  */
static void
keep_fresh (void *ctx, doc_t *doc)
{
  config_part_t *part = ctx;
  part->fresh = doc;
}

config_part_t *
config_part_new (const config_part_setup_t *setup)
{
  config_part_t *part = calloc (1, sizeof *part);
  config_callbacks_t callbacks = { keep_fresh, part };
  pthread_condattr_t monotonic;

  part->setup = *setup;
  pthread_mutex_init (&part->lock, NULL);
  pthread_condattr_init (&monotonic);
  pthread_condattr_setclock (&monotonic, CLOCK_MONOTONIC);
  pthread_cond_init (&part->wake, &monotonic);
  pthread_condattr_destroy (&monotonic);
  part->config = config_new (&setup->options, &setup->self, setup->link,
                             callbacks, setup->rng, now_us (part));
  config_set_wall (part->config, clock_wall_ms (setup->clock), now_us (part));
  return part;
}

/* Waits until DUE_US or a signal; the lock is held.  */
static void
wait_until (config_part_t *part, int64_t due_us)
{
  int64_t left_us = due_us - now_us (part);
  struct timespec until;
  if (left_us <= 0)
    return;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += left_us / US_PER_S;
  until.tv_nsec += left_us % US_PER_S * NS_PER_US;
  if (until.tv_nsec >= (long)US_PER_S * NS_PER_US)
    {
      until.tv_sec++;
      until.tv_nsec -= (long)US_PER_S * NS_PER_US;
    }
  pthread_cond_timedwait (&part->wake, &part->lock, &until);
}

static void
run_read (config_part_t *part, const config_job_t *job)
{
  error_info_t error = { .kind = ERROR_NONE };
  log_page_t page = { .drop = NULL };
  bool ok = part->setup.log.read (part->setup.log.ctx, job->from, job->max,
                                  &page, &error);
  if (!ok)
    log_write (LOG_PART_CONFIG, LOG_LEVEL_INFO, "%s", error.message);
  pthread_mutex_lock (&part->lock);
  if (ok)
    config_log_read (part->config, &page, now_us (part));
  else
    config_log_failed (part->config, now_us (part));
  pthread_cond_broadcast (&part->wake);
  pthread_mutex_unlock (&part->lock);
  log_page_release (&page);
}

static void
run_append (config_part_t *part, const config_job_t *job)
{
  error_info_t error = { .kind = ERROR_NONE };
  int64_t offset = 0;
  bool ok = part->setup.log.append (part->setup.log.ctx, job->record,
                                    job->size, &offset, &error);
  free (job->record);
  log_write (LOG_PART_CONFIG, LOG_LEVEL_NOTICE, "%s",
             ok ? "Put the newest document back into the log."
                : error.message);
  pthread_mutex_lock (&part->lock);
  if (ok)
    config_log_appended (part->config, offset, now_us (part));
  else
    config_log_failed (part->config, now_us (part));
  pthread_mutex_unlock (&part->lock);
}

static void *
poll_log (void *ctx)
{
  config_part_t *part = ctx;
  pthread_mutex_lock (&part->lock);
  while (!part->stopping)
    {
      config_job_t job = config_log_job (part->config, now_us (part));
      if (job.kind == CONFIG_JOB_NONE)
        {
          wait_until (part, job.due_us);
          continue;
        }
      pthread_mutex_unlock (&part->lock);
      if (job.kind == CONFIG_JOB_READ)
        run_read (part, &job);
      else
        run_append (part, &job);
      pthread_mutex_lock (&part->lock);
    }
  pthread_mutex_unlock (&part->lock);
  return NULL;
}

static void
report_applied (config_part_t *part, const config_head_t *head,
                const doc_errors_t *errors, bool applied)
{
  if (applied)
    log_write (LOG_PART_CONFIG, LOG_LEVEL_NOTICE,
               "Version %llu (%s) is in force.",
               (unsigned long long)head->version, head->publication_id);
  else if (errors->count > 0)
    log_write (LOG_PART_CONFIG, LOG_LEVEL_ERROR,
               "Version %llu is refused at \"%s\": %s",
               (unsigned long long)head->version, errors->items[0].path,
               errors->items[0].message);
  (void)part;
}

/* Parses TEXT without the lock and hands the document over.  */
static void
apply (config_part_t *part, const config_head_t *head, char *text)
{
  doc_errors_t errors = { .count = 0 };
  doc_t *doc = doc_parse (text, head->text_size, &errors);
  free (text);
  pthread_mutex_lock (&part->lock);
  config_apply_end (part->config, head, doc, &errors);
  doc_t *fresh = part->fresh;
  part->fresh = NULL;
  pthread_mutex_unlock (&part->lock);
  report_applied (part, head, &errors, fresh != NULL);
  if (fresh != NULL)
    part->setup.applied (part->setup.ctx, fresh);
}

static void *
apply_documents (void *ctx)
{
  enum
  {
    LOOK_US = 1 * US_PER_S
  };
  config_part_t *part = ctx;
  pthread_mutex_lock (&part->lock);
  while (!part->stopping)
    {
      config_head_t head;
      char *text = config_apply_begin (part->config, &head);
      if (text == NULL)
        {
          wait_until (part, now_us (part) + LOOK_US);
          continue;
        }
      pthread_mutex_unlock (&part->lock);
      apply (part, &head, text);
      pthread_mutex_lock (&part->lock);
    }
  pthread_mutex_unlock (&part->lock);
  return NULL;
}

void
config_part_start (config_part_t *part)
{
  part->started = true;
  pthread_create (&part->poller, NULL, poll_log, part);
  pthread_create (&part->applier, NULL, apply_documents, part);
}

void
config_part_free (config_part_t *part)
{
  if (part == NULL)
    return;
  pthread_mutex_lock (&part->lock);
  part->stopping = true;
  pthread_cond_broadcast (&part->wake);
  pthread_mutex_unlock (&part->lock);
  if (part->started)
    {
      pthread_join (part->poller, NULL);
      pthread_join (part->applier, NULL);
    }
  config_free (part->config);
  pthread_cond_destroy (&part->wake);
  pthread_mutex_destroy (&part->lock);
  free (part);
}

static void
part_receive (void *ctx, vm_id_t from, const void *data, size_t size,
              int64_t now_us)
{
  config_part_t *part = ctx;
  pthread_mutex_lock (&part->lock);
  if (!config_receive (part->config, from, data, size, now_us))
    log_write (LOG_PART_CONFIG, LOG_LEVEL_INFO,
               "Dropped a malformed message.");
  pthread_cond_broadcast (&part->wake);
  pthread_mutex_unlock (&part->lock);
}

static int64_t
part_tick (void *ctx, int64_t now_us)
{
  config_part_t *part = ctx;
  pthread_mutex_lock (&part->lock);
  config_set_wall (part->config, clock_wall_ms (part->setup.clock), now_us);
  int64_t due_us = config_tick (part->config, now_us);
  pthread_mutex_unlock (&part->lock);
  return due_us;
}

void
config_part_get_status (config_part_t *part, config_status_t *status)
{
  pthread_mutex_lock (&part->lock);
  config_get_status (part->config, status, now_us (part));
  pthread_mutex_unlock (&part->lock);
}

static json_t *
part_status (void *ctx)
{
  config_status_t s;
  config_part_get_status (ctx, &s);
  json_t *json = json_pack (
      "{s:I, s:s, s:I, s:s, s:b, s:b, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I}",
      "version", (json_int_t)s.head.version, "publication_id",
      s.head.publication_id, "in_force", (json_int_t)s.in_force, "in_force_id",
      s.in_force_id, "anchored", s.head.anchored, "confirmed", s.confirmed,
      "poller", s.poller, "log_up", s.log_up, "log_next",
      (json_int_t)s.log_next, "log_reads", (json_int_t)s.reads, "log_appends",
      (json_int_t)s.appends, "pulls", (json_int_t)s.pulls, "lost",
      (json_int_t)s.lost, "bad_records", (json_int_t)s.bad_records);
  if (s.refused.kind != ERROR_NONE)
    json_object_set_new (json, "refused",
                         json_pack ("{s:s, s:s}", "path", s.refused.path,
                                    "message", s.refused.message));
  return json;
}

part_t
config_part_part (config_part_t *part)
{
  return (part_t){ .name = "config",
                   .kind = MESSAGE_CONFIG,
                   .receive = part_receive,
                   .tick = part_tick,
                   .status = part_status,
                   .ctx = part };
}

void
config_part_set_peers (config_part_t *part, const config_peer_t *peers,
                       size_t count)
{
  pthread_mutex_lock (&part->lock);
  config_set_peers (part->config, peers, count);
  pthread_mutex_unlock (&part->lock);
}

char *
config_part_text (config_part_t *part)
{
  size_t size;
  pthread_mutex_lock (&part->lock);
  char *text = strdup (config_text (part->config, &size));
  pthread_mutex_unlock (&part->lock);
  return text;
}
