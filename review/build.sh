#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, after the build of the deploy file. Needs no network: it adds no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/cases ./review/cases
