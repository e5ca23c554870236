#include "publish_run.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  READ_RECORDS = 64,
  EDIT_TRIES = 8,
  ID_HASH_BYTES = 16
};

static void
keep_text (char **text, const config_record_t *record)
{
  free (*text);
  *text = strndup (record->text, record->size);
}

static void
take_page (publish_current_t *current, doc_version_t base,
           const log_page_t *page, bool whole, int64_t wall_ms,
           int64_t *cursor)
{
  for (size_t i = 0; i < page->count; i++)
    {
      const log_record_t *entry = &page->records[i];
      config_record_t record;
      *cursor = entry->offset + 1;
      if (!config_record_parse (entry->data, entry->size, &record))
        continue;
      config_verdict_t verdict = config_head_offer (
          &current->head, &config_rules_all, &record, whole, wall_ms);
      if (verdict == CONFIG_TAKEN)
        keep_text (&current->text, &record);
      if (verdict == CONFIG_TAKEN && record.version == base)
        keep_text (&current->base_text, &record);
    }
}

bool
publish_fetch (const publish_env_t *env, doc_version_t base,
               publish_current_t *current, error_info_t *error)
{
  int64_t cursor = 0;
  bool more = true;
  bool whole = false;

  *current = (publish_current_t){ .text = strdup ("") };
  for (bool first = true; more; first = false)
    {
      log_page_t page = { .drop = NULL };
      if (!env->log.read (env->log.ctx, cursor, READ_RECORDS, &page, error))
        {
          publish_current_free (current);
          return false;
        }
      if (first)
        whole = page.first == 0;
      take_page (current, base, &page, whole, clock_wall_ms (env->clock),
                 &cursor);
      more = page.count > 0 && cursor < page.next;
      log_page_release (&page);
    }
  return true;
}

void
publish_current_free (publish_current_t *current)
{
  free (current->text);
  free (current->base_text);
  current->text = NULL;
  current->base_text = NULL;
}

static void
set_head (json_t *root, const config_head_t *base, const char *id)
{
  json_object_set_new (root, "version",
                       json_integer ((json_int_t)base->version + 1));
  json_object_set_new (root, "base_version",
                       json_integer ((json_int_t)base->version));
  json_object_set_new (root, "publication_id", json_string (id));
}

static doc_t *
parse_root (const json_t *root, doc_errors_t *errors)
{
  char *text = json_dumps (root, JSON_COMPACT);
  doc_t *doc = doc_parse (text, strlen (text), errors);
  free (text);
  return doc;
}

static void
hash_id (const char *text, char *id)
{
  uint8_t hash[ID_HASH_BYTES];
  crypto_generichash (hash, sizeof hash, (const unsigned char *)text,
                      strlen (text), NULL, 0);
  sodium_bin2hex (id, REQUEST_ID_BYTES, hash, sizeof hash);
}

bool
publish_draft_make (json_t *root, const config_head_t *base,
                    publish_draft_t *draft, doc_errors_t *errors)
{
  *draft = (publish_draft_t){ .base = *base };
  set_head (root, base, "draft");
  doc_t *doc = parse_root (root, errors);
  if (doc == NULL)
    return false;
  char *text = doc_format (doc);
  doc_free (doc);
  hash_id (text, draft->id);
  free (text);

  set_head (root, base, draft->id);
  draft->doc = parse_root (root, errors);
  draft->text = doc_format (draft->doc);
  return true;
}

void
publish_draft_free (publish_draft_t *draft)
{
  free (draft->text);
  doc_free (draft->doc);
  draft->text = NULL;
  draft->doc = NULL;
}

static void
wait_until (const publish_env_t *env, int64_t due_us)
{
  int64_t left_us = due_us - clock_now_us (env->clock);
  struct timespec left
      = { left_us / US_PER_S, left_us % US_PER_S * NS_PER_US };
  if (left_us > 0)
    nanosleep (&left, NULL);
}

static void
step_read (const publish_env_t *env, publish_t *publish,
           const publish_job_t *job)
{
  log_page_t page = { .drop = NULL };
  if (env->log.read (env->log.ctx, job->from, job->max, &page, NULL))
    publish_read (publish, &page, clock_wall_ms (env->clock),
                  clock_now_us (env->clock));
  else
    publish_failed (publish, clock_now_us (env->clock));
  log_page_release (&page);
}

