# Developer and demo commands. Every target works from a fresh checkout.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint format venv clean

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -qq --disable-pip-version-check --no-deps \
	  --no-build-isolation -e .
	touch $@

venv: $(VENV)/.installed

demo: venv
	$(BIN)/python -m examples.demo

test: venv
	$(BIN)/python -W error::ResourceWarning -m citronmount.testing

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build dist *.egg-info
