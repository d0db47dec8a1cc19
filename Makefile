PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.
RUN := $(BIN)/python

.PHONY: test check demo bench measure slopes format install

install: $(VENV)/.installed

$(VENV)/.installed: requirements/develop.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/develop.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

test: install check

check:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(RUN) -m pytest -n 6 --dist loadfile

format:
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: install
	$(RUN) -m tools.demo

bench: install
	$(RUN) -m tools.bench

measure: install
	$(RUN) -m tools.measure

slopes: install
	$(RUN) -m tools.slopes
