PYTHON ?= python3
# Seed of the randomised tests; `make soak` runs others.
SEED ?= 1
# Duration of the soak.
MINUTES ?= 2
# Number of soaks of the forwarding program, with seeds from SEED on.
RUNS ?= 10
BIN := .venv/bin

.PHONY: setup test demo check format soak soak-forwarding experiment generate capacity

.venv/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch .venv/.installed

setup: .venv/.installed

test: setup
	DRAGONFLYDYKE_SEED=$(SEED) $(BIN)/python -m tests.run

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/python -m grpc_tools.protoc --proto_path=src --python_out=src --pyi_out=src \
	  --grpc_python_out=src src/dragonflydyke/protocol/node.proto

demo: setup
	$(BIN)/python -m harness.demo $(DEMO_FLAGS)

capacity: setup
	$(BIN)/python -m harness.capacity $(CAPACITY_FLAGS)

soak: setup
	$(BIN)/python -m harness.soak --seed $(SEED) --minutes $(MINUTES)

soak-forwarding: setup
	$(BIN)/python -m tests.soak --seed $(SEED) --runs $(RUNS)

experiment: setup
	$(BIN)/python -m harness.experiments $(EXPERIMENT_FLAGS)
