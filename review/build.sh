#!/usr/bin/env bash
# Builds the program that plays the scripted cases, with all stand-ins in it. It needs no
# network and adds no dependency. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/harness ./review/_harness
