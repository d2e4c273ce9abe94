#!/bin/sh
# Builds the stand-ins of the scripted cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/third
