/* A library that raises SIGHUP as a process starts, before its main.  */

#include <signal.h>

__attribute__ ((constructor)) static void
raise_sighup (void)
{
  raise (SIGHUP);
}
