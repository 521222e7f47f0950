PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

# A linked work tree runs its own sources with the shared environment.
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: install check test example

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

check: install
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/flake8 src
	$(BIN)/mypy
	$(BIN)/lint-imports

test: install
	$(BIN)/python -m tests.run

example: install
	$(BIN)/python -m bench.example
