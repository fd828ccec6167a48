#!/usr/bin/env bash
# Installs the pinned tools into the user's cache unless they are there, and prints
# their directory.
set -euo pipefail

golangci_lint=v2.15.0
buf=v1.75.0
protoc_gen_go=v1.36.12
connect_go=v1.21.1

dir="${XDG_CACHE_HOME:-$HOME/.cache}/carobpulley/bin"
stamp="$dir/.versions"
want="$golangci_lint $buf $protoc_gen_go $connect_go $(go env GOVERSION)"

if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$want" ]; then
	mkdir -p "$dir"
	export GOBIN="$dir" GOFLAGS=-buildvcs=false GOWORK=off
	cd "$dir"
	go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$golangci_lint" >&2
	go install "github.com/bufbuild/buf/cmd/buf@$buf" >&2
	go install "google.golang.org/protobuf/cmd/protoc-gen-go@$protoc_gen_go" >&2
	go install "connectrpc.com/connect/cmd/protoc-gen-connect-go@$connect_go" >&2
	echo "$want" > "$stamp"
fi
echo "$dir"
