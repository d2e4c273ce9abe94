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

// memoryPart is the percent of the memory at which the process is killed that
// the heap may take before it is collected more often. Buffers of the kernel
// and unread bytes count too.
const memoryPart = 70

// runGateway serves on the users' platform until SIGTERM.
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
		debug.SetMemoryLimit(int64(node.MemoryMB) << 20 * memoryPart / 100)
	}
	log := telemetry.NewWriter(os.Stdout)
	defer log.Close()
	telemetry.LogTo(log, telemetry.LevelInfo)
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
			g.Leave()
			return exitOK
		case <-reload:
			reloadNode(path)
		case err := <-g.Failed():
			return fail("gateway", err)
		}
	}
}

// reloadNode checks the settings file again. What a running instance uses of
// it (addresses, zone, bounds) belongs to the machine and stays for one start.
func reloadNode(path string) {
	if _, err := platform.LoadNode(path); err != nil {
		telemetry.Failure("reload", err, telemetry.F("file", path))
		return
	}
	telemetry.Event("reload", telemetry.F("file", path), telemetry.F("outcome", "checked"))
}
