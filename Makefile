PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo demo-platform soak day fuzz test lint measure bench slopes faults generate

$(STAMP): requirements-dev.txt constraints.txt $(wildcard packages/*/pyproject.toml packages/*/bin/* platform/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m standins.demo

demo-platform: $(STAMP)
	$(BIN)/python -m standins.demo_platform

soak: $(STAMP)
	$(BIN)/python -m soak --seed $(or $(SEED),0) --n $(or $(N),1) --vms $(or $(VMS),6)

day: $(STAMP)
	$(BIN)/python -m soak day --seed $(or $(SEED),0) --n $(or $(N),1) --vms $(or $(VMS),17) --cores $(or $(CORES),0)

fuzz: $(STAMP)
	$(BIN)/python -m benchmarks.fuzz --minutes $(or $(MINUTES),20)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

measure: $(STAMP)
	$(BIN)/python -m benchmarks.measure

bench: $(STAMP)
	$(BIN)/python -m benchmarks.relay

slopes: $(STAMP)
	$(BIN)/python -m benchmarks.slopes

faults: $(STAMP)
	$(BIN)/python -m benchmarks.faults

generate: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -Iprotos --python_out=packages/entry/hornbeamstand_entry --grpc_python_out=packages/entry/hornbeamstand_entry protos/peer.proto
	sed -i "s/^import peer_pb2/from . import peer_pb2/" packages/entry/hornbeamstand_entry/peer_pb2_grpc.py
