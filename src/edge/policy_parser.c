#include "edge/policy_parser.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

typedef struct job_t
{
  struct job_t *next;
  parsed_document_t document;
  char text[];
} job_t;

typedef struct job_list_t
{
  job_t *first;
  job_t **tail; /* next pointer of the last job */
  uint32_t count;
} job_list_t;

struct policy_parser_t
{
  loop_t *loop;
  const dialect_t *dialect;
  event_log_t *log;
  policy_parser_handler_t handler;
  ev_async parsed_watcher;
  uint32_t open_count; /* submitted, with the callback still to come */
  bool started;
  pthread_t thread;
  pthread_mutex_t lock; /* of the fields below; held for a few steps only */
  pthread_cond_t changed;
  job_list_t waiting;
  job_list_t parsed;
  bool stopping;
};

static void
list_init (job_list_t *list)
{
  *list = (job_list_t){ .tail = &list->first };
}

static void
list_append (job_list_t *list, job_t *job)
{
  job->next = NULL;
  *list->tail = job;
  list->tail = &job->next;
  list->count++;
}

/* Returns the first job, which is removed, or NULL.  */
static job_t *
list_take (job_list_t *list)
{
  job_t *job = list->first;
  if (job == NULL)
    return NULL;
  list->first = job->next;
  if (list->first == NULL)
    list->tail = &list->first;
  list->count--;
  return job;
}

static void
list_free (job_list_t *list)
{
  job_t *job;
  while ((job = list_take (list)) != NULL)
    {
      policy_free (job->document.policy);
      free (job);
    }
}

/* --- the thread -------------------------------------------------------- */

static void
parse (const policy_parser_t *parser, parsed_document_t *document)
{
  int64_t begin_us = clock_now_us (parser->loop->clock);
  document->policy = parser->dialect->parse_policy (
      document->text, document->size, &document->error);
  document->parse_us = clock_now_us (parser->loop->clock) - begin_us;
}

static void *
parse_documents (void *arg)
{
  policy_parser_t *parser = arg;
  pthread_mutex_lock (&parser->lock);
  while (!parser->stopping)
    {
      job_t *job = list_take (&parser->waiting);
      if (job == NULL)
        {
          pthread_cond_wait (&parser->changed, &parser->lock);
          continue;
        }
      pthread_mutex_unlock (&parser->lock);
      parse (parser, &job->document);
      pthread_mutex_lock (&parser->lock);
      list_append (&parser->parsed, job);
      ev_async_send (parser->loop->ev, &parser->parsed_watcher);
    }
  pthread_mutex_unlock (&parser->lock);
  return NULL;
}

/* Signals are for the thread of the loop.  */
static int
start_thread (policy_parser_t *parser)
{
  sigset_t all;
  sigset_t before;
  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &before);
  int error = pthread_create (&parser->thread, NULL, parse_documents, parser);
  pthread_sigmask (SIG_SETMASK, &before, NULL);
  parser->started = error == 0;
  return error;
}

/* --- the loop ---------------------------------------------------------- */

static void
on_parsed (struct ev_loop *ev, ev_async *watcher, int events)
{
  policy_parser_t *parser = watcher->data;
  (void)events;
  pthread_mutex_lock (&parser->lock);
  job_t *job = list_take (&parser->parsed);
  bool more = parser->parsed.first != NULL;
  pthread_mutex_unlock (&parser->lock);
  if (more)
    ev_async_send (ev, watcher);
  if (job == NULL)
    return;
  parser->open_count--;
  parser->handler.on_parsed (parser->handler.ctx, &job->document);
  free (job);
}

policy_parser_t *
policy_parser_new (loop_t *loop, const dialect_t *dialect, event_log_t *log,
                   const policy_parser_handler_t *handler)
{
  policy_parser_t *parser = calloc (1, sizeof *parser);
  if (parser == NULL)
    abort ();
  parser->loop = loop;
  parser->dialect = dialect;
  parser->log = log;
  parser->handler = *handler;
  list_init (&parser->waiting);
  list_init (&parser->parsed);
  pthread_mutex_init (&parser->lock, NULL);
  pthread_cond_init (&parser->changed, NULL);
  ev_async_init (&parser->parsed_watcher, on_parsed);
  parser->parsed_watcher.data = parser;
  ev_async_start (loop->ev, &parser->parsed_watcher);
  return parser;
}

void
policy_parser_free (policy_parser_t *parser)
{
  if (parser == NULL)
    return;
  pthread_mutex_lock (&parser->lock);
  parser->stopping = true;
  pthread_cond_signal (&parser->changed);
  pthread_mutex_unlock (&parser->lock);
  if (parser->started)
    pthread_join (parser->thread, NULL);
  ev_async_stop (parser->loop->ev, &parser->parsed_watcher);
  list_free (&parser->waiting);
  list_free (&parser->parsed);
  pthread_cond_destroy (&parser->changed);
  pthread_mutex_destroy (&parser->lock);
  free (parser);
}

static job_t *
job_new (const policy_parser_t *parser, const char *text, size_t size,
         const char *source)
{
  job_t *job = malloc (sizeof *job + size);
  if (job == NULL)
    return NULL;
  memcpy (job->text, text, size);
  job->document = (parsed_document_t){
    .source = source,
    .text = job->text,
    .size = size,
    .since_us = parser->loop->now_us,
  };
  return job;
}

/* Adds JOB to those that wait, and returns the one that makes room for it, or
   NULL.  */
static job_t *
add_waiting (policy_parser_t *parser, job_t *job)
{
  pthread_mutex_lock (&parser->lock);
  job_t *dropped = parser->waiting.count == PARSER_WAITING_MAX
                       ? list_take (&parser->waiting)
                       : NULL;
  list_append (&parser->waiting, job);
  pthread_cond_signal (&parser->changed);
  pthread_mutex_unlock (&parser->lock);
  return dropped;
}

bool
policy_parser_submit (policy_parser_t *parser, const char *text, size_t size,
                      const char *source)
{
  int error = parser->started ? 0 : start_thread (parser);
  job_t *job = error == 0 ? job_new (parser, text, size, source) : NULL;
  if (job == NULL)
    {
      event_log_write (parser->log, EVENT_LIFECYCLE, "parser-unavailable",
                       "error=\"%s\" bytes=%zu",
                       error != 0 ? strerror (error) : "no memory", size);
      return false;
    }
  parser->open_count++;
  job_t *dropped = add_waiting (parser, job);
  if (dropped == NULL)
    return true;
  event_log_write (parser->log, EVENT_STATE_CHANGE, "config-superseded",
                   "source=%s bytes=%zu", dropped->document.source,
                   dropped->document.size);
  parser->open_count--;
  free (dropped);
  return true;
}

bool
policy_parser_is_busy (const policy_parser_t *parser)
{
  return parser->open_count > 0;
}
