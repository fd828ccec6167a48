#!/usr/bin/env bash
# Checks formatting, lint, generated code and module files.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$(scripts/tools.sh)
export PATH="$bin:$PATH"

echo "check: formatter"
for m in . cmd/*/; do
	(cd "$m" && golangci-lint fmt --diff ./...)
done

echo "check: linter"
for m in . cmd/*/; do
	(cd "$m" && golangci-lint run --allow-parallel-runners ./...)
done

echo "check: generated code"
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
buf lint
buf generate -o "$tmp"
diff -r "$tmp/wire" wire
