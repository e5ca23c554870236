#include "console_action.h"

#include <stdlib.h>
#include <string.h>

#include "edit.h"

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
  STATUS_UNAVAILABLE = 503,
  ACTION_TRIES = 8
};

/* One edit on its way: what is in force, and what it would become.  */
typedef struct change_t
{
  publish_current_t current;
  doc_t *current_doc;
  publish_draft_t draft;
  char *sentences;
} change_t;

/* What a form asks for.  */
typedef struct action_t
{
  publish_edit_t edit;
  void *ctx;
  const doc_section_t *section; /* of /edit, else NULL */
  const form_t *form;
} action_t;

static const doc_section_t *
find_section (const char *name)
{
  for (size_t i = 0; i < DOC_SECTION_COUNT; i++)
    if (strcmp (doc_sections[i].name, name) == 0)
      return &doc_sections[i];
  return NULL;
}

static page_t
page_of (const console_request_t *request, const config_head_t *head,
         json_t *root)
{
  return (page_t){ request->operator_name, request->token, head, root };
}

static doc_t *
parse_text (const char *text)
{
  doc_errors_t errors;
  return text != NULL ? doc_parse (text, strlen (text), &errors) : NULL;
}

/* What changes, NULL when one side is not known.  */
static char *
sentences (const doc_t *from, const doc_t *to)
{
  return from != NULL && to != NULL ? doc_diff (from, to) : NULL;
}

/* Reads what is in force; on failure the page says why.  */
static bool
fetch (const console_request_t *request, doc_version_t base,
       publish_current_t *current, FILE *out)
{
  error_info_t error = { .kind = ERROR_NONE };
  if (publish_fetch (request->env, base, current, &error))
    return true;
  config_head_t none = { .version = 0 };
  page_t page = page_of (request, &none, NULL);
  page_error (out, &page, error.message);
  return false;
}

unsigned
console_get (const console_request_t *request, const char *url, FILE *out)
{
  publish_current_t current;
  unsigned status = STATUS_OK;
  if (!fetch (request, 0, &current, out))
    return STATUS_UNAVAILABLE;

  json_t *root = json_loads (current.text, 0, NULL);
  page_t page = page_of (request, &current.head, root);
  const doc_section_t *section = find_section (url + 1);
  if (strcmp (url, "/") == 0)
    {
      page_begin (out, &page, "In force");
      page_overview (out, &page);
      page_end (out);
    }
  else if (strcmp (url, "/misspelled") == 0)
    page_misspelled (out, &page, request->misspelled);
  else if (section != NULL)
    page_section (out, &page, section, NULL, NULL);
  else
    {
      page_error (out, &page, "There is no such page; use the links above.");
      status = STATUS_NOT_FOUND;
    }
  json_decref (root);
  publish_current_free (&current);
  return status;
}

/* A publish_edit_t for one object of a section.  */
static bool
edit_object (void *ctx, json_t *root, error_info_t *error)
{
  const action_t *action = ctx;
  const doc_section_t *section = action->section;
  const char *was = form_get (action->form, "was");
  json_t *array = json_object_get (root, section->name);
  json_t *object
      = edit_find (root, section->name, section->fields[0].name, was);
  bool removes = strcmp (form_get (action->form, "act"), "remove") == 0;

  if (*was != '\0' && object == NULL)
    return error_set (error, ERROR_CONFLICT, NULL,
                      "%.60s is no longer in %s; look at the newest version",
                      was, section->name);
  if (array == NULL)
    {
      array = json_array ();
      json_object_set_new (root, section->name, array);
    }
  if (object == NULL)
    {
      object = json_object ();
      json_array_append_new (array, object);
    }
  for (size_t i = 0; removes && i < json_array_size (array); i++)
    if (json_array_get (array, i) == object)
      return json_array_remove (array, i) == 0;
  form_fill (action->form, section, object);
  return true;
}

static void
change_drop (change_t *change)
{
  publish_current_free (&change->current);
  doc_free (change->current_doc);
  publish_draft_free (&change->draft);
  free (change->sentences);
}

static unsigned
show_refusal (const console_request_t *request, const action_t *action,
              change_t *change, const error_info_t *error,
              const doc_errors_t *errors, FILE *out)
{
  json_t *root = json_loads (change->current.text, 0, NULL);
  page_t page = page_of (request, &change->current.head, root);
  if (error->kind != ERROR_NONE)
    page_error (out, &page, error->message);
  else if (action->section != NULL)
    page_section (out, &page, action->section, action->form, errors);
  else
    page_error (out, &page, errors->items[0].message);
  json_decref (root);
  return STATUS_BAD_REQUEST;
}

