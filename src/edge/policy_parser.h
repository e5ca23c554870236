#ifndef REDWINGFORD_POLICY_PARSER_H
#define REDWINGFORD_POLICY_PARSER_H

/* Parses configuration documents in a thread of its own, one after the other,
   while the loop goes on.  All functions and callbacks belong to the thread of
   the loop.  The thread starts with the first document.  */

#include "edge/event_log.h"
#include "mesh/dialect.h"

enum
{
  /* Documents that wait while another is being parsed.  The oldest makes room
     for one more.  */
  PARSER_WAITING_MAX = 4
};

typedef struct policy_parser_t policy_parser_t;

/* A document that has been parsed.  */
typedef struct parsed_document_t
{
  policy_t *policy; /* the callback takes it over; NULL is rejected */
  error_info_t error;
  const char *source;
  const char *text; /* borrowed until the callback returns */
  size_t size;
  int64_t parse_us; /* the time that the thread took */
  int64_t since_us; /* when the document was submitted, monotonic */
} parsed_document_t;

typedef struct policy_parser_handler_t
{
  /* Called in the order in which the documents were submitted, once in an
     iteration of the loop at most.  */
  void (*on_parsed) (void *ctx, const parsed_document_t *document);
  void *ctx; /* borrowed */
} policy_parser_handler_t;

/* LOOP, DIALECT and LOG are borrowed, HANDLER is copied.  */
policy_parser_t *policy_parser_new (loop_t *loop, const dialect_t *dialect,
                                    event_log_t *log,
                                    const policy_parser_handler_t *handler);

/* Waits for the document that is being parsed, and drops it and those that
   wait.  PARSER may be NULL.  */
void policy_parser_free (policy_parser_t *parser);

/* Copies TEXT and parses it later.  SOURCE is borrowed until then.  Returns
   false, and logs why, if there is no memory for the copy or no thread.  */
bool policy_parser_submit (policy_parser_t *parser, const char *text,
                           size_t size, const char *source);

/* Whether a document has been submitted whose callback is still to come.  */
bool policy_parser_is_busy (const policy_parser_t *parser);

#endif
