#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The build line of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/standin-3
