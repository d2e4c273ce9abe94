package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pistachioford.example/pistachioford/daemon"
	"pistachioford.example/pistachioford/demo"
	"pistachioford.example/pistachioford/settings"
	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/tables/standin"
	"pistachioford.example/pistachioford/telemetry"
)

// notifySignals returns a context that is canceled by the first SIGTERM or
// SIGINT, and a channel that receives the second one, which ends a drain early.
func notifySignals() (context.Context, <-chan os.Signal) {
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	laterSignals := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancel()
		laterSignals <- <-received
	}()
	return ctx, laterSignals
}

// drainContext returns a context that is canceled by the next signal.
func drainContext(laterSignals <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-laterSignals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// fail logs the failed step and returns exitFailure.
func fail(step string, err error) int {
	telemetry.Failure(step, err)
	return exitFailure
}

// loadSettings returns the settings, or nil and the exit code after it has
// printed the error.
func loadSettings(file string) (*settings.Settings, int) {
	if file == "" {
		fmt.Fprintln(os.Stderr, "no settings file given")
		return nil, exitSettings
	}
	loaded, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, exitSettings
	}
	return loaded, exitOK
}

func checkSettings(file string) int {
	_, code := loadSettings(file)
	return code
}

func runDaemon(file string) int {
	loaded, code := loadSettings(file)
	if loaded == nil {
		return code
	}
	telemetry.ConfigureLog(loaded.LogLevel)
	client, err := tables.NewClient(tables.Config{URL: loaded.Platform})
	if err != nil {
		return fail("platform", err)
	}
	defer client.Close()
	return serveInstance(daemon.New(loaded, client))
}

// serveInstance runs one instance until a signal and then drains it.
func serveInstance(d *daemon.Daemon) int {
	defer d.Cleanup()
	stop, laterSignals := notifySignals()
	if err := d.Provision(); err != nil {
		return fail("provision", err)
	}
	if err := d.Validate(); err != nil {
		return fail("validate", err)
	}
	d.Start()
	<-stop.Done()
	ctx, cancel := drainContext(laterSignals)
	defer cancel()
	if err := d.Drain(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fail("leave", err)
	}
	return exitOK
}

func runDemo() int {
	telemetry.ConfigureLog(telemetry.LevelInfo)
	stop, laterSignals := notifySignals()
	fleet, err := demo.Start(stop)
	if err != nil {
		if stop.Err() != nil {
			return exitOK
		}
		return fail("demo", err)
	}
	fmt.Println(telemetry.Line("ready",
		telemetry.F("lookup", fleet.LookupURL()), telemetry.F("example", fleet.ExampleURL())))
	<-stop.Done()
	ctx, cancel := drainContext(laterSignals)
	defer cancel()
	if err := fleet.Stop(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fail("demo", err)
	}
	return exitOK
}

func runPlatform(address string) int {
	telemetry.ConfigureLog(telemetry.LevelInfo)
	stop, _ := notifySignals()
	s, err := standin.Start(standin.Options{Address: address})
	if err != nil {
		return fail("platform", err)
	}
	fmt.Println(telemetry.Line("ready", telemetry.F("platform", s.URL())))
	<-stop.Done()
	if err := s.Close(); err != nil {
		return fail("platform", err)
	}
	return exitOK
}
