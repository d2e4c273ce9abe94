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

// signals returns a context that ends with the first signal, and the channel
// of further ones, which end a drain early.
func signals() (context.Context, <-chan os.Signal) {
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	again := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancel()
		again <- <-received
	}()
	return ctx, again
}

// drainContext ends with the next signal.
func drainContext(again <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-again:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func fail(step string, err error) int {
	telemetry.Failure(step, err)
	return exitFailure
}

func loadSettings(file string) (*settings.Settings, int) {
	if file == "" {
		fmt.Fprintln(os.Stderr, "a settings file is needed")
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
	return serve(daemon.New(loaded, client))
}

// serve runs one instance until a signal.
func serve(d *daemon.Daemon) int {
	defer d.Cleanup()
	stop, again := signals()
	if err := d.Provision(); err != nil {
		return fail("provision", err)
	}
	if err := d.Validate(); err != nil {
		return fail("validate", err)
	}
	d.Start()
	<-stop.Done()
	ctx, cancel := drainContext(again)
	defer cancel()
	if err := d.Leave(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fail("leave", err)
	}
	return exitOK
}

func runDemo() int {
	telemetry.ConfigureLog(telemetry.LevelInfo)
	stop, again := signals()
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
	ctx, cancel := drainContext(again)
	defer cancel()
	if err := fleet.Stop(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fail("demo", err)
	}
	return exitOK
}

func runPlatform(address string) int {
	telemetry.ConfigureLog(telemetry.LevelInfo)
	stop, _ := signals()
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
