#!/bin/sh
# Builds the daemon and starts the demo fleet in this process, so that SIGTERM
# reaches the fleet itself (`go run` would not pass it on).
set -eu
cd "$(dirname "$0")"
go build -o bin/pistachioford ./cmd/pistachioford
exec bin/pistachioford demo
