#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
CGO_ENABLED=0 go build -o bin/standin ./standin
