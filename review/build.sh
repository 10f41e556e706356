#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They use the standard
# library alone, so nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/lab ./review/lab
