#!/usr/bin/env bash
# Builds the program that the cases start besides carobd: its stand-ins are in it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/...
