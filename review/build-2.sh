#!/usr/bin/env bash
# Builds the program that the cases 4 to 8 start: the stand-ins of the state service, the cloud, the
# workers and the users, with the checks. The controllers are those of the build command of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/rig ./review/_rig
