VENV ?= .venv
PY := $(VENV)/bin/python
SOURCES := tarragonwind standins bench tests

.PHONY: env check test demo up

env: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.txt
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e . || $(VENV)/bin/pip install -q --no-deps -e .
	touch $@

check: env
	$(VENV)/bin/black --check -q $(SOURCES)
	$(VENV)/bin/ruff check -q $(SOURCES)
	$(VENV)/bin/mypy

test: env
	$(PY) -m pytest

demo: env
	$(PY) -m standins.demo

up: env
	$(PY) -m standins.demo --stay
