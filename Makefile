PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= cocotera
SEED ?= 1
MINUTES ?= 1
DRILLS ?=
SOURCES := src tests standins bench soak
export PYTHONPATH := src:.

.PHONY: demo drills test bench bench-deterministic bench-moves soak \
	soak-processes lint format

$(VENV)/.dev: requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	touch $@

$(VENV)/.bench: requirements/bench.txt $(VENV)/.dev
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/bench.txt
	touch $@

demo: $(VENV)/.dev
	$(BIN)/python -m standins.demo --deployment $(DEPLOYMENT)

drills: $(VENV)/.dev
	$(BIN)/python -m standins.drills $(DRILLS)

test: $(VENV)/.dev
	$(BIN)/python -m tests

bench: $(VENV)/.bench
	$(BIN)/python -m bench

bench-deterministic: $(VENV)/.dev
	$(BIN)/python -m bench --deterministic

bench-moves: $(VENV)/.bench
	$(BIN)/python -m bench.moves

soak: $(VENV)/.dev
	$(BIN)/python -m tests.soak --seed $(SEED) --minutes $(MINUTES)

soak-processes: $(VENV)/.dev
	$(BIN)/python -m soak --seed $(SEED) --minutes $(MINUTES)

lint: $(VENV)/.dev
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

format: $(VENV)/.dev
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)
