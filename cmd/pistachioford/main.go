// Command pistachioford is the entry daemon.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	// A drain must continue when the reader of the log has exited.
	signal.Ignore(syscall.SIGPIPE)
	os.Exit(run(os.Args[1:]))
}

// commands holds the subcommands and the values of their flags.
type commands struct {
	parser                             *flaggy.Parser
	run, checkSettings, demo, platform *flaggy.Subcommand
	gateway                            *flaggy.Subcommand
	runSettingsFile, checkSettingsFile string
	platformListen                     string
}

func newCommands() *commands {
	c := &commands{parser: flaggy.NewParser("pistachioford"), platformListen: "127.0.0.1:0"}
	c.parser.Description = "entry daemon of the traffic steering system"
	c.parser.ShowVersionWithVersionFlag = false

	c.run = c.subcommand("run", "run one instance until SIGTERM")
	c.run.String(&c.runSettingsFile, "s", "settings", "settings file")

	c.gateway = c.subcommand("gateway", "run one instance on the users' platform until SIGTERM")

	c.checkSettings = c.subcommand("check-settings", "check a settings file")
	c.checkSettings.AddPositionalValue(&c.checkSettingsFile, "FILE", 1, true, "settings file")

	c.demo = c.subcommand("demo", "run a small fleet in one process")

	c.platform = c.subcommand("platform", "run only the stand-in of the platform, for tests")
	c.platform.String(&c.platformListen, "l", "listen", "IP:port to listen on")
	return c
}

func (c *commands) subcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	c.parser.AttachSubcommand(sub, 1)
	return sub
}

func run(args []string) int {
	c := newCommands()
	if err := c.parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	switch {
	case c.run.Used:
		return runDaemon(c.runSettingsFile)
	case c.gateway.Used:
		return runGateway()
	case c.checkSettings.Used:
		return checkSettings(c.checkSettingsFile)
	case c.demo.Used:
		return runDemo()
	case c.platform.Used:
		return runPlatform(c.platformListen)
	}
	c.parser.ShowHelp()
	return exitSettings
}
