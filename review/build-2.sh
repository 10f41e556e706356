#!/bin/bash
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stage ./review/stage
