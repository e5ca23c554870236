#ifndef REDWINGFORD_PAGE_H
#define REDWINGFORD_PAGE_H

/* The console's pages as HTML without scripts.  Everything that comes from
   the document, a caller or an operator is escaped.  */

#include <stdio.h>

#include "form.h"
#include "publish_run.h"

/* What every page shows or sends along.  Borrowed.  */
typedef struct page_t
{
  const char *operator_name;
  const char *token; /* against posts from other sites */
  const config_head_t *head;
  json_t *root; /* the document in force */
} page_t;

/* Writes TEXT with <, >, &, " and ' escaped.  */
void page_text (FILE *out, const char *text);

void page_begin (FILE *out, const page_t *page, const char *title);
void page_end (FILE *out);

/* The first page: what is in force, in numbers.  */
void page_overview (FILE *out, const page_t *page);

/* The objects of a section, a form for each and one for a new one.  When an
   edit was refused, FORM is what was sent and ERRORS says why; both may be
   NULL.  */
void page_section (FILE *out, const page_t *page, const doc_section_t *section,
                   const form_t *form, const doc_errors_t *errors);

/* Someone else published since FORM was shown: both changes in sentences,
   NULL when not known, and a button that publishes this one on the newest.  */
void page_conflict (FILE *out, const page_t *page, const form_t *form,
                    const char *theirs, const char *mine);

/* What became of a publication; CHANGES is NULL for the first one.  KEY is a
   new key to be shown once, or NULL.  */
void page_result (FILE *out, const page_t *page, publish_result_t result,
                  doc_version_t version, const char *changes, const char *key);

void page_error (FILE *out, const page_t *page, const char *message);

/* Misspelled names that the daemons saw: an array of objects with "name",
   "nearest" and "count".  */
void page_misspelled (FILE *out, const page_t *page, json_t *names);

#endif
