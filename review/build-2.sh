#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; they need the build of deploy/system.toml beside them.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-2
go build -o ../target/review-2/rig2 ./rig2
