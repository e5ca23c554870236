# Front for CMake.  `make demo` and `make check` do all their own set-up.

BUILD ?= build
JOBS ?= $(shell nproc)
SEEDS ?= 1000
SEED ?= 1

PACKAGES = build-essential cmake pkg-config clang clang-format clang-tidy \
  libclang-rt-14-dev rpcsvc-proto libtirpc-dev libmicrohttpd-dev \
  libneon27-gnutls-dev liburcu-dev liblog4c-dev libjansson-dev \
  libev-dev libhttp-parser-dev libsodium-dev libxxhash-dev libgsl-dev libgtest-dev libbenchmark-dev \
  gnuplot-nox

all: build

# Installs only what is missing; needs root just then.
setup:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  { apt-get update && \
	    DEBIAN_FRONTEND=noninteractive apt-get install -y $(PACKAGES); }

build: setup
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory -s

check: build
	@tests/run_tests.sh $(BUILD)

demo: build
	@tests/demo.sh $(BUILD)

soak: build
	@tests/run_soaks.sh $(BUILD) $(SEEDS) $(SEED)

# LARGE=1 adds 1,000 members in one service, a minute more.
capacity: build
	@$(BUILD)/tool_capacity $(LARGE)

bench: build
	@for b in $(BUILD)/bench_*; do [ -x $$b ] && [ -f $$b ] && $$b; done
	@tests/bench_path.sh $(BUILD)

# Rewrites docs/BENCHMARKS.md's table of overload cases; REPORT_SEEDS each.
REPORT_SEEDS ?= 20
bench-report: build
	@mkdir -p docs
	@tests/bench_report.sh $(BUILD) $(REPORT_SEEDS)

format:
	@clang-format -i $$(git ls-files 'src/*.[ch]' 'platform/*.[ch]' 'tests/*.[ch]' 'tests/*.cc' | grep -v _proto)

clean:
	rm -rf build build-*

.PHONY: all setup build check demo soak capacity bench bench-report format clean
