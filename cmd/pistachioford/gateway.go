package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"pistachioford.example/pistachioford/gateway"
	"pistachioford.example/pistachioford/platform"
	"pistachioford.example/pistachioford/telemetry"
)

// heapLimitPercent is the soft memory limit of the Go runtime, in percent of the
// memory at which the platform kills the process. The rest is left for kernel
// buffers and unread bytes, which count toward the kill limit too.
const heapLimitPercent = 70

// runGateway runs one instance on the users' platform until SIGTERM or SIGINT.
func runGateway() int {
	path := os.Getenv(platform.NodeFileVariable)
	if path == "" {
		fmt.Fprintf(os.Stderr, "%s must name the settings file of the platform\n", platform.NodeFileVariable)
		return exitSettings
	}
	node, err := platform.LoadNode(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if node.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(node.MemoryMB) << 20 * heapLimitPercent / 100)
	}
	logWriter := telemetry.NewWriter(os.Stdout)
	defer logWriter.Close()
	telemetry.LogTo(logWriter, telemetry.LevelInfo)
	for _, warning := range node.Warnings {
		telemetry.Event("setting_ignored", telemetry.F("warning", warning))
	}
	g := gateway.New(node)
	defer g.Cleanup()
	if err := g.Provision(); err != nil {
		return fail("provision", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g.Start()
	for {
		select {
		case <-stop:
			g.Drain()
			return exitOK
		case <-reload:
			checkReloadedNode(path)
		case err := <-g.Failed():
			return fail("gateway", err)
		}
	}
}

// checkReloadedNode validates the settings file again and logs the result. It
// applies nothing: the values in the file (addresses, zone, bounds) describe the
// machine and are fixed until the next start.
func checkReloadedNode(path string) {
	if _, err := platform.LoadNode(path); err != nil {
		telemetry.Failure("reload", err, telemetry.F("file", path))
		return
	}
	telemetry.Event("reload", telemetry.F("file", path), telemetry.F("outcome", "checked"))
}
