#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review. The controllers are built by the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
