#!/bin/sh
# Builds the stand-ins and the cases into review/bin.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for case in [1-9]/case.c; do
  number=${case%%/*}
  ${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -o "bin/case-$number" "$case" \
    standin/standin.c -lpthread
done
