PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test check format bench bench-long capacity soak submission-soak clean

demo: $(STAMP)
	$(BIN)/python -m snipewell.demo

test: $(STAMP)
	$(BIN)/python -m pytest -n 3 --dist worksteal

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench

bench-long: $(STAMP)
	$(BIN)/python -m bench --long

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

soak: $(STAMP)
	$(BIN)/python -m tests.soak --seeds 10 --report soak.html

submission-soak: $(STAMP)
	$(BIN)/python -m tests.submission_soak

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c requirements.lock -e '.[dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
