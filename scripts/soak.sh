#!/usr/bin/env bash
# Builds the programs and runs seeds of the fault soak. Usage: scripts/soak.sh
# [FIRST [SEEDS [DURATION]]]; CI uses the defaults.
set -euo pipefail
cd "$(dirname "$0")/.."

go build -o target/ ./cmd/carobd ./cmd/soak
exec target/soak run --carobd target/carobd --first "${1:-1}" --seeds "${2:-2}" --duration "${3:-10s}"
