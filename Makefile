VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test check clean format

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable . || $(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python scripts/demo.py

check: $(STAMP)
	$(BIN)/ruff format --check src tests scripts
	$(BIN)/ruff check src tests scripts
	$(BIN)/mypy

test: check
	$(BIN)/python scripts/run_tests.py

format: $(STAMP)
	$(BIN)/ruff format src tests scripts
	$(BIN)/ruff check --fix src tests scripts

clean:
	rm -rf $(VENV) build
