//go:build review

// The program of the cases in review/: it starts the daemons as processes beside
// stand-ins, brings about one disruption and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){
	"descriptors": runDescriptors,
	"chunk":       runSpoiled(spoiledChunk),
	"limits":      runLimits,
	"promise":     runFalsePromise,
	"crasher":     runCrasher,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "users" {
		os.Exit(runUsers(os.Args[2:]))
	}
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	c, err := newCluster(rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return exitNotRun
	}
	defer c.close()
	broken, err := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("result: the rule was broken")
		return exitBroken
	}
	rec.say("result: the rule held")
	return exitHeld
}
