# Two targets do all set-up: `make demo` runs the main job, `make test` the checks.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint features soak capacity bench clean

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

# A short run of one seed; docs/SOAK.md has the long ones.
soak: $(VENV)/.installed
	$(BIN)/python -m soak --seed 7 --seconds 20 --logs build/soak

test: lint features soak

capacity: $(VENV)/.installed
	$(BIN)/python -m berylpost.bench.capacity --output build/capacity

clean:
	rm -rf $(VENV) build
