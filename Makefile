VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := core daemon client testkit

.PHONY: setup demo test lint format bench lab soak soak-fleet regression clean

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt packages/*/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools wheel
	$(BIN)/pip install -q -c constraints.txt $(foreach p,$(PACKAGES),-e packages/$(p)) \
		hypothesis pytest ruff mypy
	touch $@

demo: setup
	$(BIN)/python -m plankspindle_testkit.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check packages platform tests conftest.py
	$(BIN)/ruff check packages platform tests conftest.py
	$(BIN)/mypy packages/core/src packages/daemon/src packages/client/src packages/testkit/src platform/plankspindle_platform

format: setup
	$(BIN)/ruff format packages platform tests conftest.py
	$(BIN)/ruff check --fix packages platform tests conftest.py

bench: setup
	$(BIN)/python -m plankspindle_testkit.bench

lab: setup
	$(BIN)/python -m plankspindle_testkit.lab run

soak: setup
	$(BIN)/python -m plankspindle_testkit.soak --minutes 5

SOAK_FLEET ?= --minutes 5 --cuts

soak-fleet: setup
	PYTHONPATH=platform:tests/fleet $(BIN)/python -m soak $(SOAK_FLEET)

REGRESSION_JOBS ?= 2

# The light days of deployments on the fleet's platform (docs/fleet.md):
# make regression FLEETBENCH=path/to/fleetbench SITES="first.toml second.toml"
regression:
	@test -n "$(FLEETBENCH)" && test -n "$(SITES)" || \
		{ echo "set FLEETBENCH and SITES, as docs/fleet.md says" >&2; exit 2; }
	for site in $(SITES); do \
		"$(FLEETBENCH)" score "$$site" --quick --jobs $(REGRESSION_JOBS) \
			--why "Regression run of the light days" || exit 1; \
	done

clean:
	rm -rf $(VENV) build
