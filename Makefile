# All targets set up the virtual environment first when it is missing.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = packages/core packages/daemon packages/cli packages/standins \
	packages/proof
STAMP = $(VENV)/.installed

.PHONY: setup test lint format demo drill idle bench bench-daemon slopes bench-small \
	scenarios model model-wide soak soak-many soak-short

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

# Each package's tests stand beside its code.
test: $(STAMP)
	$(BIN)/python -m cardamompath_proof.run_tests

lint: $(STAMP)
	$(BIN)/ruff format --check packages
	$(BIN)/ruff check packages
	$(BIN)/flake8 packages

format: $(STAMP)
	$(BIN)/ruff format packages
	$(BIN)/ruff check --fix packages

demo: $(STAMP)
	$(BIN)/python -m cardamompath_proof.demo

# Kills the owner of a running job, cuts one failure domain off the platform.
drill: $(STAMP)
	$(BIN)/python -m cardamompath_proof.drill

# Costs at several sizes and the lines through them, for CAPACITY.md.
slopes: $(STAMP)
	$(BIN)/python -m cardamompath_proof.slopes

bench-daemon: $(STAMP)
	$(BIN)/python -m cardamompath_proof.bench_daemon

# Decisions under load in virtual time; fails on a missed target that
# KNOWN-RED.txt does not name.
bench: $(STAMP)
	$(BIN)/python -m cardamompath_proof.bench

# Short runs without the baselines, for CI.
bench-small: $(STAMP)
	$(BIN)/python -m cardamompath_proof.bench --small --ours

# Processor share and memory of an idle daemon over 30 seconds.
idle: $(STAMP)
	$(BIN)/python -m cardamompath_proof.idle

# Every scenario, and the matrix of promise by failure.
scenarios: $(STAMP)
	$(BIN)/python -m cardamompath_proof.scenarios.matrix

# The core protocol over all interleavings, and its broken variants.
model: $(STAMP)
	$(BIN)/python -m cardamompath_proof.model

model-wide: $(STAMP)
	$(BIN)/python -m cardamompath_proof.model --wide

# Random faults on separate processes; SIZE is small, usual, large or huge.
SEED ?= 1
SIZE ?= usual

soak: $(STAMP)
	$(BIN)/python -m cardamompath_proof.soak --seed $(SEED) --size $(SIZE)

soak-many: $(STAMP)
	$(BIN)/python -m cardamompath_proof.soak --seed $(SEED) --many 50 \
		--size $(SIZE)
	$(BIN)/python -m cardamompath_proof.soak --regressions

# For CI; the two seeds draw every kind of fault.
soak-short: $(STAMP)
	$(BIN)/python -m cardamompath_proof.soak --seed 302 --many 2 --size small
