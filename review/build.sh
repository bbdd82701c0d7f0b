#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 GOFLAGS=-mod=readonly GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o review/bin/standin ./review/standin