static void
step_append (const publish_env_t *env, publish_t *publish,
             const publish_job_t *job)
{
  int64_t offset;
  if (env->log.append (env->log.ctx, job->record, job->size, &offset, NULL))
    publish_appended (publish, offset);
  else
    publish_failed (publish, clock_now_us (env->clock));
  free (job->record);
}

static void
step_confirm (const publish_env_t *env, publish_t *publish)
{
  config_head_t head;
  bool confirmed;
  if (env->ask != NULL && env->ask (env->ask_ctx, &head, &confirmed))
    publish_heard (publish, &head, confirmed, clock_now_us (env->clock));
  else
    publish_failed (publish, clock_now_us (env->clock));
}

publish_result_t
publish_run (const publish_env_t *env, const publish_draft_t *draft)
{
  publish_options_t options = publish_options_default;
  options.confirms = env->ask != NULL;
  publish_t *publish
      = publish_new (&options, &draft->base, draft->id, draft->text,
                     strlen (draft->text), clock_now_us (env->clock));
  for (;;)
    {
      publish_job_t job = publish_next (publish, clock_wall_ms (env->clock),
                                        clock_now_us (env->clock));
      if (job.step == PUBLISH_DONE)
        break;
      if (job.step == PUBLISH_WAIT)
        wait_until (env, job.due_us);
      else if (job.step == PUBLISH_READ)
        step_read (env, publish, &job);
      else if (job.step == PUBLISH_APPEND)
        step_append (env, publish, &job);
      else
        step_confirm (env, publish);
    }
  publish_result_t result = publish_result (publish);
  publish_free (publish);
  return result;
}

const char *
publish_result_text (publish_result_t result)
{
  static const char *const texts[] = {
    [PUBLISH_PENDING] = "not finished",
    [PUBLISH_IN_FORCE] = "in force: a daemon confirmed it",
    [PUBLISH_RECORDED]
    = "recorded in the log, but no daemon confirmed it; ask "
      "a daemon's status before relying on it",
    [PUBLISH_CONFLICT] = "not published: the base is not the newest version; "
                         "look at what changed and publish on the newest",
    [PUBLISH_NOT_DONE] = "not published: the log service did not answer in "
                         "time; the same command may be repeated safely",
    [PUBLISH_UNKNOWN] = "unknown: the record may be in the log or come into "
                        "force later; repeat the same command to learn which",
  };
  return texts[result];
}

/* One round of publish_edit; false when it ended with *result.  */
static bool
try_edit (const publish_env_t *env, publish_edit_t edit, void *ctx,
          doc_version_t *version, publish_result_t *result,
          error_info_t *error)
{
  publish_current_t current;
  doc_errors_t errors = { .count = 0 };
  *result = PUBLISH_NOT_DONE;
  if (!publish_fetch (env, 0, &current, error))
    return false;

  json_t *root = json_loads (current.text, 0, NULL);
  if (root == NULL)
    error_set (error, ERROR_DOCUMENT, NULL,
               "no document is published yet; publish a first one with "
               "redwingford publish FILE --base 0");
  json_t *before = json_deep_copy (root);
  bool edited = root != NULL && edit (ctx, root, error);
  bool changed = edited && !json_equal (before, root);
  *version = current.head.version + changed;
  if (edited && !changed)
    *result = PUBLISH_IN_FORCE;

  publish_draft_t draft = { .text = NULL };
  if (changed && !publish_draft_make (root, &current.head, &draft, &errors))
    error_set (error, ERROR_DOCUMENT, errors.items[0].path, "%s: %s",
               errors.items[0].path, errors.items[0].message);
  else if (changed)
    *result = publish_run (env, &draft);
  publish_draft_free (&draft);
  publish_current_free (&current);
  json_decref (before);
  json_decref (root);
  return *result == PUBLISH_CONFLICT;
}

publish_result_t
publish_edit (const publish_env_t *env, publish_edit_t edit, void *ctx,
              doc_version_t *version, error_info_t *error)
{
  publish_result_t result = PUBLISH_CONFLICT;
  for (int i = 0; i < EDIT_TRIES; i++)
    if (!try_edit (env, edit, ctx, version, &result, error))
      break;
  return result;
}
