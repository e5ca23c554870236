#!/bin/sh
# Builds the stand-ins of the second review into build-review-2/, from the
# libraries that the deploy file's build has left in target/.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags="-std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE"
includes="-Isrc -Isrc/mesh -Iplatform -Itests -Ireview/standin-2"
packages="libtirpc libmicrohttpd neon liburcu-bp jansson libsodium libxxhash gsl"
libraries="$(pkg-config --cflags --libs $packages) -llog4c -lev -lhttp_parser -lpthread -lm"
shared="review/standin-2/fleet.c review/standin-2/local_callers.c review/standin-2/pipeline.c tests/support_store.c"
for source in review/standin-2/case_*.c; do
  name="$(basename "$source" .c)"
  cc $flags $includes "$source" $shared target/libcore.a $libraries \
    -o "$out/$name"
done
