#!/usr/bin/env bash
# Checks formatting, lint, generated code, and that names of the platform's protocol
# are used in platform/ and cmd/standin/ only.
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

echo "check: the platform's words"
if git grep -nE 'X-Carobpulley-|"(last-seen|fencing-token|cold-remaining-ms|heartbeat-addr|estimated-ms|mem-mb|node-name|run-start|run-stop|log-append|log-read|log-newest)"' -- '*.go' ':!platform' ':!cmd/standin'; then
	echo "words of the platform's wire outside platform/" >&2
	exit 1
fi