/* Applies the action to what is in force now.  Returns 0 or, with the page
   written, a status.  */
static unsigned
change_make (const console_request_t *request, const action_t *action,
             change_t *change, FILE *out)
{
  doc_version_t base = strtoull (form_get (action->form, "base"), NULL, 10);
  error_info_t error = { .kind = ERROR_NONE };
  doc_errors_t errors = { .count = 0 };
  memset (change, 0, sizeof *change);
  if (!fetch (request, base, &change->current, out))
    return STATUS_UNAVAILABLE;

  change->current_doc = parse_text (change->current.text);
  json_t *root = json_loads (change->current.text, 0, NULL);
  if (root == NULL)
    root = json_object ();
  bool ok = action->edit (action->ctx, root, &error)
            && publish_draft_make (root, &change->current.head, &change->draft,
                                   &errors);
  json_decref (root);
  if (!ok)
    return show_refusal (request, action, change, &error, &errors, out);
  change->sentences = sentences (change->current_doc, change->draft.doc);
  return 0;
}

static unsigned
show_conflict (const console_request_t *request, const action_t *action,
               const change_t *change, FILE *out)
{
  doc_t *base = parse_text (change->current.base_text);
  char *theirs = sentences (base, change->current_doc);
  page_t page = page_of (request, &change->current.head, NULL);
  page_conflict (out, &page, action->form, theirs, change->sentences);
  free (theirs);
  doc_free (base);
  return STATUS_CONFLICT;
}

static unsigned
show_result (const console_request_t *request, const change_t *change,
             publish_result_t result, const char *key, FILE *out)
{
  page_t page = page_of (request, &change->draft.base, NULL);
  page_result (out, &page, result, change->draft.doc->version,
               change->sentences, key);
  return result == PUBLISH_IN_FORCE || result == PUBLISH_RECORDED
             ? STATUS_OK
             : STATUS_UNAVAILABLE;
}

/* Publishes the action.  One that changes a form's object stops when its base
   is not the newest; the others keep their meaning and go on.  */
static unsigned
act (const console_request_t *request, const action_t *action, const char *key,
     FILE *out)
{
  doc_version_t base = strtoull (form_get (action->form, "base"), NULL, 10);
  unsigned status = 0;
  for (int i = 0; i < ACTION_TRIES && status == 0; i++)
    {
      change_t change;
      status = change_make (request, action, &change, out);
      bool moved = status == 0 && action->section != NULL
                   && base != change.current.head.version;
      if (moved)
        status = show_conflict (request, action, &change, out);
      else if (status == 0)
        {
          publish_result_t result
              = change.sentences == NULL || *change.sentences != '\0'
                    ? publish_run (request->env, &change.draft)
                    : PUBLISH_IN_FORCE;
          if (result != PUBLISH_CONFLICT)
            status = show_result (request, &change, result, key, out);
        }
      change_drop (&change);
    }
  return status != 0 ? status : STATUS_UNAVAILABLE;
}

static unsigned
not_found (const console_request_t *request, FILE *out)
{
  config_head_t none = { .version = 0 };
  page_t page = page_of (request, &none, NULL);
  page_error (out, &page, "There is no such form.");
  return STATUS_NOT_FOUND;
}

unsigned
console_post (const console_request_t *request, const char *url, form_t *form,
              FILE *out)
{
  edit_t edit
      = { .kind = form_get (form, "kind"), .name = form_get (form, "name") };
  action_t action = { .ctx = &edit, .form = form };
  const char *key = NULL;

  form_add (form, "action", url, strlen (url));
  if (strcmp (url, "/edit") == 0)
    {
      action.section = find_section (form_get (form, "section"));
      action.edit = action.section != NULL ? edit_object : NULL;
      action.ctx = &action;
    }
  else if (strcmp (url, "/out") == 0)
    {
      action.edit = edit_set_out;
      edit.out = strcmp (form_get (form, "out"), "yes") == 0;
    }
  else if (strcmp (url, "/key") == 0)
    {
      edit.name = form_get (form, "account");
      edit.key_id = form_get (form, "key");
      bool makes = *edit.key_id == '\0';
      action.edit = makes ? edit_new_key : edit_withdraw_key;
      key = makes ? edit.key_text : NULL;
    }
  else if (strcmp (url, "/alias") == 0)
    {
      edit.name = form_get (form, "from");
      edit.to = form_get (form, "to");
      action.edit = edit_add_alias;
    }
  return action.edit != NULL ? act (request, &action, key, out)
                             : not_found (request, out);
}
