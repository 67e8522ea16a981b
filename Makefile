# Targets for developers. .ci/run calls generated, lint, imports, names, spec and test.
.PHONY: test lint imports names generated build spec bench capacity soak fleet

build:
	go build -o bin/ ./cmd/...

test:
	.ci/test

lint:
	.ci/tools
	tools/bin/golangci-lint run ./...
	tools/bin/golangci-lint fmt --diff ./...

imports:
	.ci/imports

names:
	.ci/names

generated:
	.ci/tools
	.ci/generated

spec:
	spec/run

# Injects random faults into real processes; SEEDS is the range of random seeds to run.
SEEDS ?= 1-10
soak:
	SOAK_SEEDS=$(SEEDS) go test -count=1 -timeout 60m -run TestSoak ./platform

# Runs simulated entries, workers and a store in virtual time; FLEET_SEEDS is the range of random seeds to run.
FLEET_SEEDS ?= 1-1000
fleet:
	go test -count=1 -timeout 60m -run TestNoTaskRunsTwiceOverChangesOfTheLeader ./internal/coordination/scheduler \
		-fleet.seeds $(FLEET_SEEDS)

# Measures the slopes of docs/capacity.json and rewrites the tables of docs/CAPACITY.md.
capacity:
	CAPACITY=1 go test -run TestMeasureSlopes -count=1 ./internal/transport/capacity

# Compares throughput and tail latency of an entry with those of a plain forwarder, and runs the other benchmarks that
# have bounds.
bench:
	go test -run '^$$' -bench . -benchtime 200ms ./internal/transport/caller ./internal/coordination/...
	go test -run '^$$' -bench Leader -benchtime 5s ./internal/transport/relay
