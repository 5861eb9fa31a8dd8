# Every target installs what it needs into a virtual environment of its own.
VENV ?= .venv
PYTHON = $(VENV)/bin/python
STAMP = $(VENV)/.installed
SEED ?= 1

.PHONY: demo test lint format proof bench measure slopes

$(STAMP): constraints.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt 'setuptools>=68' --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m scripts.demo

test: $(STAMP) lint
	$(PYTHON) -m scripts.runtests

lint: $(STAMP)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

format: $(STAMP)
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

proof: $(STAMP)
	$(PYTHON) -m scripts.proof --seed $(SEED)

bench: $(STAMP)
	$(PYTHON) -m scripts.bench

measure: $(STAMP)
	$(PYTHON) -m scripts.measure --seed $(SEED)

slopes: $(STAMP)
	$(PYTHON) -m scripts.slopes
