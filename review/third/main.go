// Command third plays the scripted cases of the third review: it starts the daemon
// as separate processes beside stand-ins and checks a rule. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(binary, record string, trouble bool) (broken bool, err error){
	"missed-removal": missedRemoval,
	"slow-readers":   slowReaders,
	"relays-lost":    relaysLost,
}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

// giveUp ends the daemons and the case.
func giveUp(reason string) {
	processes.killAll()
	fmt.Fprintln(os.Stderr, reason)
	os.Exit(2)
}

func main() {
	binary := flag.String("daemon", "target/pistachioford", "program under test")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(2)
	}
	time.AfterFunc(timeLimit, func() { giveUp("the case took too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		giveUp("interrupted")
	}()
	broken, err := play(*binary, *record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
