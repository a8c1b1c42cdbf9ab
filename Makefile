# Two commands do all set-up on a fresh machine: `make demo` and `make test`.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
RUN_READY := $(VENV)/.run-ready
DEV_READY := $(VENV)/.dev-ready

DURATION_S ?= 20
SEEDS ?= 3

.PHONY: demo test lint format soak soak-processes mutants measure slopes bench clean

$(RUN_READY): requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

$(DEV_READY): requirements-dev.txt $(RUN_READY)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: $(RUN_READY)
	$(BIN)/python examples/demo.py

test: $(DEV_READY)
	$(BIN)/pytest

lint: $(DEV_READY)
	$(BIN)/ruff format --check src tests bench examples
	$(BIN)/ruff check src tests bench examples
	$(BIN)/mypy

format: $(DEV_READY)
	$(BIN)/ruff check --fix src tests bench examples
	$(BIN)/ruff format src tests bench examples

soak: $(DEV_READY)
	$(BIN)/python -m bench.soak $(DURATION_S)

soak-processes: $(DEV_READY)
	$(BIN)/python -m bench.soak_processes --seeds $(SEEDS) --duration $(DURATION_S)

mutants: $(DEV_READY)
	$(BIN)/python -m bench.mutants

measure: $(DEV_READY)
	$(BIN)/python -m bench.choice
	$(BIN)/python -m bench.rollouts
	$(BIN)/python -m bench.plays
	$(BIN)/python -m bench.ends

slopes: $(DEV_READY)
	$(BIN)/python -m bench.slopes

bench: $(DEV_READY)
	$(BIN)/python -m bench.relay

clean:
	rm -rf $(VENV)
