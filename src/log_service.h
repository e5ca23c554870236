#ifndef REDWINGFORD_LOG_SERVICE_H
#define REDWINGFORD_LOG_SERVICE_H

/* One stream of the platform's log service, as a table of callbacks.  Calls
   block, so only threads that may wait make them.  */

#include "errinfo.h"
#include "types.h"

typedef struct log_record_t
{
  int64_t offset;
  const char *data; /* SIZE bytes; borrowed from its page */
  size_t size;
} log_record_t;

typedef struct log_page_t
{
  int64_t first; /* oldest offset that the log still has */
  int64_t next;  /* offset that the next append gets */
  log_record_t *records;
  size_t count;
  void *owner;                /* what the records are borrowed from */
  void (*drop) (void *owner); /* may be NULL */
} log_page_t;

typedef struct log_service_t
{
  /* Appends a record and sets *offset.  After false with ERROR_UNAVAILABLE
     it may have been appended all the same, now or later.  */
  bool (*append) (void *ctx, const char *data, size_t size, int64_t *offset,
                  error_info_t *error);
  /* Up to MAX records from offset FROM on, or from the first that is left.
     Release the page with log_page_release.  */
  bool (*read) (void *ctx, int64_t from, size_t max, log_page_t *page,
                error_info_t *error);
  void *ctx; /* borrowed */
} log_service_t;

static inline void
log_page_release (log_page_t *page)
{
  if (page->drop != NULL)
    page->drop (page->owner);
  page->drop = NULL;
}

#endif
