#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/harness ./review/_harness2
