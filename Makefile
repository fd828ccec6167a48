.PHONY: run smoke test check generate fmt bench test-long slopes e2e soak

run:
	@scripts/run.sh

smoke:
	@scripts/run.sh --smoke

test: check
	@scripts/test.sh

check:
	@scripts/check.sh

generate:
	@PATH="$$(scripts/tools.sh):$$PATH" buf generate

fmt:
	@bin="$$(scripts/tools.sh)"; for m in . cmd/*/; do (cd $$m && $$bin/golangci-lint fmt ./...); done

bench:
	@go run ./cmd/bench

slopes:
	@go run ./cmd/bench slopes

e2e:
	@scripts/e2e.sh

# Runs the fault matrices with 20,000 further schedules each and the state
# machines with 20,000 checks, for at most ten minutes for each package. SEED is the
# seed of the state machines.
SEED ?= 1
test-long:
	CAROB_SCHEDULES=20000 go test -count=1 -timeout 10m -run 'TestFaultMatrix$$|AgainstModel' ./owner -rapid.checks=20000 -rapid.seed=$(SEED)
	CAROB_SPREAD_SCHEDULES=20000 go test -count=1 -timeout 10m -run 'TestSpreadMatrix$$' ./conf

# Runs SEEDS seeds of the fault soak, starting with FIRST, for 20 s each.
FIRST ?= 1
SEEDS ?= 10
soak:
	@scripts/soak.sh $(FIRST) $(SEEDS) 20s
