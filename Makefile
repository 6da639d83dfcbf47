PYTHON ?= python3
VENV ?= .venv
SECONDS_EACH ?= 12
SEEDS ?= 1-3
WHY ?= regression
BIN := $(VENV)/bin
# Site files of the regression, in the folder SITES of the users' bench.
REGRESSION_SITES := \
	sites/anga-search.toml \
	sites/pag-oriole.toml \
	large/anga-search-large.toml \
	grown/anga-search-grown.toml \
	grown/pag-oriole-grown.toml
export PYTHONPATH := $(CURDIR)/src

.PHONY: test demo lint format types unit binary measure measure-seeds soak \
	regression gateway clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python tools/install_dependencies.py
	touch $@

test: lint types unit

lint: $(VENV)/.installed
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools

format: $(VENV)/.installed
	$(BIN)/ruff format src tests tools
	$(BIN)/ruff check --fix src tests tools

types: $(VENV)/.installed
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python tools/run_tests.py $(TESTS)

demo: $(VENV)/.installed
	$(BIN)/python -m oriolegate demo

binary: $(VENV)/.installed
	$(BIN)/python tools/build_binary.py
	$(BIN)/python tools/check_binary.py

measure: $(VENV)/.installed
	mkdir -p build
	$(BIN)/python -m oriolegate measure --seconds $(SECONDS_EACH) \
		--json build/measurements.json
	$(BIN)/python -m oriolegate.measurement.pages \
		--seconds $(SECONDS_EACH) --figures build/measurements.json

measure-seeds: $(VENV)/.installed
	$(BIN)/python -m oriolegate.measurement.pages --seconds 4 --seeds 5

soak: $(VENV)/.installed
	$(BIN)/python -m tools.soak --regressions --seeds $(SEEDS)

# make regression BENCH=PROGRAM SITES=FOLDER WHY="..."
regression: $(VENV)/.installed
	$(BIN)/python -m tools.play_regression --bench $(BENCH) --why "$(WHY)" \
		$(addprefix $(SITES)/,$(REGRESSION_SITES))

gateway: $(VENV)/.installed
	$(BIN)/python tools/build_gateway.py

clean:
	rm -rf $(VENV) build dist target
