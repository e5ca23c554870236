#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "admit.h"
#include "call.h"
#include "headers.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum
{
  SIGNED_MAX = 2048
};

/* Both sealed headers, from bytes signed with the fleet's secret.  */
static void
fuzz_sealed (const seal_t *seal, const uint8_t *data, size_t size)
{
  uint8_t bytes[SIGNED_MAX + SEAL_BYTES];
  char text[2 * sizeof bytes + 1];
  char again[CALL_HEADER_BYTES];
  call_t call;
  call_report_t report;

  if (size > SIGNED_MAX)
    return;
  memcpy (bytes, data, size);
  seal_sign (seal, bytes, size, bytes + size);
  sodium_bin2hex (text, sizeof text, bytes, size + SEAL_BYTES);
  if (call_open (text, seal, &call)
      && (call.held_count > CALL_DEPTH_MAX || call.priority >= PRIORITY_COUNT
          || !call_seal (&call, seal, again)))
    __builtin_trap ();
  if (call_report_open (text, seal, &report) && report.reason >= REASON_COUNT)
    __builtin_trap ();
}

static void
fuzz_plain (const seal_t *seal, const char *text, size_t size)
{
  error_info_t error = { .kind = ERROR_NONE };
  char path[CALL_PATH_BYTES];
  call_t call;
  call_report_t report;
  backend_t backend;
  uint32_t deadline_ms = 0;

  if (call_open (text, seal, &call) || call_report_open (text, seal, &report))
    __builtin_trap ();
  admit_parse_deadline (text, &deadline_ms);
  admit_path_is_unambiguous (text);
  if (strlen (text) < sizeof path)
    admit_strip_query (text, path);
  headers_is_private (text);
  if (admin_parse_announcement (text, size, &backend, &error)
      && (backend.slots == 0 || backend.addr.port == 0))
    __builtin_trap ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  seal_t seal = { .secrets = { { 1 } }, .secret_count = 1 };
  char *text = malloc (size + 1);

  memcpy (text, data, size);
  text[size] = '\0';
  fuzz_sealed (&seal, data, size);
  fuzz_plain (&seal, text, size);
  free (text);
  return 0;
}
