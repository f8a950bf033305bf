PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test check demo bench clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet setuptools wheel
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .
	$(BIN)/mypy

demo: $(STAMP)
	$(BIN)/python -m standins.demo

clean:
	rm -rf $(VENV) build out *.egg-info
