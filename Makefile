# Two targets do all set-up: `make demo` runs the main job, `make test` the checks.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint features capacity bench clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m berylpost.demo

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

features: $(VENV)/.installed
	$(BIN)/python features/run.py

test: lint features

capacity: $(VENV)/.installed
	$(BIN)/python -m berylpost.bench.capacity --output build/capacity

clean:
	rm -rf $(VENV) build
