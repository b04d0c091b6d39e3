# Two targets do all set-up: `make demo` runs the main job, `make test` the checks.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Packages built for another kind of machine or interpreter are installed anew.
KIND := $(shell $(PYTHON) -c 'import sys, sysconfig; \
	print(sysconfig.get_platform(), sys.implementation.cache_tag, sep="-")')
INSTALLED := $(VENV)/.installed-$(KIND)
# What `pip download` calls the machines that the entry daemon may run on.
MACHINES := x86_64 aarch64

.PHONY: requirements wheels demo test lint features soak capacity bench clean

$(INSTALLED): pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -e '.[dev]'
	touch $@

# Hashes of every file of each version: all kinds of machine, and the source.
requirements: $(INSTALLED)
	$(BIN)/pip-compile --quiet --upgrade --generate-hashes --strip-extras --no-annotate \
		--no-header --no-emit-index-url --no-emit-trusted-host \
		--no-emit-find-links --output-file deploy/requirements.txt \
		deploy/requirements.in

# Each kind of machine finds a wheel under the hashes of the list.
wheels: $(INSTALLED)
	for machine in $(MACHINES); do \
		$(BIN)/pip download --quiet --disable-pip-version-check --no-deps \
			--require-hashes --only-binary :all: --python-version 3.11 \
			--platform manylinux2014_$$machine \
			--platform manylinux_2_28_$$machine \
			--dest build/wheels-$$machine -r deploy/requirements.txt \
			|| exit 1; \
	done

demo: $(INSTALLED)
	$(BIN)/python -m berylpost.demo

lint: $(INSTALLED) wheels
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

features: $(INSTALLED)
	$(BIN)/python features/run.py

# A short run of one seed; docs/SOAK.md has the long ones.
soak: $(INSTALLED)
	$(BIN)/python -m soak --seed 7 --seconds 20 --logs build/soak

test: lint features soak

capacity: $(INSTALLED)
	$(BIN)/python -m berylpost.bench.capacity --output build/capacity

clean:
	rm -rf $(VENV) build
