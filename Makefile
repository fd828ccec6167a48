.PHONY: run smoke test check generate fmt bench test-long slopes e2e

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
