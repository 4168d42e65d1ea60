#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
# The instances are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2/ ./review/standins-2
