#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. target/carobd comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/kit2
