# `make demo` and `make test` are the two commands of the README.
# `make test SANITIZE=address` (or `thread`) builds and tests with a sanitizer.
SANITIZE ?=
BUILD ?= build$(if $(SANITIZE),-$(SANITIZE))
JOBS ?= $(shell nproc)
CTEST_JOBS ?= 4
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
export CCACHE_SLOPPINESS := pch_defines,time_macros,include_file_mtime,include_file_ctime
.PHONY: packages build test demo format lint check tables slopes passes platform-day

packages:
	tools/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DGOOSEBERRYLIFT_SANITIZE=$(SANITIZE) > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	tools/run-tests $(BUILD) $(CTEST_JOBS)

demo: build
	samples/demo.sh $(BUILD)

# The figures of docs/CAPACITY.md, measured again.
slopes: build
	$(BUILD)/bench/slopes/core-slopes
	$(BUILD)/bench/slopes/fleet-slopes

# Placement under load, on virtual time, against its baselines.
passes: build
	for site in notes checks; do for strategy in placed least-outstanding round-robin; do \
	  echo "$$site, $$strategy"; $(BUILD)/bench/pass-bench --site $$site --strategy $$strategy --seeds 8; done; done

# One day of the users' bench, where their kit is at hand:
# make platform-day KIT=path/to/fleetbench SITE=path/to/site.toml DAY=quiet-1
platform-day:
	$(KIT) run $(SITE) $(DAY) --why "a day by hand"

# After a new result code or log event.
tables:
	tools/write-tables $(BUILD)

format:
	git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format -i

lint: build
	tools/check-lint $(BUILD)

check: build
	tools/check-format
	tools/check-core $(BUILD)
	tools/check-platform
	tools/check-lint $(BUILD)
