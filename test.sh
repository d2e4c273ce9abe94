#!/bin/sh
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt show
# real faults that are not fixed yet: exactly these are left out and printed.
set -eu
cd "$(dirname "$0")"
skip=''
if [ -f KNOWN-RED.txt ]; then
	skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)
	sed -n 's/^test: */known red, not run: /p' KNOWN-RED.txt
fi
go test -race -timeout 30m ${skip:+-skip "$skip"} ./... ./core/...
# The race detector makes generated sequences and schedules up to ten times
# slower, so their full number runs without it.
exec go test -timeout 20m ${skip:+-skip "$skip"} -run 'TestFaultSequences|TestGeneratedSchedules' ./core/traffic ./core/control
