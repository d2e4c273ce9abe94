//go:build review2

// Command review-second runs the scripts of the cases 6 to 10. It starts the
// gateway as separate processes, and holds the stand-ins of the store, of targets
// and of clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a run that hangs, within the 120 s that a script may take.
const timeLimit = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(rec *record, root string, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go endEarly()
	broken, err := cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		rec.add("the rule is broken")
		os.Exit(exitBroken)
	}
	rec.add("the rule holds")
	os.Exit(exitHeld)
}

// endEarly ends the run and its processes at a signal or at timeLimit.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	running.killAll()
	os.Exit(exitNotRun)
}
