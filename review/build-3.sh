#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -trimpath -o target/review-3/rvcase3 ./review/standins-3
