#!/usr/bin/env bash
# Builds the programs of review/11 to review/15 into target/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3/cases ./review/_harness3/cases
