#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the sidecar of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target
GOFLAGS= GOWORK=off go test -c -o ../../target/review-rig-2 .
