VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
# Tests that fail for a known fault are printed and passed over; every other test has to pass.
KNOWN_RED = $(shell sed -n 's/^tests.*/--deselect "&"/p' KNOWN-RED.txt 2>/dev/null)
PRINT_KNOWN_RED = @if [ -s KNOWN-RED.txt ]; then echo "Known red, passed over:"; cat KNOWN-RED.txt; fi
PYTEST = PYTHONHASHSEED=0 $(BIN)/python -m pytest $(KNOWN_RED)
# Tests with real processes mostly wait, so that parts of the suite run side by side. TEST_PARTS=1 runs one after the other,
# as fits a machine that is busy or has few cores: some tests allow a process only fractions of a second.
TEST_PARTS = 1 2 3
SOURCES = hawthornbridge standins measure tests

.PHONY: demo test test-ci lint format types measure soak schema clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

env: $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m measure.demo

test: $(STAMP)
	$(PRINT_KNOWN_RED)
ifeq ($(ARGS),)
	$(MAKE) --jobs $(words $(TEST_PARTS)) --output-sync=target $(TEST_PARTS:%=test-part-%)
	$(PYTEST) -m "apart and not ci"
else
	$(PYTEST) $(ARGS)
endif

test-part-%: $(STAMP)
	$(PYTEST) -m "not ci and not apart" --part $*/$(words $(TEST_PARTS))

# Plays what `make test` leaves to CI.
test-ci: $(STAMP)
	$(PRINT_KNOWN_RED)
	$(PYTEST) -m ci

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

types: $(STAMP)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

measure: $(STAMP)
	$(BIN)/python -m measure.run $(ARGS)

# Plays seeds that nobody chose; a seed that fails is printed with its faults and belongs into tests/test_soak.py.
soak: $(STAMP)
	$(BIN)/python -m measure.soak --first-seed $$(date +%s) --seeds 6 --length-s 12

# Writes the committed generated code; needs grpcio-tools, protoc-gen-py and protoc-gen-connectrpc.
schema:
	cd hawthornbridge && python3 -m grpc_tools.protoc -I. --py_out=. --connectrpc_out=. operations.proto
