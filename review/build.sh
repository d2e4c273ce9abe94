#!/bin/sh
# Builds the program of the cases, with the stand-ins that it starts.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review ./review
