#ifndef REDWINGFORD_CONFIG_PUBLISH_H
#define REDWINGFORD_CONFIG_PUBLISH_H

/* Publishing one document, as decisions only: reads the log to see what is
   newest, appends when the base still is, and reads on to see whether the
   record won.  An append whose answer is lost is looked for before it is
   repeated, and a repeated record counts once.  At last a daemon confirms,
   since a log that came back without its newest records shows a past order. */

#include "config_head.h"
#include "log_service.h"

typedef enum publish_result_t
{
  PUBLISH_PENDING,
  PUBLISH_IN_FORCE, /* a daemon confirmed it, or what was built on it */
  PUBLISH_RECORDED, /* won in the log; no daemon confirmed it */
  PUBLISH_CONFLICT, /* the base is not the newest; will not be in force */
  PUBLISH_NOT_DONE, /* nothing was appended */
  PUBLISH_UNKNOWN   /* may come into force; the same again tells */
} publish_result_t;

typedef enum publish_step_t
{
  PUBLISH_WAIT, /* until due_us */
  PUBLISH_READ, /* the log */
  PUBLISH_APPEND,
  PUBLISH_CONFIRM, /* ask a daemon for its head */
  PUBLISH_DONE
} publish_step_t;

typedef struct publish_job_t
{
  publish_step_t step;
  int64_t due_us;
  int64_t from; /* READ */
  size_t max;   /* READ: records */
  char *record; /* APPEND: the caller frees it */
  size_t size;
} publish_job_t;

typedef struct publish_options_t
{
  int64_t timeout_us; /* for all of it */
  int64_t retry_us;   /* between two tries */
  bool confirms;      /* off: the log's order is enough */
  bool looks_up;      /* off: a failed append is taken for not done */
  bool checks_order;  /* off: an answered append is taken for accepted */
  config_rules_t rules;
} publish_options_t;

extern const publish_options_t publish_options_default;

typedef struct publish_t publish_t;

/* Publishes TEXT, whose version is BASE's plus one; of BASE only the version
   and the publication id are used, and without an id the one in the log is
   taken.  Copies all.  Free with publish_free.  */
publish_t *publish_new (const publish_options_t *options,
                        const config_head_t *base, const char *publication_id,
                        const char *text, size_t size, int64_t now_us);
void publish_free (publish_t *publish);

/* What to do next; its outcome goes to one of the functions below.  */
publish_job_t publish_next (publish_t *publish, int64_t wall_ms,
                            int64_t now_us);
void publish_read (publish_t *publish, const log_page_t *page, int64_t wall_ms,
                   int64_t now_us);
void publish_appended (publish_t *publish, int64_t offset);
void publish_failed (publish_t *publish, int64_t now_us);
/* A daemon's head; CONFIRMED is its config_status_t's.  */
void publish_heard (publish_t *publish, const config_head_t *head,
                    bool confirmed, int64_t now_us);

publish_result_t publish_result (const publish_t *publish);

/* The newest head seen in the log and its text (borrowed, NUL-terminated, ""
   when none): what the loser of a conflict has to look at.  */
const config_head_t *publish_newest (const publish_t *publish,
                                     const char **text);

#endif
