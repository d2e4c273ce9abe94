#!/bin/sh
# Builds the program of the cases 6 to 10, with the stand-ins that it starts.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-second ./review/second
