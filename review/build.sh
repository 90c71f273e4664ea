#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/target/.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../target
GOFLAGS= GOWORK=off go test -c -o ../target/standin .
