VENV := .venv
PY := $(VENV)/bin/python

.PHONY: demo test lint format venv fuzz

venv: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.txt requirements.txt constraints.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements-dev.txt -c constraints.txt
	$(PY) -m pip install -q --no-deps -e .
	touch $@

demo: venv
	$(PY) -m arbutusbridge demo

test: venv
	$(PY) -m pytest

lint: venv
	$(VENV)/bin/ruff format --check arbutusbridge tests
	$(VENV)/bin/ruff check arbutusbridge tests
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports --no-logo

format: venv
	$(VENV)/bin/ruff format arbutusbridge tests
	$(VENV)/bin/ruff check --fix arbutusbridge tests

# Long random histories with fresh seeds; prints how to repeat a failure.
fuzz: venv
	HYPOTHESIS_PROFILE=long $(PY) -m pytest -k "history or fuzz"
