#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/_standin2
