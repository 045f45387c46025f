#!/bin/bash
# Builds the stand-ins of the scripts of this review, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
go build -o ../target/rig3 ./rig3
