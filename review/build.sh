#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/standins
