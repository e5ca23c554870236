#ifndef REDWINGFORD_ATOMICS_H
#define REDWINGFORD_ATOMICS_H

/* Atomic members of structs that C++ tests include as well.  C++ sees plain
   members of the same size and must not touch them.  */

#ifdef __cplusplus
typedef int shared_int_t;
typedef unsigned shared_uint_t;
typedef bool shared_bool_t;
#else
#include <stdatomic.h>
typedef _Atomic int shared_int_t;
typedef _Atomic unsigned shared_uint_t;
typedef _Atomic _Bool shared_bool_t;
#endif

#endif
