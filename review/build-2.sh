#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and up start: one program, from this repository's sources and the
# standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-lab ./review/lab
