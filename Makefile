VENV ?= .venv
PY := $(VENV)/bin/python
# Tests wait more than they compute: four at a time take half of a machine of eight cores.
WORKERS ?= 4
SOURCES := tarragonwind standins bench soak tests

.PHONY: env check test demo demo-platform soak up capacity

env: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e . || $(VENV)/bin/pip install -q --no-deps -e .
	touch $@

check: env
	$(VENV)/bin/black --check -q $(SOURCES)
	$(VENV)/bin/ruff check -q $(SOURCES)
	$(VENV)/bin/mypy

test: env
	$(PY) -m pytest -n $(WORKERS) --dist loadgroup

demo: env
	$(PY) -m standins.demo

demo-platform: env
	$(PY) -m standins.platform_demo

# Fresh seeds, some minutes; give SEED and SEEDS to choose.
soak: env
	$(PY) -m soak.runs --seed $(or $(SEED),0) --seeds $(or $(SEEDS),6)

up: env
	$(PY) -m standins.demo --stay

# Measures every slope that docs/CAPACITY.md uses, prints the table and draws the plots; some minutes.
capacity: env
	$(PY) -m bench.control --out docs/data/control.json
	-$(PY) -m bench.relays measure --out docs/data/relays.json
	$(PY) -m bench.catalogue --out docs/data
	$(PY) -m bench.claims --out docs/data
	$(PY) -m bench.permit_costs
	$(PY) -m bench.fleet_costs measure
	$(PY) -m bench.peers --json_file docs/data/peers.json
	$(PY) -m bench.capacity --plot
